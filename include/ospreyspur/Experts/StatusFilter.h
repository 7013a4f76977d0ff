//===- StatusFilter.h - limits reports to the coordinator -------*- C++ -*-===//
//
// A rank's state is read at about every step. The coordinator receives the
// state when more than the step has changed, and otherwise only often enough to
// show that the rank is reachable: the traffic that a coordinator receives must
// not grow with the group.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_STATUSFILTER_H
#define OSPREYSPUR_EXPERTS_STATUSFILTER_H

#include "ospreyspur/Experts/RankStatus.h"
#include "ospreyspur/Support/Time.h"

#include <optional>
#include <string>

namespace ospreyspur {

/// Filters the states of one rank.
class StatusFilter {
public:
  /// Less than half of DirectReadPlanner::AgentTimeout, the silence after which
  /// a coordinator reads a rank directly.
  static constexpr Duration Heartbeat = std::chrono::milliseconds(180);

  /// The report to send to the coordinator at \p address for \p status, if any.
  /// The placement is omitted if the previous report to that address was of the
  /// same incarnation, formation and map, unless the report contains a sample.
  std::optional<RankStatus> filter(const RankStatus &status,
                                   const std::string &address, TimePoint now);

  /// Called when the previous report may not have arrived.
  void reset() { LastReport.reset(); }

private:
  bool hasChanged(const RankStatus &status) const;

  std::optional<RankStatus> LastReport;
  std::string Address;
  TimePoint LastReportAt;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_STATUSFILTER_H
