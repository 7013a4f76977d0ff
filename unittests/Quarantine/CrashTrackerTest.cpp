//===- CrashTrackerTest.cpp - finding requests that crash endpoints -------===//
//
// The tracker must distinguish a request that crashes endpoints from requests
// that ran on the same endpoint and from endpoints that crash for other
// reasons, in a table that callers can't fill.
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

static constexpr RequestDigest CrashingRequest(1);
static constexpr RequestDigest BystanderRequest(2);
static constexpr std::size_t Endpoints = 16;
static constexpr milliseconds ShortAttempt(80);
static constexpr TimePoint Start{seconds(1000)};

static IncarnationDigest incarnation(std::uint64_t n) {
  return IncarnationDigest(n);
}

/// Records a crash under \p request. Returns whether a request is quarantined
/// once the verdict is due.
static bool crash(CrashTracker &tracker, RequestDigest request,
                  unsigned crashedIncarnation, Duration ran, TimePoint now) {
  tracker.onCrash(request, incarnation(crashedIncarnation), ran, Endpoints,
                  now);
  return !tracker.updateVerdicts(now + CrashLimits().SettleTime).empty();
}

TEST_CASE("a request is quarantined at the third crash after short attempts "
          "if nothing else crashes") {
  CrashTracker tracker;
  CHECK_FALSE(crash(tracker, CrashingRequest, 1, ShortAttempt, Start));
  CHECK(tracker.verdictOf(CrashingRequest) == CrashVerdict::Suspect);
  CHECK_FALSE(
      crash(tracker, CrashingRequest, 2, ShortAttempt, Start + seconds(2)));
  CHECK(crash(tracker, CrashingRequest, 3, ShortAttempt, Start + seconds(4)));
  CHECK(tracker.verdictOf(CrashingRequest) == CrashVerdict::Quarantined);
}

TEST_CASE("a crash of the same incarnation does not count twice") {
  CrashTracker tracker;
  for (unsigned i = 0; i < 10; ++i)
    crash(tracker, CrashingRequest, 1, ShortAttempt, Start);
  CHECK(tracker.crashesOf(CrashingRequest) == 1);
  CHECK(tracker.verdictOf(CrashingRequest) == CrashVerdict::Suspect);
}

TEST_CASE("a complete response clears a request") {
  CrashTracker tracker;
  crash(tracker, CrashingRequest, 1, ShortAttempt, Start);
  tracker.onCompleteResponse(CrashingRequest, Start + seconds(1));
  CHECK(tracker.verdictOf(CrashingRequest) == CrashVerdict::Unknown);
  TimePoint now = Start + seconds(2);
  CHECK_FALSE(crash(tracker, CrashingRequest, 2, ShortAttempt, now));
  // A late report of a crash before that response does not count.
  CrashRecord late;
  late.Request = CrashingRequest;
  late.Crashes.push_back({incarnation(1), now - Start, ShortAttempt});
  CHECK(tracker.merge("other", {{late}, {}}, now).empty());
  CHECK(tracker.crashesOf(CrashingRequest) == 1);
}

TEST_CASE("crashes are weaker evidence while other endpoints crash too") {
  CrashTracker tracker;
  // Seven endpoints crash under other requests in the seconds before.
  for (unsigned i = 0; i < 7; ++i)
    crash(tracker, RequestDigest(100 + i), 100 + i, seconds(1),
          Start - seconds(i));
  TimePoint now = Start;
  for (unsigned i = 1; i <= 3; ++i, now += seconds(1))
    CHECK_FALSE(crash(tracker, CrashingRequest, i, milliseconds(400), now));
  CHECK(tracker.chanceOf(CrashingRequest, now) > 1e-6);
  // At QuarantineCrashes the request is quarantined whatever else crashes.
  CHECK(crash(tracker, CrashingRequest, 4, milliseconds(400), now));
}

