//===- DemandSampler.cpp - what a rank tells of its demand ----------------===//
//
// See DemandSampler.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/DemandSampler.h"

#include <algorithm>

using namespace ospreyspur;

std::vector<std::uint32_t> DemandSampler::take(const RankStatus &status,
                                               TimePoint now) {
  const std::vector<std::uint64_t> &counts = status.Counts;
  NextAt = now + interval(status.Size, counts.size());
  std::vector<std::uint32_t> out;
  if (Life == status.Life && Formation == status.Formation &&
      Last.size() == counts.size()) {
    out.reserve(counts.size());
    for (std::size_t i = 0; i < counts.size(); ++i)
      out.push_back(
          static_cast<std::uint32_t>(counts[i] - std::min(counts[i], Last[i])));
  }
  Life = status.Life;
  Formation = status.Formation;
  Last = counts;
  return out;
}

/// How long \p bytes take at \p bytesPerSecond.
Duration DemandSampler::spread(double bytes, double bytesPerSecond) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(bytes / bytesPerSecond));
}

Duration DemandSampler::interval(unsigned ranks, std::size_t counts) const {
  if (Limits.BytesPerSecond <= 0)
    return Limits.Shortest;
  double bytes = double(ranks) * double(counts);
  Duration usual = spread(bytes, Limits.BytesPerSecond);
  if (usual > Limits.LongestWanted && Limits.MostBytesPerSecond > 0)
    usual = std::max(Limits.LongestWanted,
                     spread(bytes, Limits.MostBytesPerSecond));
  return std::max(Limits.Shortest, usual);
}
