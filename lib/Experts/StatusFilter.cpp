//===- StatusFilter.cpp - limits reports to the coordinator ---------------===//
//
// See StatusFilter.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/StatusFilter.h"

#include <cmath>

using namespace ospreyspur;

/// The slowdown of a rank fluctuates slightly; a relative change above this
/// value is reported.
static constexpr double MinSlowdownChange = 0.2;

std::optional<RankStatus> StatusFilter::filter(const RankStatus &status,
                                               const std::string &address,
                                               TimePoint now) {
  if (address != Address)
    reset();
  Address = address;
  bool isDue = now - LastReportAt >= Heartbeat || !status.SampledCounts.empty();
  if (LastReport && !isDue && !hasChanged(status))
    return std::nullopt;
  RankStatus out = status;
  out.Counts.clear();
  bool hasPlacement = LastReport &&
                      LastReport->Incarnation == status.Incarnation &&
                      LastReport->Formation == status.Formation &&
                      LastReport->Map == status.Map;
  // Reports with samples include the placement again, in case the earlier
  // report was lost.
  if (hasPlacement && status.SampledCounts.empty())
    out.Placement.clear();
  LastReport = status;
  LastReportAt = now;
  return out;
}

bool StatusFilter::hasChanged(const RankStatus &status) const {
  return LastReport->Group != status.Group ||
         LastReport->Incarnation != status.Incarnation ||
         LastReport->Formation != status.Formation ||
         LastReport->Rank != status.Rank || LastReport->Size != status.Size ||
         LastReport->IsOpen != status.IsOpen || LastReport->Map != status.Map ||
         LastReport->Prepared != status.Prepared ||
         LastReport->Armed != status.Armed || LastReport->Held != status.Held ||
         std::abs(LastReport->Slowdown - status.Slowdown) >
             MinSlowdownChange * LastReport->Slowdown;
}
