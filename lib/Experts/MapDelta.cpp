//===- MapDelta.cpp - maps told by what differs ---------------------------===//
//
// See MapDelta.h. No two maps ever have one version, so a version tells both
// sides which map is meant.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/MapDelta.h"

#include <utility>

using namespace ospreyspur;

/// Copies without an answer before the whole map goes again: links keep their
/// order, so the map before has come unless it was dropped.
static constexpr unsigned MaxShortTries = 1;

/// The sets of \p map that differ from \p base; nothing if they are not of one
/// shape.
static std::optional<std::vector<RankSet>>
differingSets(const GroupPlacement &base, const GroupPlacement &map) {
  if (base.size() != map.size())
    return std::nullopt;
  std::vector<RankSet> out;
  for (std::uint32_t rank = 0; rank < map.size(); ++rank) {
    if (base[rank].size() != map[rank].size())
      return std::nullopt;
    for (std::uint32_t set = 0; set < map[rank].size(); ++set)
      if (base[rank][set] != map[rank][set])
        out.push_back({rank, set, map[rank][set]});
  }
  return out;
}

MapOrder SentMaps::shorten(unsigned rank, LinkId link, const MapOrder &order,
                           unsigned tries) {
  MapOrder out = order;
  if (!order.Map)
    return out;
  Sent now{link, order.Version, order.Map};
  auto it = LastSent.find(rank);
  bool isKnown = it != LastSent.end() && it->second.Link == link;
  if (isKnown && tries <= MaxShortTries) {
    if (auto sets = differingSets(*it->second.Map, *order.Map)) {
      out.Map = nullptr;
      out.Delta = MapDelta{it->second.Version, std::move(*sets)};
    }
  }
  LastSent[rank] = std::move(now);
  return out;
}

bool ToldMap::complete(MapOrder &order) {
  if (order.Delta) {
    if (!Map || Version != order.Delta->Base)
      return false;
    GroupPlacement whole = *Map;
    for (const RankSet &it : order.Delta->Sets) {
      if (it.Rank >= whole.size() || it.Set >= whole[it.Rank].size())
        return false;
      whole[it.Rank][it.Set] = it.Experts;
    }
    order.Map = std::make_shared<const GroupPlacement>(std::move(whole));
    order.Delta.reset();
  }
  if (order.Map) {
    Version = order.Version;
    Map = order.Map;
  }
  return true;
}
