//===- PartTrackerTest.cpp - finding parts that crash endpoints -----------===//
//
// The tracker must find the part that crashes endpoints among the parts of all
// requests that ran there, in tables that callers can't fill.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Quarantine/CrashQuarantine.h"
#include "ospreyspur/Rpc/LoadCodec.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr RequestDigest Common(1);
static constexpr RequestDigest Deadly(2);
static constexpr RequestDigest Bystander(3);
static const ServiceId usedService("s");
static const ServiceId otherService("t");
static constexpr std::size_t Endpoints = 16;
static constexpr TimePoint Start{seconds(100000)};
static constexpr Duration Settled = seconds(1);

namespace {
/// A tracker that has run long enough to reach verdicts.
struct Fixture {
  explicit Fixture(std::uint64_t salt = 1) : Tracker(salt) {
    complete({Common});
    Now += seconds(10);
  }

  void receive(const PartTracker::Parts &parts, unsigned n = 1) {
    for (unsigned i = 0; i < n; ++i)
      Tracker.onReceived(parts, usedService, Now);
  }
  void complete(const PartTracker::Parts &parts) {
    receive(parts);
    Tracker.onComplete(parts, usedService, Now);
  }
  /// One more endpoint crashes as it runs requests with these parts, while
  /// others arrive. Returns the number of verdicts that follow.
  std::size_t crash(const std::vector<PartTracker::Parts> &requests) {
    ++Crashed;
    for (const PartTracker::Parts &it : requests)
      Tracker.onCrash(it, usedService, IncarnationDigest(Crashed),
                      milliseconds(80), Endpoints, Now);
    receive({Common}, 20);
    Now += Settled;
    return Tracker.updateVerdicts(Now).size();
  }
  bool isHeld(RequestDigest part,
              const ServiceId &service = usedService) const {
    return Tracker.findQuarantined({part}, service).has_value();
  }

  TimePoint Now = Start;
  std::uint64_t Crashed = 0;
  PartTracker Tracker;
};
} // namespace

TEST_CASE("the part that all crashes have in common is quarantined, not one "
          "that has been run") {
  Fixture fixture;
  for (unsigned i = 0; i < 3; ++i) {
    fixture.receive({Common, Deadly});
    CHECK_FALSE(fixture.isHeld(Deadly));
    fixture.crash({{Common, Deadly}, {Common, RequestDigest(100 + i)}});
  }
  CHECK(fixture.isHeld(Deadly));
  CHECK_FALSE(fixture.isHeld(Common));
  CHECK_FALSE(fixture.isHeld(RequestDigest(100)));
}

TEST_CASE("a part that was at all crashes as well delays the verdict") {
  Fixture fixture;
  for (unsigned i = 0; i < 3; ++i) {
    fixture.receive({Common, Deadly});
    fixture.receive({Common, Bystander});
    CHECK(fixture.crash({{Common, Deadly}, {Common, Bystander}}) == 0);
  }
  fixture.receive({Common, Deadly});
  CHECK(fixture.crash({{Common, Deadly}}) == 1);
  CHECK(fixture.isHeld(Deadly));
  CHECK_FALSE(fixture.isHeld(Bystander));
}

TEST_CASE("a complete response clears a part and ends its quarantine") {
  Fixture fixture;
  for (unsigned i = 0; i < 2; ++i) {
    fixture.receive({Common, Deadly});
    fixture.crash({{Common, Deadly}});
  }
  fixture.complete({Common, Deadly});
  fixture.receive({Common, Deadly});
  CHECK(fixture.crash({{Common, Deadly}}) == 0);
  fixture.complete({Common});
  for (unsigned i = 0; i < 12; ++i)
    fixture.crash({{Common, Deadly}});
  REQUIRE(fixture.isHeld(Deadly));
  // An attempt that was in flight.
  fixture.complete({Common, Deadly});
  CHECK_FALSE(fixture.isHeld(Deadly));
}

TEST_CASE("a quarantined part is held back from all services that have not run "
          "it") {
  Fixture fixture;
  fixture.receive({Deadly});
  fixture.Tracker.onComplete({Deadly}, otherService, fixture.Now);
  for (unsigned i = 0; i < 3; ++i) {
    fixture.receive({Common, Deadly});
    fixture.crash({{Common, Deadly}});
  }
  CHECK(fixture.isHeld(Deadly));
  CHECK(fixture.isHeld(Deadly, ServiceId("u")));
  CHECK_FALSE(fixture.isHeld(Deadly, otherService));
  // It says nothing of the service whose endpoints crash.
  fixture.Tracker.onComplete({Deadly}, otherService, fixture.Now);
  CHECK(fixture.isHeld(Deadly));
}

TEST_CASE("after an hour a quarantine ends, and the next crash renews it") {
  Fixture fixture;
  for (unsigned i = 0; i < 3; ++i) {
    fixture.receive({Common, Deadly});
    fixture.crash({{Common, Deadly}});
  }
  for (unsigned i = 0; i < 70; ++i) {
    fixture.receive({Common}, 20);
    fixture.receive({Common, Deadly});
    fixture.Now += std::chrono::minutes(1);
    fixture.Tracker.takeRecords(1, fixture.Now);
  }
  CHECK_FALSE(fixture.isHeld(Deadly));
  fixture.receive({Common, Deadly});
  CHECK(fixture.crash({{Common, Deadly}}) == 1);
  CHECK(fixture.isHeld(Deadly));
}

