//===- GossipLog.h - log lines of the gossip --------------------*- C++ -*-===//
//
// Logs where a node gets the shared values from, so that a value that is late
// can be traced to a parent that said nothing or to a late read of the store.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONTROL_GOSSIPLOG_H
#define OSPREYSPUR_CONTROL_GOSSIPLOG_H

#include "ospreyspur/Config/GossipMessages.h"
#include "ospreyspur/Support/Time.h"

#include <optional>

namespace ospreyspur {

class GossipNode;

/// Writes the lines of one node.
class GossipLog {
public:
  explicit GossipLog(const GossipNode &node) : Node(node) {}

  /// Logs the node's source if it has changed since the last call: the store,
  /// which it watches, or its parent.
  void logSource();
  /// Logs that a node that does not watch the store reads \p key there, as
  /// nobody has confirmed its copy.
  void logRead(SharedKey key, TimePoint now) const;

private:
  const GossipNode &Node;
  bool HasLoggedSource = false;
  /// The parent in the last line; unset if that named the store.
  std::optional<EndpointId> LoggedParent;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_CONTROL_GOSSIPLOG_H
