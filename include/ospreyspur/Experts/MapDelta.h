//===- MapDelta.h - maps told by what differs -------------------*- C++ -*-===//
//
// A whole map goes to every rank of a group. In a large group that is more than
// the coordinator's link carries in a step, and the answers of the engine on
// its host wait behind it. So a link on which a map has gone before carries
// only the sets that differ from that one, and another link those that differ
// from the map that the group was formed with, which a rule gives: with one
// copy a rank in a group of 96 less than a third of the whole.
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

/// The coordinator's side: what has gone to each rank's agent.
class SentMaps {
public:
  /// \p order as it should go on \p link to the agent of \p rank; \p tries
  /// earlier copies of it got no answer.
  MapOrder shorten(unsigned rank, LinkId link, const MapOrder &order,
                   unsigned tries);

private:
  struct Sent {
    LinkId Link;
    MapVersion Version;
    std::shared_ptr<const GroupPlacement> Map;
  };

  std::optional<MapDelta> dealtDelta(const MapOrder &order);

  std::map<unsigned, Sent> LastSent;
  /// The map that was last told by what differs from the dealt one, if that is
  /// shorter, and how.
  std::shared_ptr<const GroupPlacement> DealtOf;
  std::optional<MapDelta> Dealt;
};

/// The agent's side: the last map that was told here.
class ToldMap {
public:
  /// Makes the map of \p order whole. False if the map that it differs from is
  /// not known here: then the coordinator's later copies are whole.
  bool complete(MapOrder &order);

private:
  MapVersion Version;
  std::shared_ptr<const GroupPlacement> Map;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_MAPDELTA_H
