//===- GroupPaces.cpp - inter-event gaps of each group --------------------===//
//
// See GroupPaces.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/GroupPaces.h"

#include <algorithm>
#include <cmath>

using namespace ospreyspur;

/// Weight of the latest gap in the running mean. An entry observes some hundred
/// gaps per second of a busy group.
static constexpr double NewestWeight = 0.05;

void GroupPaces::onBegun(const Key &group, TimePoint now) {
  Pace &pace = Paces[group];
  // Applies the decay of the idle time now, so that setting the new time below
  // does not undo it.
  if (pace.Writing == 0)
    pace.Gap = fade(pace, now);
  ++pace.Writing;
  pace.At = now;
}

void GroupPaces::onEvents(const Key &group, Duration gap, TimePoint now) {
  Pace &pace = Paces[group];
  // Other streams of the group received events while this one was silent, so
  // the gap is due to this stream alone.
  bool isOwn = gap >= OwnSilence && now - pace.At < gap / 2;
  if (isOwn) {
    pace.At = now;
    return;
  }
  auto change =
      std::chrono::duration_cast<Duration>((gap - pace.Gap) * NewestWeight);
  pace.Gap = pace.Gap == Duration::zero() ? gap : pace.Gap + change;
  pace.At = now;
}

void GroupPaces::onEnded(const Key &group) {
  Pace &pace = Paces[group];
  if (pace.Writing > 0)
    --pace.Writing;
}

void GroupPaces::onSilence(const Key &group, Duration silence, TimePoint now) {
  Pace &pace = Paces[group];
  if (pace.Writing < StreamsThatTell)
    return;
  // All ranks of a group step together, so the group has been silent only as
  // long as the least silent of its streams. A longer idle period is the
  // stream's own. When an idle period of 0.9 s of one stream was taken for the
  // group's, dozens of healthy streams were stopped.
  pace.Gap = std::max(pace.Gap, std::min(silence, now - pace.At));
  pace.At = now;
}

Duration GroupPaces::gapOf(const Key &group, TimePoint now) const {
  auto it = Paces.find(group);
  if (it == Paces.end())
    return Duration::zero();
  const Pace &pace = it->second;
  // Streams are open and none received anything, so the group has been stalled
  // for this long.
  if (pace.Writing > 0)
    return std::max(pace.Gap, now - pace.At);
  return fade(pace, now);
}

Duration GroupPaces::sureGapOf(const Key &group, TimePoint now) const {
  auto it = Paces.find(group);
  if (it == Paces.end())
    return Duration::zero();
  const Pace &pace = it->second;
  return pace.Writing == 1 ? fade(pace, now) : gapOf(group, now);
}

Duration GroupPaces::fade(const Pace &pace, TimePoint now) {
  Duration idle = now - pace.At;
  double rest = std::exp2(-double(idle.count()) / double(HalfLife.count()));
  return std::chrono::duration_cast<Duration>(pace.Gap * rest);
}
