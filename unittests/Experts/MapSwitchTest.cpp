//===- MapSwitchTest.cpp - one map in every step --------------------------===//
//
// Coordinators change the maps of a simulated group while orders are lost or
// executed seconds late, coordinators freeze at any point and others take over,
// and the platform re-forms the group.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/MapSwitch.h"
#include "SwitchSimulation.h"

#include <doctest/doctest.h>

#include <functional>

using namespace ospreyspur;
using namespace ospreyspur::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("maps change without a held step when nothing goes wrong") {
  SwitchSimulation simulation(1, {});
  simulation.run(seconds(60));
  CHECK(simulation.changes() > 30);
  CHECK(simulation.group().mixedSteps() == 0);
  CHECK(simulation.group().heldSteps() <= simulation.changes() / 10);
}

TEST_CASE("a group does not stall for orders that are retransmitted") {
  // One data centre of three loses three percent of its packets: in each phase,
  // one or two of the orders to 63 ranks wait for a retransmission of at least
  // 0.2 s. With four ranks, one order in five makes that likely.
  Faults faults;
  faults.Retransmitted = 20;
  unsigned changes = 0;
  unsigned held = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    SwitchSimulation simulation(seed, faults);
    simulation.run(seconds(60));
    CHECK(simulation.group().mixedSteps() == 0);
    changes += simulation.changes();
    held += simulation.group().heldSteps();
  }
  CHECK(changes > 20 * 30);
  // 0.75 held steps per change. If repeats are not sent past the agent, there
  // are 3.0; if also every change is armed for the next step, 4.0.
  CHECK(double(held) / double(changes) < 0.78);
}

TEST_CASE("no step uses two maps while links lose packets and hosts freeze") {
  Faults faults;
  faults.Retransmitted = 15;
  faults.LostOrders = 5;
  faults.LateOrders = 10;
  faults.Freezes = true;
  faults.Forms = true;
  unsigned changes = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    INFO("seed " << seed);
    SwitchSimulation simulation(seed, faults);
    simulation.run(seconds(60));
    CHECK(simulation.group().mixedSteps() == 0);
    changes += simulation.changes();
  }
  CHECK(changes > 500);
}

TEST_CASE("no step uses two maps while orders and coordinators fail") {
  Faults faults;
  faults.LostOrders = 10;
  faults.LateOrders = 15;
  faults.LostReplies = 10;
  faults.Freezes = true;
  faults.Forms = true;
  unsigned changes = 0;
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    INFO("seed " << seed);
    SwitchSimulation simulation(seed, faults);
    simulation.run(seconds(60));
    CHECK(simulation.group().mixedSteps() == 0);
    changes += simulation.changes();
  }
  CHECK(changes > 1000);
}

TEST_CASE("the random runs detect ranks that accept late orders") {
  Faults faults;
  faults.LateOrders = 30;
  faults.LostReplies = 10;
  faults.Freezes = true;
  faults.ChecksFences = false;
  unsigned mixed = 0;
  for (std::uint64_t seed = 1; seed <= 150 && mixed == 0; ++seed) {
    SwitchSimulation simulation(seed, faults);
    simulation.run(seconds(60));
    mixed += simulation.group().mixedSteps();
  }
  CHECK(mixed > 0);
}

TEST_CASE("a group does not stay held when its coordinators freeze") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    INFO("seed " << seed);
    Faults faults;
    faults.Freezes = true;
    SwitchSimulation simulation(seed, faults);
    simulation.run(seconds(120));
    // Frozen coordinators are replaced within two seconds, so the group makes
    // most of its steps; a step takes 60 ms on average.
    CHECK(simulation.group()
              .status(0, TimePoint(std::chrono::hours(2)))
              .Step.get() > 900);
  }
}

TEST_CASE("a group stalls for at most a second when its coordinator freezes") {
  for (MapOrderKind kind : {MapOrderKind::Hold, MapOrderKind::Arm}) {
    unsigned longStalls = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
      INFO("seed " << seed);
      SwitchSimulation simulation(seed, {});
      simulation.run(seconds(5));
      simulation.freezeSender(kind);
      simulation.run(seconds(15));
      CHECK(simulation.group().mixedSteps() == 0);
      longStalls += simulation.longestStall() > seconds(1) ? 1 : 0;
      // Changes continue once the host is no longer frozen.
      unsigned before = simulation.changes();
      simulation.run(seconds(10));
      CHECK(simulation.changes() > before);
    }
    // In later phases, while every rank but the coordinator's own is armed,
    // nobody could know whether that rank is armed.
    CHECK(longStalls == 0);
  }
}

namespace {
/// A coordinator that has received the states of both ranks of a group.
class TwoRankSwitch {
public:
  TwoRankSwitch() : Group(2, true) {}

  /// Leads under \p lease and lets both ranks reply until nothing is left to
  /// do.
  void lead(std::uint64_t lease) {
    Switch.lead(lease, 0, Now);
    for (unsigned i = 0; i < 8; ++i)
      report();
  }

  /// Passes \p actions to the ranks and their replies to the coordinator.
  void execute(const SwitchActions &actions) {
    for (const SendMapOrder &it : actions) {
      LastFence = std::max(LastFence, it.Order.Fence);
      MapOrderReply reply{it.Order.Id, Group.take(it.Rank, it.Order, Now)};
      execute(Switch.onReply(it.Rank, reply, Now));
    }
  }

  MapSwitch Switch{SwitchLimits()};
  FakeRankGroup Group;
  TimePoint Now{seconds(100)};
  FencingToken LastFence;

private:
  void report() {
    Now += milliseconds(60);
    for (unsigned rank = 0; rank < 2; ++rank)
      execute(Switch.onStatus(rank, Group.status(rank, Now), Now, Now));
  }
};
} // namespace

