//===- GroupPaces.cpp - how fast groups write their streams ---------------===//
//
// See GroupPaces.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/GroupPaces.h"

#include <algorithm>
#include <cmath>

using namespace ospreyspur;

/// Weight of the newest pause in the running mean; an entry sees some hundred a
/// second of a busy group.
static constexpr double NewestWeight = 0.05;

void GroupPaces::onBegun(const Key &group, TimePoint now) {
  Pace &pace = Paces[group];
  ++pace.Writing;
  pace.At = now;
}

void GroupPaces::onEvents(const Key &group, Duration gap, TimePoint now) {
  Pace &pace = Paces[group];
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
  // All ranks of a group step together, so it is as silent as the least silent
  // of its streams; a longer silence is the stream's own. Taken for the
  // group's, one of 0.9 s had dozens of sound streams broken off.
  pace.Gap = std::max(pace.Gap, std::min(silence, now - pace.At));
  pace.At = now;
}

Duration GroupPaces::gapOf(const Key &group, TimePoint now) const {
  auto it = Paces.find(group);
  if (it == Paces.end())
    return Duration::zero();
  const Pace &pace = it->second;
  Duration idle = now - pace.At;
  // Streams are open and none got anything: the group stands for as long.
  if (pace.Writing > 0)
    return std::max(pace.Gap, idle);
  double rest = std::exp2(-double(idle.count()) / double(HalfLife.count()));
  return std::chrono::duration_cast<Duration>(pace.Gap * rest);
}
