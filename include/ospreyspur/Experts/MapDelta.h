//===- MapDelta.h - maps encoded as differences -----------------*- C++ -*-===//
//
// A whole map goes to every rank of a group. In a large group that exceeds what
// the coordinator's link can carry during one step, and responses of the engine
// on the coordinator's host queue behind the maps. A link that has carried a
// map before therefore carries only the differences from that map: single
// experts, or whole sets where a rank holds fewer experts. Any other link
// carries only the differences from the map that the group was formed with,
// which follows from a rule: with one copy per rank in a group of 96 that is
// less than a third of the whole map. The whole map is sent where a delta is
// not shorter, or has repeatedly got no reply.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_MAPDELTA_H
#define OSPREYSPUR_EXPERTS_MAPDELTA_H

#include "ospreyspur/Experts/MapOrder.h"
#include "ospreyspur/Support/Ids.h"

#include <map>
#include <memory>
#include <optional>

namespace ospreyspur {

/// Sender side, in the coordinator: the maps sent to each rank's agent.
class SentMaps {
public:
  /// Returns \p order as it should be sent on \p link to the agent of \p rank;
  /// \p tries earlier copies of the order got no reply.
  MapOrder shorten(unsigned rank, LinkId link, const MapOrder &order,
                   unsigned tries);

private:
  struct Sent {
    LinkId Link;
    MapVersion Version;
    std::shared_ptr<const GroupPlacement> Map;
  };

  std::optional<MapDelta> initialDelta(const MapOrder &order);

  std::map<unsigned, Sent> LastSent;
  /// The last map that was compared with the map that its group was formed
  /// with, and the delta if that is shorter than the whole map.
  std::shared_ptr<const GroupPlacement> InitialDeltaOf;
  std::optional<MapDelta> Initial;
};

/// Receiver side, in the agent: the last map received.
class ReceivedMap {
public:
  /// Restores the whole map of \p order. Returns false if the base map is not
  /// known here or if the delta does not fit it. The coordinator sends the
  /// whole map from the second repeat of the order on.
  bool complete(MapOrder &order);

private:
  MapVersion Version;
  std::shared_ptr<const GroupPlacement> Map;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_MAPDELTA_H
