//===- DemandSampler.cpp - samples of a rank's demand ---------------------===//
//
// See DemandSampler.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/DemandSampler.h"

#include <algorithm>

using namespace ospreyspur;

bool DemandSampler::isSameCount(const RankStatus &status) const {
  return Incarnation == status.Incarnation && Formation == status.Formation &&
         LastCounts.size() == status.Counts.size();
}

void DemandSampler::begin(const RankStatus &status) {
  IsSampling = true;
  Incarnation = status.Incarnation;
  Formation = status.Formation;
  LastCounts = status.Counts;
}

std::vector<std::uint32_t> DemandSampler::take(const RankStatus &status,
                                               TimePoint now) {
  Duration every = interval(status.Size, status.Counts.size());
  Duration window = std::min(every, Limits.Window);
  if (!isSameCount(status)) {
    begin(status);
    // Members of a group that start together send their samples in turn.
    Duration turn = every * status.Rank / std::max(status.Size, 1U);
    IsSampling = turn < Limits.MinInterval;
    NextAt = now + (IsSampling ? window : turn);
    return {};
  }
  if (!IsSampling) {
    begin(status);
    NextAt = now + window;
    return {};
  }
  std::vector<std::uint32_t> out = countsSinceLast(status.Counts);
  begin(status);
  IsSampling = every - window < Limits.MinInterval;
  NextAt = now + (IsSampling ? every : every - window);
  return out;
}

std::vector<std::uint32_t>
DemandSampler::countsSinceLast(const std::vector<std::uint64_t> &counts) const {
  std::vector<std::uint32_t> out;
  out.reserve(counts.size());
  for (std::size_t i = 0; i < counts.size(); ++i)
    out.push_back(static_cast<std::uint32_t>(
        counts[i] - std::min(counts[i], LastCounts[i])));
  return out;
}

/// The time that sending \p bytes takes at \p bytesPerSecond.
Duration DemandSampler::transmissionTime(double bytes, double bytesPerSecond) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(bytes / bytesPerSecond));
}

Duration DemandSampler::interval(unsigned ranks, std::size_t counts) const {
  if (Limits.BytesPerSecond <= 0)
    return Limits.MinInterval;
  double bytes = double(ranks) * double(counts);
  Duration normalInterval = transmissionTime(bytes, Limits.BytesPerSecond);
  if (normalInterval > Limits.MaxDesiredInterval &&
      Limits.MaxBytesPerSecond > 0)
    normalInterval =
        std::max(Limits.MaxDesiredInterval,
                 transmissionTime(bytes, Limits.MaxBytesPerSecond));
  return std::max(Limits.MinInterval, normalInterval);
}
