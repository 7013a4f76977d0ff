//===- GroupPlanner.h - decides when a group gets a new map -----*- C++ -*-===//
//
// Collects from each member the tokens that its own slots got, which add up to
// the demand for every expert, and plans from them at a steady pace.
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
  /// Plans at most once in \p interval.
  GroupPlanner(PlannerWeights weights, Duration interval)
      : Planner(weights), Interval(interval) {}

  /// Takes a member's tokens by layer and slot since its last report, under map
  /// \p version.
  void addTokens(const EndpointId &member, MapVersion version,
                 const std::vector<std::uint32_t> &tokens);

  /// The map to bring into force after the one in \p record, if it is time,
  /// every member has reported and a change is worthwhile.
  std::optional<MapPlan> plan(const GroupRecord &record, TimePoint now);

private:
  /// What a member reported since the last plan.
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
