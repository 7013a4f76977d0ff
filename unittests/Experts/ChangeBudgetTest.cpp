//===- ChangeBudgetTest.cpp - size limits of a map change -----------------===//
//
// Where experts are small, a plan continues as long as copies help: on a group
// of 96 ranks, and on one of 63 ranks after a demand shift. Where experts are
// large, a plan brings few copies, since more of them delay the change too
// long.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/ChangeBudget.h"
#include "ospreyspur/Experts/DemandSampler.h"
#include "ospreyspur/Experts/PlacementPlanner.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <random>

using namespace ospreyspur;
using std::chrono::milliseconds;

namespace {
constexpr std::size_t Sets = 16;
constexpr std::size_t Ranks = 96;
constexpr std::size_t Experts = 192;

GroupPlacement makeInitialMap(std::size_t ranks = Ranks,
                              std::size_t sets = Sets,
                              std::size_t experts = Experts) {
  GroupPlacement out(ranks, RankPlacement(sets));
  for (std::size_t it = 0; it < experts; ++it)
    for (auto &set : out[it % ranks])
      set.push_back(static_cast<ExpertNumber>(it));
  return out;
}

/// The n-th most popular expert of each set is chosen in proportion to
/// n^-exponent.
std::vector<double> makeZipfDemand(std::size_t sets = Sets,
                                   std::size_t experts = Experts,
                                   double exponent = 0.53) {
  std::mt19937_64 random(1);
  std::vector<double> out;
  for (std::size_t set = 0; set < sets; ++set) {
    std::vector<double> demand;
    for (std::size_t i = 1; i <= experts; ++i)
      demand.push_back(1000 * std::pow(double(i), -exponent));
    std::shuffle(demand.begin(), demand.end(), random);
    out.insert(out.end(), demand.begin(), demand.end());
  }
  return out;
}
} // namespace

TEST_CASE("plans of a large group end at a low imbalance") {
  ChangeBudget budget(milliseconds(18));
  GroupPlacement map = makeInitialMap();
  std::vector<double> demand = makeZipfDemand();
  double skew = 0;
  for (unsigned change = 0; change < 3; ++change) {
    PlacementLimits limits{3, 2, budget.newPerRank(change == 0),
                           budget.minGain()};
    PlacementPlan plan = PlacementPlanner(limits).plan(map, demand);
    map = plan.Placement;
    skew = plan.SkewAfter;
  }
  // One new expert per rank and a minimum gain of 0.04 end at 1.75, a minimum
  // gain of 0.02 at 1.5.
  CHECK(skew < 1.35);
}

TEST_CASE("one change adapts a map to a shifted demand") {
  // 63 ranks with five places for 252 experts of 14 ms. The popularity of such
  // a group's experts follows n^-0.67, and a shift swaps the ranking of half of
  // the experts.
  constexpr std::size_t ShiftedRanks = 63;
  constexpr std::size_t ShiftedSets = 8;
  constexpr std::size_t ShiftedExperts = 252;
  ChangeBudget budget(milliseconds(14));
  PlacementLimits limits{5, 2, budget.newPerRank(true), budget.minGain()};
  PlacementPlanner planner(limits);
  GroupPlacement map =
      makeInitialMap(ShiftedRanks, ShiftedSets, ShiftedExperts);
  std::vector<double> demand =
      makeZipfDemand(ShiftedSets, ShiftedExperts, 0.67);
  std::mt19937_64 random(2);
  for (int shift = 0; shift < 5; ++shift) {
    PlacementPlan plan = planner.plan(map, demand);
    map = plan.Placement;
    // The limits that suit large experts end at 1.5.
    CHECK(plan.SkewAfter < 1.2);
    CHECK(plan.Copies < 5 * ShiftedRanks);
    for (std::size_t n = 0; n < demand.size() / 2; ++n) {
      std::size_t set = random() % ShiftedSets * ShiftedExperts;
      std::swap(demand[set + random() % ShiftedExperts],
                demand[set + random() % ShiftedExperts]);
    }
  }
}

TEST_CASE(
    "the minimum gain and the number of copies follow from the copy time") {
  for (int ms = 10; ms < 400; ms += 10) {
    ChangeBudget less{milliseconds(ms)};
    ChangeBudget more{milliseconds(ms + 10)};
    CHECK(less.minGain() <= more.minGain());
    CHECK(less.newPerRank(false) >= more.newPerRank(false));
    CHECK(less.newPerRank(true) >= less.newPerRank(false));
    bool isShort = less.newPerRank(true) * milliseconds(ms) <=
                   std::max<Duration>(2 * ChangeBudget::CopyTimePerChange,
                                      2 * milliseconds(ms));
    CHECK(isShort);
  }
}

TEST_CASE("groups with large experts get few copies per change") {
  for (int copy : {148, 150, 400}) {
    ChangeBudget budget{milliseconds(copy)};
    CHECK(budget.newPerRank(false) == 1);
    // Two copies take 0.8 s with experts of 0.4 s; during that time the shifted
    // demand meets the map from before the shift.
    CHECK(budget.newPerRank(true) == 1);
    CHECK(budget.minGain() ==
          doctest::Approx(ChangeBudget::MinGain).epsilon(0.02));
  }
  for (int copy : {37, 76})
    CHECK(ChangeBudget(milliseconds(copy)).newPerRank(false) == 1);
  CHECK(ChangeBudget(milliseconds(76)).newPerRank(true) == 1);
  ChangeBudget unknown(Duration::zero());
  CHECK(unknown.newPerRank(false) == 1);
  CHECK(unknown.newPerRank(true) == 2);
  CHECK(unknown.minGain() == ChangeBudget::MinGain);
}

TEST_CASE("a large group's demand is sampled before the next shift") {
  constexpr double LinkBytesPerSecond = 6e6 / 8;
  SampleLimits limits;
  limits.BytesPerSecond = LinkBytesPerSecond * 0.2;
  limits.MaxBytesPerSecond = LinkBytesPerSecond * 0.5;
  DemandSampler sampler(limits);
  Duration large = sampler.interval(Ranks, Sets * Experts);
  CHECK(large <= milliseconds(800));
  double bytes = double(Ranks * Sets * Experts);
  double seconds = std::chrono::duration<double>(large).count();
  CHECK(bytes / seconds <= limits.MaxBytesPerSecond * 1.01);
  // Groups that are sampled often enough use no more than the normal share of
  // the link.
  CHECK(sampler.interval(24, std::size_t(16) * 96) ==
        std::chrono::microseconds(245760));
}
