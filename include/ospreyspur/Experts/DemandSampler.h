//===- DemandSampler.h - what a rank tells of its demand --------*- C++ -*-===//
//
// Turns the counts of one rank into what was chosen since the sample before,
// and decides when the next sample is due: all ranks of a group send theirs to
// one coordinator, whose link is narrow, so a larger group sends fewer of each.
// A sample tells of the last moments only: one of all that was chosen since the
// sample before, 0.6 s in a group of 63, still has as much of what was liked
// before a shift as of what is liked now.
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
  /// Shortest time between two samples.
  Duration Shortest = std::chrono::milliseconds(110);
  /// Demand shifts every few seconds. A sample that comes more rarely than this
  /// tells of one shift what the next one has changed, and a plan then follows
  /// chance: more of the link is worth it.
  Duration LongestWanted = std::chrono::milliseconds(800);
  /// Longest time that a sample covers; some two passes of a busy group.
  Duration Window = std::chrono::milliseconds(150);
  /// What all ranks of a group may send to their coordinator in a second; a
  /// sample has a byte for each expert of each set.
  double BytesPerSecond = 0;
  /// The same where samples would otherwise come more rarely than wanted.
  double MostBytesPerSecond = 0;
};

/// Samples one rank.
class DemandSampler {
public:
  explicit DemandSampler(SampleLimits limits) : Limits(limits) {}

  bool isDue(TimePoint now) const { return now >= NextAt; }

  /// What was chosen lately, by the counts of \p status; empty if there is
  /// nothing to compare with yet.
  std::vector<std::uint32_t> take(const RankStatus &status, TimePoint now);

  /// Time between two samples in a group of \p ranks with \p counts each.
  Duration interval(unsigned ranks, std::size_t counts) const;

private:
  static Duration spread(double bytes, double bytesPerSecond);
  bool isSameCount(const RankStatus &status) const;
  void begin(const RankStatus &status);
  std::vector<std::uint32_t>
  sinceLast(const std::vector<std::uint64_t> &counts) const;

  SampleLimits Limits;
  /// When counts are wanted next.
  TimePoint NextAt;
  /// Whether Last begins a sample; else it only tells what is counted.
  bool IsSampling = false;
  RankLife Life;
  FormationEpoch Formation;
  std::vector<std::uint64_t> Last;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_DEMANDSAMPLER_H
