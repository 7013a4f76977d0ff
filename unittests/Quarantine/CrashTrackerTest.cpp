//===- CrashTrackerTest.cpp - who ended an endpoint -----------------------===//
//
// The request that ends endpoints, what ran beside it, and endpoints that end
// by themselves are to be told apart, in a table that callers cannot fill.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Quarantine/CrashTracker.h"
#include "ospreyspur/Rpc/LoadCodec.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

static constexpr RequestDigest Killer(1);
static constexpr RequestDigest Beside(2);
static constexpr std::size_t Endpoints = 16;
static constexpr milliseconds Quick(80);
static constexpr TimePoint Start{seconds(1000)};

static LifeDigest life(std::uint64_t n) { return LifeDigest(n); }

/// An end under \p request, judged when its time has come.
static bool crash(CrashTracker &tracker, RequestDigest request, unsigned lifeOf,
                  Duration ran, TimePoint now) {
  tracker.onCrash(request, life(lifeOf), ran, Endpoints, now);
  return !tracker.judge(now + CrashLimits().SettleTime).empty();
}

TEST_CASE("three quick ends in quiet times are proof enough, fewer are not") {
  CrashTracker tracker;
  CHECK_FALSE(crash(tracker, Killer, 1, Quick, Start));
  CHECK(tracker.standingOf(Killer) == CrashStanding::Suspect);
  CHECK_FALSE(crash(tracker, Killer, 2, Quick, Start + seconds(2)));
  CHECK(crash(tracker, Killer, 3, Quick, Start + seconds(4)));
  CHECK(tracker.standingOf(Killer) == CrashStanding::Quarantined);
}

TEST_CASE("the same life does not count twice") {
  CrashTracker tracker;
  for (unsigned i = 0; i < 10; ++i)
    crash(tracker, Killer, 1, Quick, Start);
  CHECK(tracker.crashesOf(Killer) == 1);
  CHECK(tracker.standingOf(Killer) == CrashStanding::Suspect);
}

TEST_CASE("a whole answer clears a request") {
  CrashTracker tracker;
  crash(tracker, Killer, 1, Quick, Start);
  tracker.onWhole(Killer, Start + seconds(1));
  CHECK(tracker.standingOf(Killer) == CrashStanding::Unknown);
  TimePoint now = Start + seconds(2);
  CHECK_FALSE(crash(tracker, Killer, 2, Quick, now));
  // Late news of what was before do not count any more.
  CrashRow late;
  late.Request = Killer;
  late.Crashes.push_back({life(1), now - Start, Quick});
  CHECK(tracker.merge("other", {{late}, {}}, now).empty());
  CHECK(tracker.crashesOf(Killer) == 1);
}

TEST_CASE("ends that come in waves prove less") {
  CrashTracker tracker;
  // Seven endpoints end in the seconds before, under other requests.
  for (unsigned i = 0; i < 7; ++i)
    crash(tracker, RequestDigest(100 + i), 100 + i, seconds(1),
          Start - seconds(i));
  TimePoint now = Start;
  for (unsigned i = 1; i <= 3; ++i, now += seconds(1))
    CHECK_FALSE(crash(tracker, Killer, i, milliseconds(400), now));
  CHECK(tracker.chanceOf(Killer, now) > 1e-6);
  // Whatever else ends, there is an end to it.
  CHECK(crash(tracker, Killer, 4, milliseconds(400), now));
}

TEST_CASE(
    "of two requests at the same ends neither is blamed before they part") {
  CrashTracker tracker;
  TimePoint now = Start;
  for (unsigned i = 1; i <= 3; ++i, now += seconds(1)) {
    // One entry hears of it a moment before the other.
    tracker.onCrash(Beside, life(i), Quick, Endpoints, now);
    CHECK(tracker.judge(now + milliseconds(5)).empty());
    CHECK_FALSE(crash(tracker, Killer, i, Quick, now + milliseconds(5)));
  }
  CHECK(tracker.standingOf(Killer) == CrashStanding::Suspect);
  CHECK(tracker.standingOf(Beside) == CrashStanding::Suspect);
  CHECK(crash(tracker, Killer, 4, Quick, now));
  // What the one did does not speak against the other.
  CHECK(tracker.standingOf(Beside) == CrashStanding::Unknown);
  CHECK_FALSE(crash(tracker, Beside, 3, Quick, now));
  CHECK(tracker.standingOf(Beside) == CrashStanding::Unknown);
}

TEST_CASE("a quarantined request that gets a whole answer after all is free") {
  CrashTracker tracker;
  for (unsigned i = 0; i < 3; ++i)
    crash(tracker, Killer, i, Quick, Start + seconds(i));
  REQUIRE(tracker.standingOf(Killer) == CrashStanding::Quarantined);
  tracker.onWhole(Killer, Start + seconds(4));
  CHECK(tracker.standingOf(Killer) == CrashStanding::Unknown);
  CHECK(tracker.cleared() == std::vector{Killer});
}

/// Everything that \p from tells in a while, in any order and more than once.
static std::vector<CrashRow> tellAll(CrashTracker &from, TimePoint now) {
  std::vector<CrashRow> out;
  for (unsigned i = 0; i < 100; ++i, now += milliseconds(100))
    for (CrashRow &it : from.takeRows(1, now))
      out.push_back(std::move(it));
  return out;
}

