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
static constexpr double PaceChange = 0.2;

std::optional<RankStatus> StatusFilter::filter(const RankStatus &status,
                                               const std::string &address,
                                               TimePoint now) {
  if (address != Address)
    reset();
  Address = address;
  bool isDue = now - ToldAt >= Heartbeat || !status.Picks.empty();
  if (Told && !isDue && !isNews(status))
    return std::nullopt;
  RankStatus out = status;
  out.Counts.clear();
  bool hasPlacement = Told && Told->Life == status.Life &&
                      Told->Formation == status.Formation &&
                      Told->Map == status.Map;
  // Reports with samples include the placement again, in case the earlier
  // report was lost.
  if (hasPlacement && status.Picks.empty())
    out.Placement.clear();
  Told = status;
  ToldAt = now;
  return out;
}

bool StatusFilter::isNews(const RankStatus &status) const {
  return Told->Group != status.Group || Told->Life != status.Life ||
         Told->Formation != status.Formation || Told->Rank != status.Rank ||
         Told->Size != status.Size || Told->IsOpen != status.IsOpen ||
         Told->Map != status.Map || Told->Prepared != status.Prepared ||
         Told->Armed != status.Armed || Told->Held != status.Held ||
         std::abs(Told->Pace - status.Pace) > PaceChange * Told->Pace;
}
