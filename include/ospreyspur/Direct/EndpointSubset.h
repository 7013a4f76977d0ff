//===- EndpointSubset.h - the endpoints that an entry uses ------*- C++ -*-===//
//
// Entries tell each other the load that they put on endpoints. If every entry
// used every endpoint, the number of these messages would grow with the square
// of the number of entries. In a large fleet an entry therefore uses only a
// subset of the endpoints, those of its own data centre, and exchanges load
// only with the entries that use the same subset. Endpoints outside of the
// subset are a last resort.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_ENDPOINTSUBSET_H
#define OSPREYSPUR_DIRECT_ENDPOINTSUBSET_H

#include "ospreyspur/Direct/EndpointList.h"
#include "ospreyspur/Direct/NodeRegistry.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace ospreyspur {

/// One entry's subset. All entries derive the same subsets from the same list.
class EndpointSubset {
public:
  /// Fleets of at most this many entries are not divided.
  static constexpr std::size_t MaxUndivided = 64;
  /// Maximum number of entries that share a subset. A data centre with more is
  /// divided into several subsets of equal size.
  static constexpr std::size_t MaxSharing = 96;

  EndpointSubset(const NodeRecord &self, const std::vector<NodeRecord> &others);

  /// Whether the subset is all endpoints.
  bool isWhole() const { return IsWhole; }
  /// Whether the subset has \p endpoint.
  bool contains(const EndpointRecord &endpoint) const;
  /// The other entries that share the subset.
  const std::set<std::string> &sharing() const { return Sharing; }
  /// Marks the endpoints outside of the subset. A service without endpoints in
  /// the subset has none outside of it either.
  void markOutside(std::vector<ListedEndpoint> &endpoints) const;

private:
  DataCentreId DataCentre;
  bool IsWhole = true;
  /// Number of subsets in the data centre, and the index of this one.
  std::size_t Subsets = 1;
  std::size_t Index = 0;
  std::set<std::string> Sharing;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_ENDPOINTSUBSET_H