TEST_CASE("of two requests that were running at the same crashes neither is "
          "quarantined until one meets a crash alone") {
  CrashTracker tracker;
  TimePoint now = Start;
  for (unsigned i = 1; i <= 3; ++i, now += seconds(1)) {
    // One entry learns of the crash 5 ms before the other.
    tracker.onCrash(BystanderRequest, incarnation(i), ShortAttempt, Endpoints,
                    now);
    CHECK(tracker.updateVerdicts(now + milliseconds(5)).empty());
    CHECK_FALSE(crash(tracker, CrashingRequest, i, ShortAttempt,
                      now + milliseconds(5)));
  }
  CHECK(tracker.verdictOf(CrashingRequest) == CrashVerdict::Suspect);
  CHECK(tracker.verdictOf(BystanderRequest) == CrashVerdict::Suspect);
  CHECK(crash(tracker, CrashingRequest, 4, ShortAttempt, now));
  // Crashes explained by one request are no evidence against the other.
  CHECK(tracker.verdictOf(BystanderRequest) == CrashVerdict::Unknown);
  CHECK_FALSE(crash(tracker, BystanderRequest, 3, ShortAttempt, now));
  CHECK(tracker.verdictOf(BystanderRequest) == CrashVerdict::Unknown);
}

TEST_CASE("a late complete response clears a quarantined request") {
  CrashTracker tracker;
  for (unsigned i = 0; i < 3; ++i)
    crash(tracker, CrashingRequest, i, ShortAttempt, Start + seconds(i));
  REQUIRE(tracker.verdictOf(CrashingRequest) == CrashVerdict::Quarantined);
  tracker.onCompleteResponse(CrashingRequest, Start + seconds(4));
  CHECK(tracker.verdictOf(CrashingRequest) == CrashVerdict::Unknown);
  CHECK(tracker.cleared() == std::vector{CrashingRequest});
}

/// Returns all records that \p from announces within ten seconds, repeats
/// included.
static std::vector<CrashRecord> takeAllRecords(CrashTracker &from,
                                               TimePoint now) {
  std::vector<CrashRecord> out;
  for (unsigned i = 0; i < 100; ++i, now += milliseconds(100))
    for (CrashRecord &it : from.takeRecords(1, now))
      out.push_back(std::move(it));
  return out;
}

TEST_CASE("reports of other entries may arrive late and in any order") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    // The first entry sees the first crash and a complete response to another
    // request, the second entry sees the two later crashes. Neither has enough
    // evidence alone.
    CrashTracker first;
    CrashTracker second;
    first.onCrash(CrashingRequest, incarnation(1), ShortAttempt, Endpoints,
                  Start);
    first.onCrash(BystanderRequest, incarnation(1), ShortAttempt, Endpoints,
                  Start);
    first.onCompleteResponse(BystanderRequest, Start + seconds(1));
    for (unsigned i = 2; i <= 3; ++i)
      second.onCrash(CrashingRequest, incarnation(i), ShortAttempt, Endpoints,
                     Start + seconds(2));
    TimePoint now = Start + seconds(3);
    std::vector<CrashRecord> told = takeAllRecords(first, now);
    for (CrashRecord &it : takeAllRecords(second, now))
      told.push_back(std::move(it));
    // The records were announced within ten seconds; merge all of them at the
    // end of that time.
    std::shuffle(told.begin(), told.end(), random);
    CrashTracker third;
    for (const CrashRecord &it : told)
      third.merge("other", {{it}, {}}, now + seconds(10));
    third.updateVerdicts(now + seconds(11));
    CHECK(third.verdictOf(CrashingRequest) == CrashVerdict::Quarantined);
    CHECK(third.verdictOf(BystanderRequest) == CrashVerdict::Unknown);
  }
}

