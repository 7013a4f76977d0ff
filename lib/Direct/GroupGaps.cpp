//===- GroupGaps.cpp - inter-event gaps of each group ---------------------===//
//
// See GroupGaps.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/GroupGaps.h"

#include <algorithm>
#include <cmath>

using namespace ospreyspur;

/// Weight of the latest gap in the running mean. An entry observes some hundred
/// gaps per second of a busy group.
static constexpr double LatestGapWeight = 0.05;

void GroupGaps::onBegun(const Key &group, TimePoint now) {
  GapEstimate &estimate = Estimates[group];
  // Applies the decay of the idle time now, so that setting the new time below
  // does not undo it.
  if (estimate.DecodingStreams == 0)
    estimate.Gap = decay(estimate, now);
  ++estimate.DecodingStreams;
  estimate.At = now;
}

void GroupGaps::onEvents(const Key &group, Duration gap, TimePoint now) {
  GapEstimate &estimate = Estimates[group];
  // Other streams of the group received events while this one was silent, so
  // the gap is due to this stream alone.
  bool isOwn = gap >= MinStreamIdleTime && now - estimate.At < gap / 2;
  if (isOwn) {
    estimate.At = now;
    return;
  }
  auto change = std::chrono::duration_cast<Duration>((gap - estimate.Gap) *
                                                     LatestGapWeight);
  estimate.Gap = estimate.Gap == Duration::zero() ? gap : estimate.Gap + change;
  estimate.At = now;
}

void GroupGaps::onEnded(const Key &group) {
  GapEstimate &estimate = Estimates[group];
  if (estimate.DecodingStreams > 0)
    --estimate.DecodingStreams;
}

void GroupGaps::onEndedIdle(const Key &group, Duration idleTime,
                            TimePoint now) {
  GapEstimate &estimate = Estimates[group];
  if (estimate.DecodingStreams < MinDecodingStreams)
    return;
  // All ranks of a group step together, so the group has been silent only as
  // long as the least silent of its streams. A longer idle period is the
  // stream's own. When an idle period of 0.9 s of one stream was taken for the
  // group's, dozens of healthy streams were stopped.
  estimate.Gap = std::max(estimate.Gap, std::min(idleTime, now - estimate.At));
  estimate.At = now;
}

Duration GroupGaps::gapOf(const Key &group, TimePoint now) const {
  auto it = Estimates.find(group);
  if (it == Estimates.end())
    return Duration::zero();
  const GapEstimate &estimate = it->second;
  // Streams are open and none received anything, so the group has been stalled
  // for this long.
  if (estimate.DecodingStreams > 0)
    return std::max(estimate.Gap, now - estimate.At);
  return decay(estimate, now);
}

Duration GroupGaps::confirmedGapOf(const Key &group, TimePoint now) const {
  auto it = Estimates.find(group);
  if (it == Estimates.end())
    return Duration::zero();
  const GapEstimate &estimate = it->second;
  return estimate.DecodingStreams == 1 ? decay(estimate, now)
                                       : gapOf(group, now);
}

Duration GroupGaps::decay(const GapEstimate &estimate, TimePoint now) {
  Duration idle = now - estimate.At;
  double rest = std::exp2(-double(idle.count()) / double(HalfLife.count()));
  return std::chrono::duration_cast<Duration>(estimate.Gap * rest);
}
