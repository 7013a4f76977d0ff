//===- GroupPlanner.h - decides when a group gets a new map -----*- C++ -*-===//
//
// Collects from each member the number of tokens that its own slots received.
// Together they give the demand for every expert, from which a map is planned
// at a fixed interval.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_GROUPPLANNER_H
#define OSPREYSPUR_EXPERTS_GROUPPLANNER_H

#include "ospreyspur/Experts/ExpertPlanner.h"
#include "ospreyspur/Experts/GroupRecord.h"
#include "ospreyspur/Support/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ospreyspur {

/// Plans maps for one group.
class GroupPlanner {
public:
  /// Plans at most once per \p interval.
  GroupPlanner(PlannerWeights weights, Duration interval)
      : Planner(weights), Interval(interval) {}

  /// Adds a member's tokens by layer and slot since its last report, counted
  /// under map \p version.
  void addTokens(const EndpointId &member, MapVersion version,
                 const std::vector<std::uint32_t> &tokens);

  /// Returns the map that follows the committed map of \p record, if the
  /// interval has passed, every member has reported and a change is worthwhile.
  std::optional<MapPlan> plan(const GroupRecord &record, TimePoint now);

private:
  /// The tokens that a member has reported since the last plan.
  struct Report {
    MapVersion Version;
    std::vector<double> Tokens;
  };

  std::optional<ExpertDemand> sumDemand(const GroupRecord &record,
                                        const ExpertMap &map) const;

  ExpertPlanner Planner;
  Duration Interval;
  TimePoint NextPlan;
  std::map<EndpointId, Report> Reports;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_GROUPPLANNER_H
