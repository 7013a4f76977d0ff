//===- NodeRegistry.h - which of our processes run --------------*- C++ -*-===//
//
// The state machine that keeps this process's row in the platform's store under
// a lease and reads the rows of the others. Rows that vanish are kept for a
// while: in an outage leases lapse though the processes run on.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_NODEREGISTRY_H
#define OSPREYSPUR_DIRECT_NODEREGISTRY_H

#include "ospreyspur/Platform/KeyValue.h"
#include "ospreyspur/Support/Ids.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ospreyspur {

/// How the others reach one of our processes.
struct NodeRecord {
  std::string Name;
  DataCentreId DataCentre;
  /// For links; "ip:port".
  std::string LinkAddress;
  /// For datagrams with load reports; empty if it takes none.
  std::string LoadAddress;

  friend bool operator==(const NodeRecord &, const NodeRecord &) = default;
};

/// Keeps the rows.
class NodeRegistry {
public:
  static constexpr Duration LeaseSpan = std::chrono::seconds(6);
  static constexpr Duration RenewEvery = std::chrono::seconds(2);
  /// Between two reads of all rows, at first and later.
  static constexpr Duration FirstReadEvery = std::chrono::milliseconds(500);
  static constexpr Duration ReadEvery = std::chrono::seconds(3);
  static constexpr unsigned FirstReads = 6;
  /// How long a vanished row is kept.
  static constexpr Duration KeepVanished = std::chrono::seconds(10);
  /// Bounds of the pause after a failed write.
  static constexpr Duration MinPause = std::chrono::milliseconds(250);
  static constexpr Duration MaxPause = std::chrono::seconds(2);

  explicit NodeRegistry(NodeRecord self) : Self(std::move(self)) {}

  // Commands.

  /// The call that keeps this process's row, if it is time for one.
  std::optional<KvCall> nextWrite(TimePoint now);
  void onWritten(const KvReply &reply, TimePoint now);
  /// The call that reads all rows, if it is time for one.
  std::optional<KvCall> nextRead(TimePoint now);
  /// True if the known nodes have changed, or are known for the first time.
  bool onRead(const KvReply &reply, TimePoint now);

  // Queries.

  TimePoint nextTimer() const { return std::min(WriteAt, ReadAt); }
  /// The other nodes.
  std::vector<NodeRecord> others() const;
  /// Whether the rows were ever read.
  bool hasRead() const { return HasRead; }

private:
  std::string ownKey() const;

  NodeRecord Self;
  /// The own row's revision; 0 if it is not known to stand.
  Revision Row;
  Revision Expected;
  bool IsWriting = false;
  bool IsReading = false;
  bool HasRead = false;
  Duration Pause = MinPause;
  unsigned Reads = 0;
  TimePoint WriteAt;
  TimePoint ReadAt;
  struct Known {
    NodeRecord Record;
    TimePoint SeenAt;
  };
  std::map<std::string, Known> Nodes;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_NODEREGISTRY_H