TEST_CASE("callers that send a different body each time can't evict a "
          "quarantined request") {
  CrashLimits limits;
  CrashTracker tracker(limits);
  for (unsigned i = 0; i < 3; ++i)
    crash(tracker, CrashingRequest, i, ShortAttempt, Start + seconds(i));
  REQUIRE(tracker.verdictOf(CrashingRequest) == CrashVerdict::Quarantined);
  TimePoint now = Start + seconds(3);
  std::size_t mostBytes = 0;
  for (std::uint64_t i = 0; i < 20000; ++i, now += milliseconds(5)) {
    tracker.onCrash(RequestDigest(1000 + i), incarnation(1000 + i / 12),
                    ShortAttempt, Endpoints, now);
    if (i % 20 == 0) {
      LoadReport report{"n", {}, {tracker.takeRecords(4, now), {}}};
      mostBytes = std::max(mostBytes, encodeLoad(report).size());
    }
  }
  CHECK(tracker.recordCount() <= limits.MaxRecords);
  CHECK(tracker.verdictOf(CrashingRequest) == CrashVerdict::Quarantined);
  // A datagram that holds a report must not be fragmented often.
  CHECK(mostBytes <= 4096);
}

TEST_CASE("quarantined requests expire unless they are received again") {
  CrashTracker tracker;
  for (RequestDigest it : {CrashingRequest, BystanderRequest}) {
    for (unsigned i = 0; i < 3; ++i)
      crash(tracker, it, unsigned(it.get()) * 10 + i, ShortAttempt,
            Start + seconds(30 * i));
  }
  TimePoint now = Start;
  for (unsigned i = 0; i < 24; ++i, now += minutes(1)) {
    tracker.onReceived(CrashingRequest, now);
    tracker.takeRecords(4, now);
  }
  CHECK(tracker.verdictOf(CrashingRequest) == CrashVerdict::Quarantined);
  CHECK(tracker.verdictOf(BystanderRequest) == CrashVerdict::Unknown);
  CHECK(tracker.quarantined() == std::vector{CrashingRequest});
}

TEST_CASE("records are decoded unchanged, and oversized reports are "
          "truncated") {
  CrashRecord record;
  record.Request = CrashingRequest;
  record.Endpoints = 16;
  record.SeenAge = seconds(3);
  record.ClearedAge = seconds(4);
  record.QuarantinedAge = seconds(2);
  for (std::uint64_t i = 0; i < 100; ++i)
    record.Crashes.push_back({incarnation(i), seconds(i), milliseconds(i)});
  LoadReport report{"n", {}, {std::vector<CrashRecord>(200, record), {}}};
  report.Crashes.SuspectAttempts.assign(200,
                                        {BystanderRequest, incarnation(7)});
  std::optional<LoadReport> read = decodeLoad(encodeLoad(report));
  REQUIRE(read);
  CHECK(read->Crashes.Records.size() <= 64);
  CHECK(read->Crashes.SuspectAttempts.size() <= 64);
  CHECK(read->Crashes.SuspectAttempts.front().Request == BystanderRequest);
  const CrashRecord &got = read->Crashes.Records.front();
  CHECK(got.Request == CrashingRequest);
  CHECK(got.Crashes.size() <= 8);
  CHECK(got.Crashes.at(3).Age == seconds(3));
  CHECK(got.QuarantinedAge == Duration(seconds(2)));
  CHECK(got.ClearedAge == Duration(seconds(4)));
}

TEST_CASE("the rate of repeated records that an entry receives does not grow "
          "with the fleet") {
  for (std::size_t entries : {4, 52, 370}) {
    CrashTracker tracker;
    for (std::uint64_t i = 0; i < 200; ++i)
      for (unsigned k = 0; k < 4; ++k)
        tracker.onCrash(RequestDigest(100 + i), incarnation(1000 + i * 4 + k),
                        ShortAttempt, Endpoints, Start);
    tracker.updateVerdicts(Start + seconds(1));
    TimePoint now = Start + seconds(60);
    // All first announcements are made by then.
    for (unsigned i = 0; i < 100; ++i)
      tracker.takeRecords(entries, Start + seconds(1));
    std::size_t bytes = 0;
    for (unsigned i = 0; i < 6000; ++i, now += milliseconds(10)) {
      LoadReport report{"n", {}, {tracker.takeRecords(entries, now), {}}};
      bytes += encodeLoad(report).size() - encodeLoad({"n", {}, {}}).size();
    }
    // These are the bytes of one entry in a minute; every other entry sends as
    // many.
    std::size_t perSecond = bytes * entries / 60;
    CHECK(perSecond <= 9000);
    CHECK(perSecond > 0);
  }
}