TEST_CASE("a coordinator that doubted its lease can lead again under it") {
  TwoRankSwitch simulation;
  simulation.lead(1);
  CHECK(simulation.Switch.canBegin(simulation.Now));
  FencingToken before = simulation.LastFence;
  simulation.Switch.resign();
  CHECK_FALSE(simulation.Switch.canBegin(simulation.Now));
  simulation.lead(1);
  CHECK(simulation.Switch.isLeading());
  CHECK(simulation.Switch.canBegin(simulation.Now));
  // Its earlier orders are void.
  CHECK(simulation.LastFence > before);
}

TEST_CASE("the state of a rank from before its restart is not used") {
  TwoRankSwitch simulation;
  simulation.lead(1);
  REQUIRE(simulation.Switch.canBegin(simulation.Now));
  // A change is under way when rank 1 restarts under the same formation.
  simulation.Switch.begin(GroupPlacement(2, {{1}}), simulation.Now);
  REQUIRE(simulation.Switch.phase() == SwitchPhase::Preparing);
  RankStatus restarted = simulation.Group.status(1, simulation.Now);
  restarted.Incarnation = RankIncarnation(1701);
  restarted.Placement.clear();
  simulation.Switch.onStatus(1, restarted, simulation.Now, simulation.Now);
  CHECK(simulation.Switch.phase() != SwitchPhase::Preparing);
  CHECK_FALSE(simulation.Switch.canBegin(simulation.Now));
  // The placement from before the restart is not used.
  CHECK(simulation.Switch.placement().back().empty());
}

TEST_CASE(
    "a coordinator that saw a higher token never leads again under its lease") {
  TwoRankSwitch simulation;
  simulation.lead(1);
  MapOrder other;
  other.Formation = FormationEpoch(1);
  other.Fence = FencingToken(~0ULL);
  simulation.Group.take(1, other, simulation.Now);
  simulation.execute(
      simulation.Switch.begin(GroupPlacement(2, {{1}}), simulation.Now));
  CHECK_FALSE(simulation.Switch.isLeading());
  simulation.lead(1);
  CHECK_FALSE(simulation.Switch.isLeading());
}

TEST_CASE("the rank that is armed last is disarmed first") {
  constexpr unsigned Size = 3;
  constexpr unsigned Own = 1;
  FakeRankGroup group(Size, true);
  MapSwitch coordinator{SwitchLimits()};
  TimePoint now{seconds(100)};
  coordinator.lead(1, Own, now);
  // Whether the order to arm the coordinator's own rank was refused, and which
  // ranks were disarmed since then.
  bool isRefused = false;
  std::vector<unsigned> disarmed;
  std::function<void(const SwitchActions &)> execute =
      [&](const SwitchActions &actions) {
        for (const SendMapOrder &it : actions) {
          bool isOwnArm = it.Order.Kind == MapOrderKind::Arm && it.Rank == Own;
          isRefused = isRefused || isOwnArm;
          if (isRefused && it.Order.Kind == MapOrderKind::Disarm)
            disarmed.push_back(it.Rank);
        }
        // All orders of one call are in transit before any of them is answered.
        for (const SendMapOrder &it : actions) {
          bool isOwnArm = it.Order.Kind == MapOrderKind::Arm && it.Rank == Own;
          MapOrderResult result = isOwnArm ? MapOrderResult::Refused
                                           : group.take(it.Rank, it.Order, now);
          if (disarmed == std::vector<unsigned>{Own})
            CHECK(group.status(0, now).Armed.has_value());
          execute(coordinator.onReply(it.Rank, {it.Order.Id, result}, now));
        }
      };
  for (unsigned i = 0; i < 40 && disarmed.size() < Size; ++i) {
    now += milliseconds(60);
    for (unsigned rank = 0; rank < Size; ++rank)
      execute(coordinator.onStatus(rank, group.status(rank, now), now, now));
    if (coordinator.canBegin(now) && !isRefused)
      execute(coordinator.begin(GroupPlacement(Size, {{1}}), now));
  }
  REQUIRE(disarmed.size() == Size);
  CHECK(disarmed.front() == Own);
}

TEST_CASE("coordinators of two leases never assign one version to two maps") {
  TwoRankSwitch simulation;
  simulation.lead(1);
  simulation.execute(
      simulation.Switch.begin(GroupPlacement(2, {{1}}), simulation.Now));
  MapVersion first = simulation.Switch.version();
  simulation.lead(2);
  REQUIRE(simulation.Switch.canBegin(simulation.Now));
  simulation.execute(
      simulation.Switch.begin(GroupPlacement(2, {{0}}), simulation.Now));
  CHECK(simulation.Switch.version() > first);
}
TEST_CASE("no change begins while a rank's placement is unknown") {
  FakeRankGroup group(2, true);
  MapSwitch coordinator{SwitchLimits()};
  TimePoint now{seconds(100)};
  coordinator.lead(1, 0, now);
  auto report = [&](bool withPlacement) {
    now += milliseconds(60);
    for (unsigned rank = 0; rank < 2; ++rank) {
      RankStatus status = group.status(rank, now);
      if (rank == 1 && !withPlacement)
        status.Placement.clear();
      for (const SendMapOrder &it :
           coordinator.onStatus(rank, status, now, now))
        coordinator.onReply(
            it.Rank, {it.Order.Id, group.take(it.Rank, it.Order, now)}, now);
    }
  };
  for (unsigned i = 0; i < 8; ++i)
    report(false);
  CHECK_FALSE(coordinator.canBegin(now));
  report(true);
  CHECK(coordinator.canBegin(now));
}
