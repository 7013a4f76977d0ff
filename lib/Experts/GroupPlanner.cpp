//===- GroupPlanner.cpp - decides when a group gets a new map -------------===//
//
// Members own equal, consecutive ranges of the ranks, in the order of the
// record.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/GroupPlanner.h"

using namespace ospreyspur;

void GroupPlanner::addTokens(const EndpointId &member, MapVersion version,
                             const std::vector<std::uint32_t> &tokens) {
  Report &report = Reports[member];
  // Counts under another map belong to other experts.
  if (report.Version != version || report.Tokens.size() != tokens.size())
    report = {version, std::vector<double>(tokens.size(), 0)};
  for (std::size_t i = 0; i < tokens.size(); ++i)
    report.Tokens[i] += tokens[i];
}

std::optional<ExpertDemand>
GroupPlanner::sumDemand(const GroupRecord &record, const ExpertMap &map) const {
  const MapShape &shape = map.Shape;
  std::size_t members = record.Members.size();
  if (members == 0 || shape.Ranks % members != 0)
    return std::nullopt;
  std::size_t slots = shape.slotsPerLayer() / members;
  ExpertDemand demand(shape.Layers, std::vector<double>(shape.Experts, 0));
  for (std::size_t i = 0; i < members; ++i) {
    auto it = Reports.find(record.Members[i]);
    if (it == Reports.end() || it->second.Version != record.Committed.Version ||
        it->second.Tokens.size() != shape.Layers * slots)
      return std::nullopt;
    for (std::size_t k = 0; k < it->second.Tokens.size(); ++k) {
      std::size_t layer = k / slots;
      ExpertIndex expert = map.Slots[layer][i * slots + k % slots];
      demand[layer][expert] += it->second.Tokens[k];
    }
  }
  return demand;
}

std::optional<MapPlan> GroupPlanner::plan(const GroupRecord &record,
                                          TimePoint now) {
  if (now < NextPlan)
    return std::nullopt;
  Result<ExpertMap> map = parseMap(record.Committed.Map);
  if (!map)
    return std::nullopt;
  std::optional<ExpertDemand> demand = sumDemand(record, map.value());
  if (!demand)
    return std::nullopt;
  NextPlan = now + Interval;
  Reports.clear();
  MapPlan plan = Planner.plan(map.value(), *demand);
  if (plan.Moves == 0)
    return std::nullopt;
  return plan;
}
