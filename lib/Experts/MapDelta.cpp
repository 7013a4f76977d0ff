//===- MapDelta.cpp - maps encoded as differences -------------------------===//
//
// See MapDelta.h. No two maps ever have the same version, so a version
// identifies the map for both sides.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/MapDelta.h"

#include <algorithm>
#include <utility>

using namespace ospreyspur;

/// Number of copies without a reply up to which an order still carries a delta.
/// A link delivers in order, so the base map has arrived unless it was dropped.
static constexpr unsigned MaxShortTries = 1;

/// Adds the differences between \p base and \p set to \p out.
static void addDifference(std::uint32_t rank, std::uint32_t setNumber,
                          const std::vector<ExpertNumber> &base,
                          const std::vector<ExpertNumber> &set, MapDelta &out) {
  if (base.size() > set.size()) {
    out.Sets.push_back({rank, setNumber, set});
    return;
  }
  for (std::uint32_t place = 0; place < set.size(); ++place)
    if (place >= base.size() || base[place] != set[place])
      out.Replaced.push_back({rank, setNumber, place, set[place]});
}

/// Returns the differences between \p base and \p map; none if their shapes
/// differ. The caller sets the version of the base.
static std::optional<MapDelta> difference(const GroupPlacement &base,
                                          const GroupPlacement &map) {
  if (base.size() != map.size())
    return std::nullopt;
  MapDelta out;
  for (std::uint32_t rank = 0; rank < map.size(); ++rank) {
    if (base[rank].size() != map[rank].size())
      return std::nullopt;
    for (std::uint32_t set = 0; set < map[rank].size(); ++set)
      addDifference(rank, set, base[rank][set], map[rank][set], out);
  }
  return out;
}

/// The map that a group of \p shape is formed with.
static GroupPlacement makeInitialMap(const InitialMapShape &shape) {
  RankPlacement none(shape.Sets);
  GroupPlacement out(shape.Ranks, none);
  for (std::uint32_t expert = 0; expert < shape.Experts; ++expert)
    for (auto &set : out[expert % shape.Ranks])
      set.push_back(static_cast<ExpertNumber>(expert));
  return out;
}

/// The shape of the map that a group with the experts of \p map is formed with.
static InitialMapShape shapeOf(const GroupPlacement &map) {
  InitialMapShape out;
  out.Ranks = static_cast<std::uint32_t>(map.size());
  out.Sets = static_cast<std::uint32_t>(map.empty() ? 0 : map.front().size());
  for (const RankPlacement &rank : map)
    for (const auto &set : rank)
      for (ExpertNumber it : set)
        out.Experts = std::max(out.Experts, it + 1U);
  return out;
}

/// Count of the numbers that encode the argument on the wire.
static std::size_t lengthOf(const MapDelta &delta) {
  constexpr std::size_t Head = 3;
  constexpr std::size_t OfReplaced = 2;
  std::size_t out = OfReplaced * delta.Replaced.size();
  for (const RankSet &it : delta.Sets)
    out += Head + it.Experts.size();
  return out;
}

static std::size_t lengthOf(const GroupPlacement &map) {
  std::size_t out = 2;
  for (const RankPlacement &rank : map)
    for (const auto &set : rank)
      out += 1 + set.size();
  return out;
}

/// Encodes \p map as its differences from the map that its group was formed
/// with; none if that is not shorter.
static std::optional<MapDelta> encodeFromInitial(const GroupPlacement &map) {
  InitialMapShape shape = shapeOf(map);
  if (shape.Ranks == 0)
    return std::nullopt;
  std::optional<MapDelta> out = difference(makeInitialMap(shape), map);
  if (!out || lengthOf(*out) >= lengthOf(map))
    return std::nullopt;
  out->Initial = shape;
  return out;
}

MapOrder SentMaps::shorten(unsigned rank, LinkId link, const MapOrder &order,
                           unsigned tries) {
  MapOrder out = order;
  if (!order.Map)
    return out;
  Sent current{link, order.Version, order.Map};
  auto it = LastSent.find(rank);
  bool isKnown = it != LastSent.end() && it->second.Link == link;
  if (isKnown && tries <= MaxShortTries) {
    out.Delta = difference(*it->second.Map, *order.Map);
    if (out.Delta)
      out.Delta->Base = it->second.Version;
  } else if (tries <= MaxShortTries) {
    out.Delta = initialDelta(order);
  }
  if (out.Delta)
    out.Map = nullptr;
  LastSent[rank] = std::move(current);
  return out;
}

/// The delta is the same for all ranks, so it is computed once per map.
std::optional<MapDelta> SentMaps::initialDelta(const MapOrder &order) {
  if (InitialDeltaOf != order.Map) {
    InitialDeltaOf = order.Map;
    Initial = encodeFromInitial(*order.Map);
  }
  return Initial;
}

/// Applies \p delta to \p map. Returns false if \p map lacks one of the places.
static bool applyDelta(GroupPlacement &map, const MapDelta &delta) {
  auto hasSet = [&map](std::uint32_t rank, std::uint32_t set) {
    return rank < map.size() && set < map[rank].size();
  };
  for (const RankSet &it : delta.Sets) {
    if (!hasSet(it.Rank, it.Set))
      return false;
    map[it.Rank][it.Set] = it.Experts;
  }
  for (const ReplacedExpert &it : delta.Replaced) {
    if (!hasSet(it.Rank, it.Set) || it.Place > map[it.Rank][it.Set].size())
      return false;
    std::vector<ExpertNumber> &experts = map[it.Rank][it.Set];
    if (it.Place == experts.size())
      experts.push_back(it.Expert);
    else
      experts[it.Place] = it.Expert;
  }
  return true;
}

bool ReceivedMap::complete(MapOrder &order) {
  if (order.Delta) {
    bool isFromInitial = order.Delta->Initial.has_value();
    if (!isFromInitial && (!Map || Version != order.Delta->Base))
      return false;
    GroupPlacement whole =
        isFromInitial ? makeInitialMap(*order.Delta->Initial) : *Map;
    if (!applyDelta(whole, *order.Delta))
      return false;
    order.Map = std::make_shared<const GroupPlacement>(std::move(whole));
    order.Delta.reset();
  }
  if (order.Map) {
    Version = order.Version;
    Map = order.Map;
  }
  return true;
}
