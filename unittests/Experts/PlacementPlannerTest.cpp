//===- PlacementPlannerTest.cpp - plans for groups of ranks ---------------===//
//
// Plans keep every expert on some rank, respect their limits and even out an
// imbalanced demand.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/PlacementPlanner.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <set>

using namespace ospreyspur;

static constexpr unsigned Ranks = 8;
static constexpr std::size_t Sets = 6;
static constexpr std::size_t Experts = 64;

/// Experts assigned in turn, as in the platform's first map.
static GroupPlacement makeInitialMap() {
  GroupPlacement out(Ranks, RankPlacement(Sets));
  for (std::size_t set = 0; set < Sets; ++set)
    for (std::size_t it = 0; it < Experts; ++it)
      out[it % Ranks][set].push_back(static_cast<ExpertNumber>(it));
  return out;
}

/// A demand in which few experts are popular.
static std::vector<double> makeSkewedDemand(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<double> out;
  for (std::size_t i = 0; i < Sets * Experts; ++i)
    out.push_back(1000.0 / double(1 + random() % 50));
  return out;
}

/// Number of experts that are new to a rank in one set.
static std::size_t countNew(const std::vector<ExpertNumber> &before,
                            const std::vector<ExpertNumber> &after) {
  return std::size_t(
      std::count_if(after.begin(), after.end(), [&](ExpertNumber it) {
        return std::find(before.begin(), before.end(), it) == before.end();
      }));
}

TEST_CASE("a placement plan balances the load within its limits") {
  PlacementLimits limits{11, 4, 3, 0.04};
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    GroupPlacement before = makeInitialMap();
    PlacementPlan plan =
        PlacementPlanner(limits).plan(before, makeSkewedDemand(seed));
    CHECK(plan.SkewAfter < plan.SkewBefore);
    for (std::size_t set = 0; set < Sets; ++set) {
      std::set<ExpertNumber> held;
      for (unsigned rank = 0; rank < Ranks; ++rank) {
        const auto &now = plan.Placement[rank][set];
        CHECK(now.size() <= limits.Places);
        CHECK(std::set(now.begin(), now.end()).size() == now.size());
        CHECK(countNew(before[rank][set], now) <= limits.NewPerSet);
        held.insert(now.begin(), now.end());
      }
      CHECK(held.size() == Experts);
    }
    for (unsigned rank = 0; rank < Ranks; ++rank) {
      std::size_t n = 0;
      for (std::size_t set = 0; set < Sets; ++set)
        n += countNew(before[rank][set], plan.Placement[rank][set]);
      CHECK(n <= limits.NewPerRank);
    }
  }
}

TEST_CASE("repeated plans come close to balance and then stop") {
  PlacementPlanner planner({11, 4, 3, 0.04});
  std::vector<double> demand = makeSkewedDemand(3);
  GroupPlacement present = makeInitialMap();
  PlacementPlan plan;
  for (int i = 0; i < 12; ++i) {
    plan = planner.plan(present, demand);
    present = plan.Placement;
  }
  CHECK(plan.SkewAfter < 1.3);
  CHECK(planner.plan(present, demand).Copies == 0);
}

TEST_CASE("no demand causes no copies") {
  PlacementPlanner planner({11, 4, 3, 0.04});
  std::vector<double> none(Sets * Experts, 0.0);
  CHECK(planner.plan(makeInitialMap(), none).Copies == 0);
}

TEST_CASE("a slow rank gets less load than the others") {
  PlacementLimits limits{11, 4, 3, 0.04};
  std::vector<double> slowdowns(Ranks, 1.0);
  constexpr unsigned Slow = 3;
  slowdowns[Slow] = 5;
  GroupPlacement present = makeInitialMap();
  std::vector<double> demand = makeSkewedDemand(1);
  PlacementPlanner planner(limits);
  PlacementPlan plan = planner.plan(present, demand, slowdowns);
  double before = plan.SkewBefore;
  CHECK(before > 4);
  for (int i = 0; i < 8; ++i) {
    present = plan.Placement;
    plan = planner.plan(present, demand, slowdowns);
  }
  CHECK(plan.SkewAfter < before / 2);
  for (std::size_t set = 0; set < Sets; ++set) {
    std::set<ExpertNumber> held;
    for (const RankPlacement &rank : plan.Placement)
      held.insert(rank[set].begin(), rank[set].end());
    CHECK(held.size() == Experts);
    // The slow rank has dropped experts that other ranks also hold.
    CHECK(plan.Placement[Slow][set].size() <= Experts / Ranks);
  }
}