TEST_CASE("what entries tell each other may come in any order, at any time") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    // One sees the first end and a whole answer of another request, another the
    // two later ends; neither has proof.
    CrashTracker first;
    CrashTracker second;
    first.onCrash(Killer, life(1), Quick, Endpoints, Start);
    first.onCrash(Beside, life(1), Quick, Endpoints, Start);
    first.onWhole(Beside, Start + seconds(1));
    for (unsigned i = 2; i <= 3; ++i)
      second.onCrash(Killer, life(i), Quick, Endpoints, Start + seconds(2));
    TimePoint now = Start + seconds(3);
    std::vector<CrashRow> told = tellAll(first, now);
    for (CrashRow &it : tellAll(second, now))
      told.push_back(std::move(it));
    // All ages were told within ten seconds; make them of one moment.
    std::shuffle(told.begin(), told.end(), random);
    CrashTracker third;
    for (const CrashRow &it : told)
      third.merge("other", {{it}, {}}, now + seconds(10));
    third.judge(now + seconds(11));
    CHECK(third.standingOf(Killer) == CrashStanding::Quarantined);
    CHECK(third.standingOf(Beside) == CrashStanding::Unknown);
  }
}

TEST_CASE("callers who send a new body each time cannot fill the table") {
  CrashLimits limits;
  CrashTracker tracker(limits);
  for (unsigned i = 0; i < 3; ++i)
    crash(tracker, Killer, i, Quick, Start + seconds(i));
  REQUIRE(tracker.standingOf(Killer) == CrashStanding::Quarantined);
  TimePoint now = Start + seconds(3);
  std::size_t mostBytes = 0;
  for (std::uint64_t i = 0; i < 20000; ++i, now += milliseconds(5)) {
    tracker.onCrash(RequestDigest(1000 + i), life(1000 + i / 12), Quick,
                    Endpoints, now);
    if (i % 20 == 0) {
      LoadReport report{"n", {}, {tracker.takeRows(4, now), {}}};
      mostBytes = std::max(mostBytes, encodeLoad(report).size());
    }
  }
  CHECK(tracker.rowCount() <= limits.MaxRows);
  CHECK(tracker.standingOf(Killer) == CrashStanding::Quarantined);
  // A report must fit into what one datagram takes without being split often.
  CHECK(mostBytes <= 4096);
}

TEST_CASE("what nobody sends any more is forgotten, what comes again is not") {
  CrashTracker tracker;
  for (RequestDigest it : {Killer, Beside}) {
    for (unsigned i = 0; i < 3; ++i)
      crash(tracker, it, unsigned(it.get()) * 10 + i, Quick,
            Start + seconds(30 * i));
  }
  TimePoint now = Start;
  for (unsigned i = 0; i < 24; ++i, now += minutes(1)) {
    tracker.onSeen(Killer, now);
    tracker.takeRows(4, now);
  }
  CHECK(tracker.standingOf(Killer) == CrashStanding::Quarantined);
  CHECK(tracker.standingOf(Beside) == CrashStanding::Unknown);
  CHECK(tracker.quarantined() == std::vector{Killer});
}

TEST_CASE("rows pass a datagram unchanged, and damaged ones are bounded") {
  CrashRow row;
  row.Request = Killer;
  row.Endpoints = 16;
  row.SeenAge = seconds(3);
  row.ClearedAge = seconds(4);
  row.QuarantinedAge = seconds(2);
  for (std::uint64_t i = 0; i < 100; ++i)
    row.Crashes.push_back({life(i), seconds(i), milliseconds(i)});
  LoadReport report{"n", {}, {std::vector<CrashRow>(200, row), {}}};
  report.Crashes.Runs.assign(200, {Beside, life(7)});
  std::optional<LoadReport> read = decodeLoad(encodeLoad(report));
  REQUIRE(read);
  CHECK(read->Crashes.Rows.size() <= 64);
  CHECK(read->Crashes.Runs.size() <= 64);
  CHECK(read->Crashes.Runs.front().Request == Beside);
  const CrashRow &got = read->Crashes.Rows.front();
  CHECK(got.Request == Killer);
  CHECK(got.Crashes.size() <= 8);
  CHECK(got.Crashes.at(3).Age == seconds(3));
  CHECK(got.QuarantinedAge == Duration(seconds(2)));
  CHECK(got.ClearedAge == Duration(seconds(4)));
}

TEST_CASE("what an entry hears of old rows does not grow with the fleet") {
  for (std::size_t entries : {4, 52, 370}) {
    CrashTracker tracker;
    for (std::uint64_t i = 0; i < 200; ++i)
      for (unsigned k = 0; k < 4; ++k)
        tracker.onCrash(RequestDigest(100 + i), life(1000 + i * 4 + k), Quick,
                        Endpoints, Start);
    tracker.judge(Start + seconds(1));
    TimePoint now = Start + seconds(60);
    // What is new has been told by then.
    for (unsigned i = 0; i < 100; ++i)
      tracker.takeRows(entries, Start + seconds(1));
    std::size_t bytes = 0;
    for (unsigned i = 0; i < 6000; ++i, now += milliseconds(10)) {
      LoadReport report{"n", {}, {tracker.takeRows(entries, now), {}}};
      bytes += encodeLoad(report).size() - encodeLoad({"n", {}, {}}).size();
    }
    // A minute of one of them; all others tell as much.
    std::size_t perSecond = bytes * entries / 60;
    CHECK(perSecond <= 9000);
    CHECK(perSecond > 0);
  }
}
