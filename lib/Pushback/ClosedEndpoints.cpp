//===- ClosedEndpoints.cpp - endpoints in backoff or leaving --------------===//
//
// See ClosedEndpoints.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Pushback/ClosedEndpoints.h"

#include <algorithm>

using namespace ospreyspur;

void ClosedEndpoints::onRest(LifeDigest incarnation, Duration backoff,
                             TimePoint now) {
  std::erase_if(BackoffUntil,
                [now](const auto &it) { return it.second <= now; });
  bool isNew = !BackoffUntil.contains(incarnation);
  if (backoff <= Duration::zero() ||
      (isNew && BackoffUntil.size() >= MaxEndpoints))
    return;
  TimePoint &until = BackoffUntil[incarnation];
  until = std::max(until, now + backoff);
  if (isNew && Notes.size() < MaxNotes)
    Notes.push_back({incarnation, backoff});
}

TimePoint ClosedEndpoints::restUntil(LifeDigest incarnation) const {
  auto it = BackoffUntil.find(incarnation);
  return it == BackoffUntil.end() ? TimePoint() : it->second;
}

std::optional<TimePoint> ClosedEndpoints::nextEnd(TimePoint now) const {
  std::optional<TimePoint> next;
  for (const auto &[incarnation, until] : BackoffUntil)
    if (until > now && (!next || until < *next))
      next = until;
  return next;
}

std::size_t ClosedEndpoints::restingCount(TimePoint now) const {
  return std::count_if(BackoffUntil.begin(), BackoffUntil.end(),
                       [now](const auto &it) { return it.second > now; });
}

void ClosedEndpoints::onLeaving(LifeDigest incarnation, bool isFromPeer,
                                TimePoint now) {
  if (isLeaving(incarnation))
    return;
  std::erase_if(Leaving, [now](const auto &it) {
    return now - it.second.ReportedAt >= KeepLeavingFor;
  });
  if (Leaving.size() >= MaxEndpoints)
    return;
  Leaving[incarnation] = {now, isFromPeer ? 0 : LeavingAnnouncements};
  if (LeavingNotes.size() < MaxNotes)
    LeavingNotes.push_back(incarnation);
}

std::vector<LifeDigest> ClosedEndpoints::takeLeavingReport() {
  std::vector<LifeDigest> out;
  for (auto &[incarnation, it] : Leaving) {
    if (it.RemainingAnnouncements == 0 || out.size() >= MaxLeavingPerReport)
      continue;
    --it.RemainingAnnouncements;
    out.push_back(incarnation);
  }
  return out;
}
