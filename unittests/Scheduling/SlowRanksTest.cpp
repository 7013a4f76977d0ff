//===- SlowRanksTest.cpp - a slow rank in a group in lock step ------------===//
//
// Entries before a group in lock step, on virtual time. One rank becomes many
// times slower, so every iteration of the group takes as long as that rank
// does.
//
//===----------------------------------------------------------------------===//

#include "LockStepFleet.h"

#include "ospreyspur/Scheduling/RankCost.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using namespace ::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
/// The size of a fleet.
struct FleetCase {
  unsigned Entries;
  unsigned Ranks;
};
constexpr FleetCase Fleets[] = {{12, 63}, {26, 72}};
} // namespace

// Guards against streams that stay on a slow rank because all ranks of its
// group count as too slow.
TEST_CASE("a rank of twelve times the usual duration is known in all entries "
          "a second after the first long iteration and becomes empty") {
  for (const FleetCase &it : Fleets) {
    CAPTURE(it.Entries);
    LockStepFleet fleet(it.Entries, it.Ranks);
    fleet.run(seconds(4));
    REQUIRE(fleet.lateIterations() == 0);
    REQUIRE(fleet.runningAt(0) > 0);
    fleet.setSlowdown(0, 12);
    fleet.run(milliseconds(1300));
    // The first long iteration takes at least 0.3 s.
    CHECK(fleet.entriesThatKnow(0) == it.Entries);
    fleet.run(milliseconds(700));
    CHECK(fleet.runningAt(0) == 0);
    unsigned late = fleet.lateIterations();
    fleet.run(seconds(6));
    // While the rank stays slow, it gets no requests and delays no stream.
    CHECK(fleet.lateIterations() == late);
    CHECK(fleet.runningAt(0) == 0);
    CHECK(fleet.refused() == 0);
  }
}

// Guards against a number of queries that grows with the number of entries.
TEST_CASE(
    "the number of queries for slowdowns does not grow with the number of "
    "entries") {
  for (const FleetCase &it : Fleets) {
    CAPTURE(it.Entries);
    LockStepFleet fleet(it.Entries, it.Ranks);
    fleet.run(seconds(4));
    fleet.takeQueries();
    fleet.setSlowdown(0, 12);
    fleet.run(seconds(2));
    CHECK(fleet.takeQueries() <= 3 * it.Ranks);
    CHECK(fleet.entriesThatKnow(0) == it.Entries);
    // Once the group is fast again, only the slow rank is queried.
    fleet.run(seconds(10));
    CHECK(fleet.takeQueries() <= 15);
    CHECK(fleet.entriesThatKnow(0) == it.Entries);
  }
}

// Guards against entries that come first for a rank but have no streams,
// observe nothing and never query it: the slowdown would expire again and
// again.
TEST_CASE("a slow rank stays known where most entries have no callers") {
  LockStepFleet fleet(26, 72);
  fleet.useOnly(6);
  fleet.run(seconds(4));
  fleet.setSlowdown(0, 12);
  fleet.run(milliseconds(1300));
  CHECK(fleet.entriesThatKnow(0) >= 6);
  for (unsigned i = 0; i < 40; ++i) {
    fleet.run(milliseconds(200));
    CHECK(fleet.entriesThatKnow(0) >= 6);
  }
  CHECK(fleet.runningAt(0) == 0);
}

// Guards against a slow rank that nobody finds because the entry that should
// query it is gone.
TEST_CASE("a slow rank is found without the entries that should query it") {
  LockStepFleet fleet(12, 63);
  fleet.run(seconds(4));
  // A third of the entries are cut off from the ranks and the other entries.
  for (unsigned entry = 0; entry < 4; ++entry)
    fleet.cutOff(entry);
  fleet.setSlowdown(0, 12);
  fleet.run(seconds(3));
  CHECK(fleet.entriesThatKnow(0) >= 8);
  // The streams of the entries that are cut off stay on the rank and may delay
  // the others, but no other stream does.
  CHECK(fleet.runningAt(0) == 0);
}

// Guards against a rank that is never used again after it was slow.
TEST_CASE("two slow ranks become empty, and a rank that recovers is used "
          "again") {
  LockStepFleet fleet(12, 63);
  fleet.run(seconds(4));
  fleet.setSlowdown(0, 12);
  fleet.setSlowdown(1, 5);
  fleet.run(milliseconds(2500));
  CHECK(fleet.runningAt(0) == 0);
  CHECK(fleet.runningAt(1) == 0);
  fleet.setSlowdown(0, 1);
  fleet.run(seconds(3));
  CHECK(fleet.runningAt(0) > 0);
  CHECK(fleet.runningAt(1) == 0);
}

// Guards against migrations that cost more than they gain: each prompt is read
// once more.
TEST_CASE("a rank that is 1.6 times slower keeps its streams") {
  LockStepFleet fleet(12, 63);
  fleet.run(seconds(4));
  unsigned moved = fleet.moved();
  fleet.setSlowdown(0, 1.6);
  fleet.run(seconds(4));
  CHECK(fleet.moved() == moved);
  CHECK(fleet.runningAt(0) > 0);
}

// Guards against a status report with a wrong slowdown factor.
TEST_CASE("a wrongly reported slowdown delays no stream and rejects no call") {
  LockStepFleet fleet(12, 63);
  fleet.run(seconds(4));
  fleet.setReportedSlowdown(0, 100);
  fleet.run(LockStepFleet::ReportLag);
  fleet.query(0);
  fleet.run(seconds(4));
  CHECK(fleet.runningAt(0) == 0);
  CHECK(fleet.lateIterations() == 0);
  CHECK(fleet.refused() == 0);
}

// Guards against a group without usable ranks.
TEST_CASE("no rank is emptied where half of the ranks are slow") {
  LockStepFleet fleet(4, 8);
  fleet.run(seconds(4));
  for (unsigned rank = 0; rank < 4; ++rank)
    fleet.setSlowdown(rank, 12);
  // Until the second half is known, the first slow ranks are emptied.
  fleet.run(seconds(3));
  unsigned moved = fleet.moved();
  fleet.run(seconds(4));
  CHECK(fleet.moved() == moved);
  CHECK(fleet.runningAt(0) > 0);
}

TEST_CASE("the time of a rank without requests is zero") {
  EngineCosts engine;
  engine.Step = milliseconds(6);
  engine.StepPerRequest = milliseconds(1);
  engine.StepsPerIteration = 6;
  CHECK(rankTime(engine, 12, 0) == Duration::zero());
  CHECK(rankTime(engine, 1, 4) == milliseconds(60));
  CHECK(rankTime(engine, 2, 4) == milliseconds(120));
  CHECK(expertTime(engine, 10) == milliseconds(60));
}
