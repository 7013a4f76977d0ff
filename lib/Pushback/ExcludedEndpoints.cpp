//===- ExcludedEndpoints.cpp - endpoints in backoff or leaving ------------===//
//
// See ExcludedEndpoints.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Pushback/ExcludedEndpoints.h"

#include <algorithm>

using namespace ospreyspur;

void ExcludedEndpoints::onBackoff(IncarnationDigest incarnation,
                                  Duration backoff, TimePoint now) {
  std::erase_if(BackoffUntil,
                [now](const auto &it) { return it.second <= now; });
  bool isNew = !BackoffUntil.contains(incarnation);
  if (backoff <= Duration::zero() ||
      (isNew && BackoffUntil.size() >= MaxEndpoints))
    return;
  TimePoint &until = BackoffUntil[incarnation];
  until = std::max(until, now + backoff);
  if (isNew && LogRecords.size() < MaxLogRecords)
    LogRecords.push_back({incarnation, backoff});
}

TimePoint ExcludedEndpoints::backoffUntil(IncarnationDigest incarnation) const {
  auto it = BackoffUntil.find(incarnation);
  return it == BackoffUntil.end() ? TimePoint() : it->second;
}

std::optional<TimePoint>
ExcludedEndpoints::nextBackoffEnd(TimePoint now) const {
  std::optional<TimePoint> next;
  for (const auto &[incarnation, until] : BackoffUntil)
    if (until > now && (!next || until < *next))
      next = until;
  return next;
}

std::size_t ExcludedEndpoints::backoffCount(TimePoint now) const {
  return std::count_if(BackoffUntil.begin(), BackoffUntil.end(),
                       [now](const auto &it) { return it.second > now; });
}

void ExcludedEndpoints::onLeaving(IncarnationDigest incarnation,
                                  bool isFromPeer, TimePoint now) {
  if (isLeaving(incarnation))
    return;
  std::erase_if(Leaving, [now](const auto &it) {
    return now - it.second.ReportedAt >= KeepLeavingFor;
  });
  if (Leaving.size() >= MaxEndpoints)
    return;
  Leaving[incarnation] = {now, isFromPeer ? 0 : LeavingAnnouncements};
  if (LeavingLogRecords.size() < MaxLogRecords)
    LeavingLogRecords.push_back(incarnation);
}

std::vector<IncarnationDigest> ExcludedEndpoints::takeLeavingReport() {
  std::vector<IncarnationDigest> out;
  for (auto &[incarnation, it] : Leaving) {
    if (it.RemainingAnnouncements == 0 || out.size() >= MaxLeavingPerReport)
      continue;
    --it.RemainingAnnouncements;
    out.push_back(incarnation);
  }
  return out;
}
