//===- ExpertPlannerTest.cpp - planner against full re-placement ----------===//
//
// Seeded demands that drift in several ways. The planner's maps must be valid
// and about as balanced as full re-placement, for a fraction of its moves.
//
//===----------------------------------------------------------------------===//

#include "NaivePlanner.h"

#include "ospreyspur/Experts/ExpertPlanner.h"

#include <doctest/doctest.h>

#include <cmath>
#include <random>

using namespace ospreyspur;
using namespace ospreyspur::test;

static constexpr MapShape Shape{4, 64, 64, 2};
static constexpr unsigned Rounds = 12;

namespace {
enum class Drift { Steady, Gradual, Abrupt, Flapping, HotExpert };

/// Totals of one planner's run over a drifting demand.
struct RunTotals {
  double Skew = 0;
  std::size_t Moves = 0;
};
} // namespace

/// Popularity by Zipf's law over a seeded order of experts.
static std::vector<double> drawTopic(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<double> demand(Shape.Experts);
  for (std::size_t i = 0; i < demand.size(); ++i)
    demand[i] = 1000.0 / std::pow(double(i + 1), 0.7);
  std::shuffle(demand.begin(), demand.end(), random);
  return demand;
}

static std::vector<double> blend(const std::vector<double> &a,
                                 const std::vector<double> &b, double part) {
  std::vector<double> out(a.size());
  for (std::size_t i = 0; i < a.size(); ++i)
    out[i] = a[i] * (1 - part) + b[i] * part;
  return out;
}

static ExpertDemand drawDemand(Drift drift, unsigned round,
                               std::uint64_t seed) {
  ExpertDemand demand;
  for (std::size_t layer = 0; layer < Shape.Layers; ++layer) {
    std::vector<double> first = drawTopic(seed * 1000 + layer);
    std::vector<double> second = drawTopic(seed * 1000 + 500 + layer);
    switch (drift) {
    case Drift::Steady:
      demand.push_back(first);
      break;
    case Drift::Gradual:
      demand.push_back(blend(first, second, double(round) / Rounds));
      break;
    case Drift::Abrupt:
      demand.push_back(round < Rounds / 2 ? first : second);
      break;
    case Drift::Flapping:
      demand.push_back(round % 2 == 0 ? first : second);
      break;
    case Drift::HotExpert: {
      double sum = std::accumulate(first.begin(), first.end(), 0.0);
      first[round % Shape.Experts] += sum / 2;
      demand.push_back(first);
      break;
    }
    }
  }
  return demand;
}

template <typename Plan>
static RunTotals runDrift(Drift drift, std::uint64_t seed, Plan plan) {
  ExpertMap map = makeRoundRobinMap(Shape);
  RunTotals totals;
  for (unsigned round = 0; round < Rounds; ++round) {
    ExpertDemand demand = drawDemand(drift, round, seed);
    ExpertMap next = plan(map, demand);
    REQUIRE(findMapFault(next) == "");
    totals.Moves += countMoves(map, next);
    totals.Skew += measureSkew(next, demand) / Rounds;
    map = next;
  }
  return totals;
}

static RunTotals runPlanner(Drift drift, std::uint64_t seed,
                            PlannerWeights weights) {
  ExpertPlanner planner(weights);
  return runDrift(drift, seed, [&](const ExpertMap &map, const auto &demand) {
    MapPlan plan = planner.plan(map, demand);
    CHECK(plan.Moves == countMoves(map, plan.Map));
    CHECK(plan.SkewAfter <= plan.SkewBefore);
    return plan.Map;
  });
}

TEST_CASE("the planner balances like full re-placement with fewer moves") {
  // Two deployments: one weighs the imbalance more, the other the moves.
  PlannerWeights skewFirst{1.0, 0.0005, 4000, 0.005};
  PlannerWeights movesFirst{1.0, 0.02, 4000, 0.05};
  for (Drift drift : {Drift::Steady, Drift::Gradual, Drift::Abrupt,
                      Drift::Flapping, Drift::HotExpert})
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      INFO("drift ", static_cast<int>(drift), " seed ", seed);
      RunTotals naive = runDrift(drift, seed, planNaively);
      RunTotals balanced = runPlanner(drift, seed, skewFirst);
      RunTotals fewMoves = runPlanner(drift, seed, movesFirst);
      RunTotals unchanged = runDrift(
          drift, seed,
          [](const ExpertMap &map, const auto & /*demand*/) { return map; });
      bool isSteady = drift == Drift::Steady;
      CHECK(balanced.Skew <= naive.Skew * (isSteady ? 1.05 : 1.12));
      CHECK(balanced.Skew < unchanged.Skew);
      CHECK(balanced.Moves * 2 < naive.Moves);
      CHECK(fewMoves.Moves <= balanced.Moves);
      if (seed == 1)
        MESSAGE("skew/moves in drift ", static_cast<int>(drift), ": naive ",
                naive.Skew, "/", naive.Moves, ", skew first ", balanced.Skew,
                "/", balanced.Moves, ", moves first ", fewMoves.Skew, "/",
                fewMoves.Moves, ", still ", unchanged.Skew);
    }
}

TEST_CASE("a balanced demand causes no moves") {
  ExpertMap map = makeRoundRobinMap(Shape);
  ExpertDemand demand(Shape.Layers, std::vector<double>(Shape.Experts, 10));
  MapPlan plan = ExpertPlanner(PlannerWeights()).plan(map, demand);
  CHECK(plan.Moves == 0);
  CHECK(plan.Map == map);
}

TEST_CASE("a plan respects its budget of moves") {
  ExpertDemand demand = drawDemand(Drift::Steady, 0, 9);
  PlannerWeights weights{1.0, 0.0, 7, 0.0};
  MapPlan plan = ExpertPlanner(weights).plan(makeRoundRobinMap(Shape), demand);
  CHECK(plan.Moves > 0);
  CHECK(plan.Moves <= 7);
}

TEST_CASE("an encoded map is parsed back, and a malformed one is refused") {
  ExpertMap map = makeRoundRobinMap({2, 8, 4, 3});
  Result<ExpertMap> back = parseMap(formatMap(map));
  REQUIRE(back.has_value());
  CHECK(back.value() == map);
  for (const char *bad : {"", "x", "1 1 1", "1 2 1 1 0000", "1 1 1 1 000g",
                          "99999999 1 99999999 1 00", "1 2 1 2 00000000"})
    CHECK_FALSE(parseMap(bad).has_value());
}
