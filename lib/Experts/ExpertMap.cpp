//===- ExpertMap.cpp - building, checking and encoding maps ---------------===//
//
// The text form is "<layers> <experts> <ranks> <slots per rank> ", followed by
// four hex digits for the expert in each slot, layer by layer.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/ExpertMap.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <numeric>
#include <set>
#include <sstream>

using namespace ospreyspur;

static constexpr std::size_t DigitsPerSlot = 4;
static constexpr std::size_t MaxSlots = 1U << 20U;

ExpertMap ospreyspur::makeRoundRobinMap(const MapShape &shape) {
  ExpertMap map{shape, {}};
  std::vector<ExpertIndex> layer(shape.slotsPerLayer());
  for (std::size_t i = 0; i < layer.size(); ++i)
    layer[i] = static_cast<ExpertIndex>(i % shape.Experts);
  map.Slots.assign(shape.Layers, layer);
  return map;
}

std::string ospreyspur::findMapFault(const ExpertMap &map) {
  const MapShape &shape = map.Shape;
  if (map.Slots.size() != shape.Layers)
    return "the map's number of layers does not match its shape";
  for (const auto &layer : map.Slots) {
    if (layer.size() != shape.slotsPerLayer())
      return "a layer's number of slots does not match the map's shape";
    std::vector<bool> isPlaced(shape.Experts, false);
    for (std::size_t rank = 0; rank < shape.Ranks; ++rank) {
      auto first = layer.begin() + std::ptrdiff_t(rank * shape.SlotsPerRank);
      std::set<ExpertIndex> onRank(first,
                                   first + std::ptrdiff_t(shape.SlotsPerRank));
      if (onRank.size() < shape.SlotsPerRank)
        return "a rank holds an expert twice";
      if (*onRank.rbegin() >= shape.Experts)
        return "an expert's index is out of range";
      for (ExpertIndex it : onRank)
        isPlaced[it] = true;
    }
    if (std::find(isPlaced.begin(), isPlaced.end(), false) != isPlaced.end())
      return "an expert has no slot";
  }
  return {};
}

std::vector<double> ospreyspur::rankLoads(const ExpertMap &map,
                                          std::size_t layer,
                                          const std::vector<double> &demand) {
  const auto &slots = map.Slots[layer];
  std::vector<double> copies(map.Shape.Experts, 0);
  for (ExpertIndex it : slots)
    ++copies[it];
  std::vector<double> loads(map.Shape.Ranks, 0);
  for (std::size_t i = 0; i < slots.size(); ++i)
    loads[i / map.Shape.SlotsPerRank] += demand[slots[i]] / copies[slots[i]];
  return loads;
}

double ospreyspur::measureSkew(const ExpertMap &map,
                               const ExpertDemand &demand) {
  double sum = 0;
  for (std::size_t layer = 0; layer < map.Shape.Layers; ++layer) {
    std::vector<double> loads = rankLoads(map, layer, demand[layer]);
    double total = std::accumulate(loads.begin(), loads.end(), 0.0);
    double mean = total / static_cast<double>(loads.size());
    sum += mean > 0 ? *std::max_element(loads.begin(), loads.end()) / mean : 1;
  }
  return sum / static_cast<double>(map.Shape.Layers);
}

std::size_t ospreyspur::countMoves(const ExpertMap &before,
                                   const ExpertMap &after) {
  // The order of experts within a rank's slots does not matter.
  std::size_t moves = 0;
  std::size_t slots = after.Shape.SlotsPerRank;
  for (std::size_t layer = 0; layer < after.Shape.Layers; ++layer)
    for (std::size_t i = 0; i < after.Slots[layer].size(); ++i) {
      auto first =
          before.Slots[layer].begin() + std::ptrdiff_t(i / slots * slots);
      auto last = first + std::ptrdiff_t(slots);
      moves += std::find(first, last, after.Slots[layer][i]) == last;
    }
  return moves;
}

std::string ospreyspur::formatMap(const ExpertMap &map) {
  static constexpr char Digits[] = "0123456789abcdef";
  const MapShape &shape = map.Shape;
  std::ostringstream os;
  os << shape.Layers << ' ' << shape.Experts << ' ' << shape.Ranks << ' '
     << shape.SlotsPerRank << ' ';
  std::string text = os.str();
  for (const auto &layer : map.Slots)
    for (ExpertIndex it : layer)
      for (unsigned shift : {12U, 8U, 4U, 0U})
        text += Digits[(it >> shift) & 15U];
  return text;
}

Result<ExpertMap> ospreyspur::parseMap(const std::string &text) {
  Error bad{ResultCode::BadRequest, "the expert map is malformed"};
  std::istringstream is(text);
  ExpertMap map;
  MapShape &shape = map.Shape;
  std::string digits;
  is >> shape.Layers >> shape.Experts >> shape.Ranks >> shape.SlotsPerRank >>
      digits;
  bool isInRange = shape.Layers <= MaxSlots && shape.Ranks <= MaxSlots &&
                   shape.SlotsPerRank <= MaxSlots &&
                   shape.slotsPerLayer() <= MaxSlots &&
                   shape.Experts <= shape.slotsPerLayer();
  if (!is || !isInRange ||
      digits.size() != shape.Layers * shape.slotsPerLayer() * DigitsPerSlot)
    return bad;
  const char *next = digits.data();
  map.Slots.assign(shape.Layers,
                   std::vector<ExpertIndex>(shape.slotsPerLayer()));
  for (auto &layer : map.Slots)
    for (ExpertIndex &it : layer) {
      auto [end, ec] = std::from_chars(next, next + DigitsPerSlot, it, 16);
      if (ec != std::errc() || end != next + DigitsPerSlot)
        return bad;
      next = end;
    }
  std::string fault = findMapFault(map);
  if (!fault.empty())
    return Error{ResultCode::BadRequest, fault};
  return map;
}
