//===- ExpertMap.h - assignment of experts to slots -------------*- C++ -*-===//
//
// For every layer, the expert in each slot of each rank. An expert may occupy
// several slots, which then share its tokens.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_EXPERTMAP_H
#define OSPREYSPUR_EXPERTS_EXPERTMAP_H

#include "ospreyspur/Support/Result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ospreyspur {

/// An expert's number within its layer.
using ExpertIndex = std::uint16_t;

/// The dimensions of a group's maps.
struct MapShape {
  std::size_t Layers = 0;
  std::size_t Experts = 0;
  std::size_t Ranks = 0;
  /// Slots in use on each rank in each layer.
  std::size_t SlotsPerRank = 0;

  std::size_t slotsPerLayer() const { return Ranks * SlotsPerRank; }
  friend bool operator==(const MapShape &, const MapShape &) = default;
};

/// Tokens routed to each expert: [layer][expert].
using ExpertDemand = std::vector<std::vector<double>>;

/// A group's expert map.
struct ExpertMap {
  MapShape Shape;
  /// [layer][rank * SlotsPerRank + slot].
  std::vector<std::vector<ExpertIndex>> Slots;

  friend bool operator==(const ExpertMap &, const ExpertMap &) = default;
};

/// Returns the map that assigns experts to slots in turn. Needs at least one
/// slot per expert.
ExpertMap makeRoundRobinMap(const MapShape &shape);

/// Describes why \p map is invalid, such as an expert without a slot or twice
/// on one rank; empty if the map is valid.
std::string findMapFault(const ExpertMap &map);

/// Each rank's share of \p layer's tokens.
std::vector<double> rankLoads(const ExpertMap &map, std::size_t layer,
                              const std::vector<double> &demand);

/// Mean over layers of the highest rank load divided by the mean rank load; 1
/// is perfectly balanced.
double measureSkew(const ExpertMap &map, const ExpertDemand &demand);

/// Number of slots whose expert in \p after occupies no slot of the same rank
/// and layer in \p before. Each requires loading one expert's weights.
std::size_t countMoves(const ExpertMap &before, const ExpertMap &after);

/// Encodes \p map as text.
std::string formatMap(const ExpertMap &map);

/// Parses the output of formatMap(). Errors: BadRequest.
Result<ExpertMap> parseMap(const std::string &text);

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_EXPERTMAP_H