TEST_CASE("the verdict of an entry that knows less is refused") {
  Fixture fixture;
  Fixture other(2);
  other.receive({Bystander}, 1);
  for (unsigned i = 0; i < 6; ++i)
    other.crash({{Bystander}});
  REQUIRE(other.isHeld(Bystander));
  fixture.Now = other.Now;
  fixture.complete({Bystander});
  std::vector<CrashRecord> records =
      other.Tracker.takeRecords(2, other.Now + milliseconds(10));
  fixture.Tracker.merge("other", records, fixture.Now + milliseconds(10));
  CHECK_FALSE(fixture.isHeld(Bystander));
  // Its answer ends the quarantine at the other entry.
  other.Tracker.merge(
      "first", fixture.Tracker.takeRecords(2, fixture.Now + milliseconds(20)),
      fixture.Now + milliseconds(20));
  CHECK_FALSE(other.isHeld(Bystander));
}

TEST_CASE("callers who invent parts fill no table and evict no quarantine") {
  Fixture fixture;
  for (unsigned i = 0; i < 3; ++i) {
    fixture.receive({Common, Deadly});
    fixture.crash({{Common, Deadly}});
  }
  REQUIRE(fixture.isHeld(Deadly));
  for (std::uint64_t i = 0; i < 3000; ++i) {
    if (i % 100 == 0)
      fixture.receive({Common, Deadly});
    fixture.complete({RequestDigest(100000 + 2 * i)});
    fixture.receive({RequestDigest(100001 + 2 * i)});
    fixture.crash({{RequestDigest(100001 + 2 * i)}});
  }
  CHECK(fixture.isHeld(Deadly));
  CHECK(fixture.Tracker.crashes().recordCount() <= CrashLimits().MaxRecords);
  CHECK(fixture.Tracker.sound().size() <= SoundParts::MaxParts);
}

TEST_CASE("the records of parts pass between entries as sent, and are not "
          "taken for those of requests") {
  Fixture fixture;
  fixture.receive({Common, Deadly});
  fixture.crash({{Common, Deadly}});
  LoadReport report;
  report.Crashes.Parts = fixture.Tracker.takeRecords(1, fixture.Now);
  REQUIRE(report.Crashes.Parts.size() == 2);
  CHECK(report.concernsAll());
  std::optional<LoadReport> read = decodeLoad(encodeLoad(report));
  REQUIRE(read);
  CHECK(read->Crashes.Records.empty());
  REQUIRE(read->Crashes.Parts.size() == 2);
  for (std::size_t i = 0; i < 2; ++i) {
    const CrashRecord &sent = report.Crashes.Parts[i];
    const CrashRecord &received = read->Crashes.Parts[i];
    CHECK(received.Request == sent.Request);
    CHECK(received.Crashes.size() == sent.Crashes.size());
    CHECK(received.ClearedAge == sent.ClearedAge);
  }
}

TEST_CASE("a crash that a part explains is no evidence against a request, and "
          "the reverse") {
  CrashQuarantine quarantine(1);
  TimePoint now = Start;
  quarantine.onReceived({RequestDigest(50), {Common}, usedService}, now);
  quarantine.onComplete({RequestDigest(50), {Common}, usedService}, true, now);
  now += seconds(10);
  std::uint64_t request = 1000;
  auto crash = [&](std::uint64_t incarnation, RequestDigest digest,
                   std::vector<RequestDigest> parts) {
    CrashSubject subject{digest, std::move(parts), usedService};
    quarantine.onReceived(subject, now);
    quarantine.onCrash({subject, "id", milliseconds(80), false, false},
                       EndpointId("e"), IncarnationDigest(incarnation),
                       Endpoints, now);
  };
  for (std::uint64_t i = 1; i <= 3; ++i) {
    for (unsigned k = 0; k < 30; ++k)
      quarantine.onReceived({RequestDigest(++request), {Common}, usedService},
                            now);
    crash(i, RequestDigest(++request), {Common, Deadly});
    crash(i, RequestDigest(60 + i), {Common});
    now += Settled;
    quarantine.updateVerdicts(false, now);
  }
  CHECK(quarantine.codeOf({RequestDigest(7), {Common, Deadly}, usedService}) ==
        ResultCode::PartQuarantined);
  CHECK(quarantine.requests().verdictOf(RequestDigest(61)) ==
        CrashVerdict::Unknown);
  for (std::uint64_t i = 11; i <= 14; ++i) {
    crash(i, RequestDigest(70), {Common, Bystander});
    now += milliseconds(120);
    quarantine.updateVerdicts(false, now);
  }
  CHECK(quarantine.codeOf({RequestDigest(70), {}, usedService}) ==
        ResultCode::RequestQuarantined);
  CHECK(quarantine.codeOf({RequestDigest(71), {Bystander}, usedService}) ==
        ResultCode::Ok);
}
