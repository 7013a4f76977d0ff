//===- DemandSampler.h - samples of a rank's demand -------------*- C++ -*-===//
//
// Turns the expert counts of one rank into samples and decides when the next
// sample is due. All ranks of a group send their samples to one coordinator
// over a narrow link, so each rank of a larger group sends fewer. A sample
// covers only a recent window: a sample of everything since the previous one,
// 0.6 s in a group of 63 ranks, would contain as much demand from before a
// shift as from after it.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_DEMANDSAMPLER_H
#define OSPREYSPUR_EXPERTS_DEMANDSAMPLER_H

#include "ospreyspur/Experts/RankStatus.h"
#include "ospreyspur/Support/Time.h"

#include <vector>

namespace ospreyspur {

/// How often a rank's demand is sampled.
struct SampleLimits {
  /// Shortest interval between two samples.
  Duration MinInterval = std::chrono::milliseconds(110);
  /// Longest desired interval. Demand shifts every few seconds; samples at
  /// longer intervals report one shift after the next one has already occurred,
  /// so that plans do not match the demand. Sampling then uses up to
  /// MaxBytesPerSecond to avoid this.
  Duration MaxDesiredInterval = std::chrono::milliseconds(800);
  /// Longest time that a sample covers: about two engine iterations of a busy
  /// group.
  Duration Window = std::chrono::milliseconds(150);
  /// Bytes per second that all ranks of a group together may send to their
  /// coordinator. A sample has one byte for each expert of each set.
  double BytesPerSecond = 0;
  /// The higher rate used where the interval would otherwise exceed
  /// MaxDesiredInterval.
  double MaxBytesPerSecond = 0;
};

/// Samples the demand of one rank.
class DemandSampler {
public:
  explicit DemandSampler(SampleLimits limits) : Limits(limits) {}

  bool isDue(TimePoint now) const { return now >= NextAt; }

  /// Computes from the counts of \p status how often each expert was chosen
  /// recently; empty if there are no earlier counts to compare with.
  std::vector<std::uint32_t> take(const RankStatus &status, TimePoint now);

  /// Interval between two samples in a group of \p ranks with \p counts each.
  Duration interval(unsigned ranks, std::size_t counts) const;

private:
  static Duration transmissionTime(double bytes, double bytesPerSecond);
  bool isSameCount(const RankStatus &status) const;
  void begin(const RankStatus &status);
  std::vector<std::uint32_t>
  countsSinceLast(const std::vector<std::uint64_t> &counts) const;

  SampleLimits Limits;
  /// When counts are needed next.
  TimePoint NextAt;
  /// Whether a sample has begun at LastCounts. Otherwise LastCounts only serves
  /// to detect that the number of counts has changed.
  bool IsSampling = false;
  RankIncarnation Incarnation;
  FormationEpoch Formation;
  std::vector<std::uint64_t> LastCounts;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_DEMANDSAMPLER_H
