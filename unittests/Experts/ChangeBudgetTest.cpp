//===- ChangeBudgetTest.cpp - what a change brings to a large group -------===//
//
// On a group of 96 ranks whose experts are small plans go on where those of a
// smaller group end; groups whose figures were found by trials keep them.
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

GroupPlacement deal() {
  GroupPlacement out(Ranks, RankPlacement(Sets));
  for (std::size_t it = 0; it < Experts; ++it)
    for (auto &set : out[it % Ranks])
      set.push_back(static_cast<ExpertNumber>(it));
  return out;
}

/// The n-th liked expert of each set is chosen in proportion to n^-0.53.
std::vector<double> likeSome() {
  std::mt19937_64 random(1);
  std::vector<double> out;
  for (std::size_t set = 0; set < Sets; ++set) {
    std::vector<double> demand;
    for (std::size_t i = 1; i <= Experts; ++i)
      demand.push_back(1000 * std::pow(double(i), -0.53));
    std::shuffle(demand.begin(), demand.end(), random);
    out.insert(out.end(), demand.begin(), demand.end());
  }
  return out;
}
} // namespace

TEST_CASE("a large group's plans end below the skew of a smaller one's") {
  ChangeBudget budget(milliseconds(18), Ranks);
  GroupPlacement map = deal();
  std::vector<double> demand = likeSome();
  double skew = 0;
  for (unsigned change = 0; change < 3; ++change) {
    PlacementLimits limits{3, 2, budget.newPerRank(change == 0),
                           budget.minGain()};
    PlacementPlan plan = PlacementPlanner(limits).plan(map, demand);
    map = plan.Placement;
    skew = plan.SkewAfter;
  }
  // One new expert a rank and a least gain of 0.04 end at 1.75.
  CHECK(skew < 1.55);
}

TEST_CASE("groups whose figures trials found keep them") {
  for (int copy : {37, 76, 148, 400})
    for (std::size_t ranks : {8U, 12U, 24U, 32U}) {
      ChangeBudget budget(milliseconds(copy), ranks);
      CHECK(budget.newPerRank(false) == 1);
      CHECK(budget.newPerRank(true) == 2);
      CHECK(budget.minGain() == ChangeBudget::MinGain);
    }
  ChangeBudget unknown(Duration::zero(), 8);
  CHECK(unknown.newPerRank(false) == 1);
  CHECK(unknown.newPerRank(true) == 2);
  CHECK(ChangeBudget(milliseconds(18), Ranks).newPerRank(false) == 2);
  CHECK(ChangeBudget(milliseconds(18), Ranks).newPerRank(true) == 4);
}

TEST_CASE("a large group's demand is sampled before it has shifted again") {
  constexpr double LinkBytesPerSecond = 6e6 / 8;
  SampleLimits limits;
  limits.BytesPerSecond = LinkBytesPerSecond * 0.2;
  limits.MostBytesPerSecond = LinkBytesPerSecond * 0.5;
  DemandSampler sampler(limits);
  Duration large = sampler.interval(Ranks, Sets * Experts);
  CHECK(large <= milliseconds(800));
  double bytes = double(Ranks * Sets * Experts);
  double seconds = std::chrono::duration<double>(large).count();
  CHECK(bytes / seconds <= limits.MostBytesPerSecond * 1.01);
  // Groups that are sampled often enough take no more of the link than before.
  CHECK(sampler.interval(24, std::size_t(16) * 96) ==
        std::chrono::microseconds(245760));
}
