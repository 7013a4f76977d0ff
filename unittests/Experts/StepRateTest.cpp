//===- StepRateTest.cpp - the step for which a map change is armed --------===//
//
// A coordinator estimates the group's present step and its step rate from the
// ranks' reports, of which some are late.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/MapSwitch.h"
#include "standin/FakeRankGroup.h"

#include <doctest/doctest.h>

#include <functional>
#include <optional>

using namespace ospreyspur;
using standin::FakeRankGroup;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a step rate that is measured from a report which arrives late,
// such as one that a host hands over when it is no longer frozen.
TEST_CASE("a late report of an earlier step does not change the step rate") {
  FakeRankGroup group(2, true);
  MapSwitch coordinator{SwitchLimits()};
  TimePoint now{seconds(100)};
  coordinator.lead(1, 0, now);
  RankStatus late = group.status(1, now);
  auto run = [&](unsigned steps) {
    for (unsigned i = 0; i < steps; ++i) {
      now += milliseconds(100);
      group.step(now);
      coordinator.onStatus(0, group.status(0, now), now, now);
    }
  };
  run(30);
  CHECK(coordinator.stepsPerSecond() == doctest::Approx(10));
  coordinator.onStatus(1, late, now, now);
  run(4);
  CHECK(coordinator.stepsPerSecond() == doctest::Approx(10));
}

// Guards against a hold that is far ahead of the group because one rank has not
// reported since the group was slower.
TEST_CASE("the step of a change does not depend on the oldest report") {
  FakeRankGroup group(2, true);
  MapSwitch coordinator{SwitchLimits()};
  TimePoint now{seconds(100)};
  std::optional<StepNumber> held;
  std::function<void(const SwitchActions &)> execute =
      [&](const SwitchActions &actions) {
        for (const SendMapOrder &it : actions) {
          if (it.Order.Kind == MapOrderKind::Hold && !held)
            held = it.Order.Step;
          MapOrderResult result = group.take(it.Rank, it.Order, now);
          execute(coordinator.onReply(it.Rank, {it.Order.Id, result}, now));
        }
      };
  auto report = [&](unsigned rank, bool isPrepared) {
    RankStatus status = group.status(rank, now);
    if (!isPrepared)
      status.Prepared.reset();
    execute(coordinator.onStatus(rank, status, now, now));
  };
  auto run = [&](unsigned steps, Duration each) {
    for (unsigned i = 0; i < steps; ++i) {
      now += each;
      group.step(now);
      report(0, false);
    }
  };
  coordinator.lead(1, 0, now);
  for (unsigned i = 0; i < 20; ++i) {
    run(1, milliseconds(100));
    report(1, false);
  }
  REQUIRE(coordinator.canBegin(now));
  execute(coordinator.begin(GroupPlacement(2, {{1}}), now));
  run(4, milliseconds(100));
  report(1, true);
  run(8, milliseconds(100));
  run(40, milliseconds(10));
  CHECK(coordinator.stepsPerSecond() > 50);
  StepNumber present = group.status(0, now).Step;
  report(0, true);
  REQUIRE(held.has_value());
  // The next step, one that is under way, and those of the usual arming time.
  double arming =
      std::chrono::duration<double>(SwitchLimits().FirstArmingTime).count();
  auto ahead = std::uint64_t(arming * coordinator.stepsPerSecond()) + 3;
  CHECK(*held <= StepNumber(present.get() + ahead));
}
