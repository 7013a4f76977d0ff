//===- ClosedEndpoints.cpp - endpoints in backoff or leaving --------------===//
//
// See ClosedEndpoints.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Pushback/ClosedEndpoints.h"

#include <algorithm>

using namespace ospreyspur;

void ClosedEndpoints::onRest(LifeDigest life, Duration rest, TimePoint now) {
  std::erase_if(RestUntil, [now](const auto &it) { return it.second <= now; });
  bool isNew = !RestUntil.contains(life);
  if (rest <= Duration::zero() || (isNew && RestUntil.size() >= MaxEndpoints))
    return;
  TimePoint &until = RestUntil[life];
  until = std::max(until, now + rest);
  if (isNew && Notes.size() < MaxNotes)
    Notes.push_back({life, rest});
}

TimePoint ClosedEndpoints::restUntil(LifeDigest life) const {
  auto it = RestUntil.find(life);
  return it == RestUntil.end() ? TimePoint() : it->second;
}

std::optional<TimePoint> ClosedEndpoints::nextEnd(TimePoint now) const {
  std::optional<TimePoint> next;
  for (const auto &[life, until] : RestUntil)
    if (until > now && (!next || until < *next))
      next = until;
  return next;
}

std::size_t ClosedEndpoints::restingCount(TimePoint now) const {
  return std::count_if(RestUntil.begin(), RestUntil.end(),
                       [now](const auto &it) { return it.second > now; });
}

void ClosedEndpoints::onLeaving(LifeDigest life, bool isTold, TimePoint now) {
  if (isLeaving(life))
    return;
  std::erase_if(Leaving, [now](const auto &it) {
    return now - it.second.SaidAt >= KeepLeavingFor;
  });
  if (Leaving.size() >= MaxEndpoints)
    return;
  Leaving[life] = {now, isTold ? 0 : LeavingTellings};
  if (LeavingNotes.size() < MaxNotes)
    LeavingNotes.push_back(life);
}

std::vector<LifeDigest> ClosedEndpoints::takeLeavingReport() {
  std::vector<LifeDigest> out;
  for (auto &[life, it] : Leaving) {
    if (it.Tellings == 0 || out.size() >= MaxToldLeaving)
      continue;
    --it.Tellings;
    out.push_back(life);
  }
  return out;
}
