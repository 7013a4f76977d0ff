//===- EndpointSubset.cpp - the endpoints that an entry uses --------------===//
//
// See EndpointSubset.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/EndpointSubset.h"

#include "ospreyspur/Support/Digest.h"

#include <algorithm>
#include <utility>

using namespace ospreyspur;

EndpointSubset::EndpointSubset(const NodeRecord &self,
                               const std::vector<NodeRecord> &others)
    : DataCentre(self.DataCentre), IsWhole(others.size() < MaxUndivided) {
  std::vector<std::pair<std::uint64_t, std::string>> local;
  auto add = [&local](const NodeRecord &it) {
    local.emplace_back(digest64(it.Name), it.Name);
  };
  add(self);
  for (const NodeRecord &it : others)
    if (IsWhole || it.DataCentre == DataCentre)
      add(it);
  std::sort(local.begin(), local.end());
  Subsets = IsWhole ? 1 : (local.size() + MaxSharing - 1) / MaxSharing;
  auto own = std::find_if(local.begin(), local.end(), [&](const auto &it) {
    return it.second == self.Name;
  });
  Index = static_cast<std::size_t>(own - local.begin()) % Subsets;
  for (std::size_t i = Index; i < local.size(); i += Subsets)
    if (local[i].second != self.Name)
      Sharing.insert(local[i].second);
}

bool EndpointSubset::contains(const EndpointRecord &endpoint) const {
  return IsWhole || (endpoint.DataCentre == DataCentre &&
                     digest64(endpoint.Name) % Subsets == Index);
}

void EndpointSubset::markOutside(std::vector<ListedEndpoint> &endpoints) const {
  std::set<ServiceId> covered;
  for (const ListedEndpoint &it : endpoints)
    if (contains(it.Record))
      covered.insert(it.Record.Service);
  for (ListedEndpoint &it : endpoints)
    it.IsOutside = covered.contains(it.Record.Service) && !contains(it.Record);
}
