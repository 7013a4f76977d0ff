//===- SilentStreamTest.cpp - streams are not cut for lack of a slot ------===//
//
// Guards against streams that are cut 0.9 s after their endpoint fell silent
// while other endpoints have capacity.
//
// This happens if the idle period of one stream is recorded as the inter-event
// gap of its whole group. Healthy streams of that group are then stopped as too
// slow, dozens at a time, until the entry's share of the retry budget is spent.
// A stream that was stopped cannot continue without a retry and is ended.
//
// The log records of waiting requests, which count the endpoints by obstacle,
// then show no full endpoint, half of the endpoints as "too_slow", and no retry
// left.
//
//===----------------------------------------------------------------------===//

#include "Direct/TwoGroupFixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace ospreyspur;
using namespace test;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr Duration UsualGap = milliseconds(50);

namespace {
/// Streams in two groups, some of which are silent at times.
class StreamFixture : public TwoGroupFixture {
public:
  StreamFixture() {
    auto config = std::make_shared<FleetConfig>(*Config);
    config->Services.at(ServiceId("s")).Engine->TypicalOutputTokens = 600;
    Config = std::move(config);
  }

  /// Starts streams 1 to \p n, which all begin to decode.
  void begin(std::uint64_t n) {
    for (std::uint64_t id = 1; id <= n; ++id) {
      Groups.push_back(start(id));
      REQUIRE_FALSE(Groups.back().empty());
      Node.onFirstByte(CallId(id), Now);
    }
  }

  const std::string &groupOf(std::uint64_t id) const {
    return Groups.at(id - 1);
  }

  /// All streams except those for which \p isSilent is true receive events
  /// every 50 ms for \p span. Returns the streams to be stopped.
  template <typename Predicate>
  std::vector<CallId> write(Duration span, Predicate isSilent) {
    std::vector<CallId> stopped;
    for (TimePoint end = Now + span; Now < end;) {
      Now += UsualGap;
      for (std::uint64_t id = 1; id <= Groups.size(); ++id) {
        if (isSilent(id))
          continue;
        for (const DirectAction &it : Node.onEvents(CallId(id), Now))
          if (const auto *stop = std::get_if<StopAttempt>(&it))
            stopped.push_back(stop->Call);
      }
    }
    return stopped;
  }

  /// Returns the group with the most streams.
  std::string fullest() const {
    auto n = std::count(Groups.begin(), Groups.end(), "a");
    return 2 * static_cast<std::size_t>(n) > Groups.size() ? "a" : "b";
  }

  /// Lets the streams of \p group receive an event every 600 ms, with which a
  /// response cannot complete in time. Returns the streams to be stopped.
  std::vector<CallId> slowDown(const std::string &group) {
    std::vector<CallId> stopped;
    for (unsigned i = 0; i < 5 && stopped.empty(); ++i) {
      auto isSlow = [&](std::uint64_t id) { return groupOf(id) == group; };
      write(milliseconds(550), isSlow);
      stopped = write(UsualGap, [](std::uint64_t /*id*/) { return false; });
    }
    return stopped;
  }

private:
  std::vector<std::string> Groups;
};
} // namespace

TEST_CASE("one silent stream does not make its group slow") {
  constexpr std::uint64_t Silent = 8;
  StreamFixture fixture;
  fixture.begin(Silent);
  CHECK(fixture.write(seconds(1), [](std::uint64_t /*id*/) { return false; })
            .empty());
  auto isSilent = [](std::uint64_t id) { return id == Silent; };
  CHECK(fixture.write(DirectLimits().MinSilence, isSilent).empty());
  fixture.end(Silent, AttemptEnd::BrokeOff);
  // The other streams of its group received events all the time.
  for (const auto &[id, state] : fixture.Node.endpointTable().states())
    CHECK(fixture.Node.endpointTable().gapOf(state, fixture.Now) <
          2 * UsualGap);
  CHECK(fixture.write(seconds(1), isSilent).empty());
}

/// Checks that every stopped stream continues in the other group at once.
static void checkAllResume(StreamFixture &fixture,
                           const std::vector<CallId> &stopped) {
  for (CallId it : stopped) {
    DirectActions next = fixture.end(it.get(), AttemptEnd::BrokeOff);
    const auto *attempt = find<StartAttempt>(next);
    CHECK((attempt && attempt->Call == it));
    CHECK((attempt && attempt->Endpoint.Id.get().substr(0, 1) !=
                          fixture.groupOf(it.get())));
  }
}

TEST_CASE("a stream is stopped or ended only if necessary") {
  SUBCASE("no more streams are stopped than the retry budget allows") {
    StreamFixture fixture;
    fixture.Node.setRetries({0, 2, seconds(10)});
    fixture.begin(6);
    std::vector<CallId> stopped = fixture.slowDown(fixture.groupOf(1));
    CHECK(stopped.size() == 1);
    checkAllResume(fixture, stopped);
  }
  SUBCASE("no more streams are stopped than there are free slots in the other "
          "group") {
    StreamFixture fixture;
    // There are eight slots in each group; one of the healthy group's is free.
    fixture.begin(15);
    std::vector<CallId> stopped = fixture.slowDown(fixture.fullest());
    CHECK(stopped.size() == 1);
    checkAllResume(fixture, stopped);
  }
  SUBCASE("a stream that broke off waits for capacity until its deadline") {
    NodeFixture fixture(2, makeRoute(RequestKind::Stream, 2, true));
    std::uint64_t onOther = breakOffWithoutCapacity(fixture);
    fixture.Now += seconds(3);
    CHECK(fixture.Node.onTimer(fixture.Now).empty());
    DirectActions freed = fixture.end(onOther, AttemptEnd::Complete);
    const auto *attempt = find<StartAttempt>(freed);
    CHECK((attempt && attempt->Call == CallId(1)));
  }
  SUBCASE("a stream that broke off and whose next endpoint is unreachable "
          "waits for capacity") {
    NodeFixture fixture(3, makeRoute(RequestKind::Stream, 2, true));
    REQUIRE(only<StartAttempt>(fixture.call(1)));
    fixture.Node.onFirstByte(CallId(1), fixture.Now);
    fixture.Now += seconds(3);
    DirectActions next = fixture.end(1, AttemptEnd::BrokeOff);
    REQUIRE(only<StartAttempt>(next));
    std::vector<std::uint64_t> others;
    for (std::uint64_t id = 2; !fixture.call(id).empty(); ++id)
      others.push_back(id);
    CHECK(countOf<EndCall>(fixture.end(1, AttemptEnd::NeverSent)) == 0);
    bool hasResumed = false;
    for (std::uint64_t id : others) {
      DirectActions freed = fixture.end(id, AttemptEnd::Complete);
      const auto *attempt = find<StartAttempt>(freed);
      hasResumed = hasResumed || (attempt && attempt->Call == CallId(1));
    }
    CHECK(hasResumed);
  }
}

namespace {
/// One stream that has begun, with endpoints of two slots each.
class SilentStreamFixture : public NodeFixture {
public:
  explicit SilentStreamFixture(unsigned endpoints)
      : NodeFixture(endpoints, makeRoute(RequestKind::Stream, 2, true)) {
    DirectActions first = call(1);
    REQUIRE(only<StartAttempt>(first));
    Origin = only<StartAttempt>(first)->Endpoint.Id;
    Node.onFirstByte(CallId(1), Now);
    Now += seconds(1);
  }

  unsigned ownAt(const EndpointId &id) const {
    return Node.endpointTable().find(id)->OwnRequests;
  }
  /// Returns the endpoint that the stream did not start at; there must be two.
  EndpointId other() const {
    return EndpointId(Origin == EndpointId("e0") ? "e1" : "e0");
  }

  EndpointId Origin;
};
} // namespace

TEST_CASE("a silent stream is migrated to an endpoint where a slot and a retry "
          "are reserved") {
  SilentStreamFixture fixture(2);
  DirectActions stop = fixture.Node.onSilent(CallId(1), fixture.Now);
  REQUIRE(only<StopAttempt>(stop));
  CHECK((only<StopAttempt>(stop)->Reason == StopReason::Silent));
  CHECK(fixture.ownAt(fixture.other()) == 1);
  // The stream is stopped only once.
  CHECK(fixture.Node.onSilent(CallId(1), fixture.Now).empty());
  DirectActions next = fixture.end(1, AttemptEnd::BrokeOff);
  REQUIRE(only<StartAttempt>(next));
  CHECK(only<StartAttempt>(next)->Endpoint.Id == fixture.other());
  CHECK(fixture.ownAt(fixture.other()) == 1);
  CHECK(fixture.ownAt(fixture.Origin) == 0);
}

TEST_CASE(
    "a silent stream without a free slot elsewhere stays until one is free") {
  SilentStreamFixture fixture(2);
  std::vector<std::uint64_t> others;
  for (std::uint64_t id = 2; id <= 4; ++id) {
    DirectActions next = fixture.call(id);
    REQUIRE(only<StartAttempt>(next));
    if (only<StartAttempt>(next)->Endpoint.Id == fixture.other())
      others.push_back(id);
  }
  REQUIRE(others.size() == 2);
  CHECK(fixture.Node.onSilent(CallId(1), fixture.Now).empty());
  std::vector<WaitLogRecord> records = fixture.Node.takeWaitLogRecords();
  REQUIRE(records.size() == 1);
  CHECK(records.front().IsSilent);
  SUBCASE("a stream that resumes does not take the free slot") {
    fixture.Node.onEvents(CallId(1), fixture.Now);
    CHECK(fixture.end(others.front(), AttemptEnd::Complete).empty());
  }
  SUBCASE("a stream that is still silent takes the free slot") {
    DirectActions freed = fixture.end(others.front(), AttemptEnd::Complete);
    REQUIRE(only<StopAttempt>(freed));
    CHECK(only<StopAttempt>(freed)->Call == CallId(1));
  }
}

TEST_CASE("a slot that is reserved for a stream is released") {
  SilentStreamFixture fixture(2);
  REQUIRE(only<StopAttempt>(fixture.Node.onSilent(CallId(1), fixture.Now)));
  SUBCASE("the stream completes after all") {
    CHECK(fixture.end(1, AttemptEnd::Complete).empty());
  }
  SUBCASE("its caller hangs up") {
    fixture.Node.onCallClosed(CallId(1), fixture.Now);
  }
  SUBCASE("the endpoint starts draining") {
    for (ListedEndpoint &it : fixture.Listed)
      it.Record.IsLeaving = it.Record.Id == fixture.other();
    fixture.Node.setEndpoints(fixture.Listed);
    CHECK(fixture.end(1, AttemptEnd::BrokeOff).empty());
  }
  CHECK(fixture.ownAt(fixture.other()) == 0);
}

TEST_CASE(
    "a stopped silent stream does not count as a failure of its endpoint") {
  SilentStreamFixture fixture(3);
  DirectActions stop = fixture.Node.onSilent(CallId(1), fixture.Now);
  REQUIRE(only<StopAttempt>(stop));
  TimePoint avoidedUntil =
      fixture.Node.endpointTable().find(fixture.Origin)->AvoidedUntil;
  CHECK(avoidedUntil == fixture.Now + EndpointTable::FirstAvoidTime);
  fixture.Now += milliseconds(100);
  fixture.end(1, AttemptEnd::BrokeOff);
  CHECK(fixture.Node.endpointTable().find(fixture.Origin)->AvoidedUntil ==
        avoidedUntil);
}

TEST_CASE("a stopped slow stream does not count as a failure of its endpoint") {
  StreamFixture fixture;
  fixture.begin(4);
  std::vector<CallId> stopped = fixture.slowDown(fixture.groupOf(1));
  REQUIRE_FALSE(stopped.empty());
  for (CallId it : stopped)
    REQUIRE(countOf<StartAttempt>(
                fixture.end(it.get(), AttemptEnd::BrokeOff)) == 1);
  for (const auto &[id, state] : fixture.Node.endpointTable().states())
    CHECK(state.AvoidedUntil == TimePoint());
}

TEST_CASE("a silent stream is not migrated to an avoided endpoint") {
  SilentStreamFixture fixture(2);
  // Of three more requests, at least one is at the other endpoint.
  for (std::uint64_t id = 2; id <= 4; ++id) {
    DirectActions next = fixture.call(id);
    REQUIRE(only<StartAttempt>(next));
    bool isAtOther = only<StartAttempt>(next)->Endpoint.Id == fixture.other();
    fixture.end(id, isAtOther ? AttemptEnd::Failed : AttemptEnd::Complete);
    fixture.Node.onCallClosed(CallId(id), fixture.Now);
  }
  REQUIRE(fixture.Node.endpointTable().find(fixture.other())->AvoidedUntil >
          fixture.Now);
  CHECK(fixture.Node.onSilent(CallId(1), fixture.Now).empty());
  fixture.Now =
      fixture.Node.endpointTable().find(fixture.other())->AvoidedUntil;
  CHECK(only<StopAttempt>(fixture.Node.onSilent(CallId(1), fixture.Now)));
}

TEST_CASE("a silent request that runs at most once is not migrated") {
  NodeFixture fixture(2, makeRoute(RequestKind::OnceOnly, 2));
  REQUIRE(only<StartAttempt>(fixture.call(1)));
  fixture.Now += seconds(3);
  CHECK(fixture.Node.onSilent(CallId(1), fixture.Now).empty());
}

TEST_CASE("a stream is not migrated to a group whose streams are stalled") {
  StreamFixture fixture;
  fixture.begin(4);
  fixture.write(seconds(1), [](std::uint64_t /*id*/) { return false; });
  // Both groups fall silent.
  fixture.Now += DirectLimits().MinSilence;
  for (std::uint64_t id = 1; id <= 4; ++id)
    CHECK(countOf<StopAttempt>(
              fixture.Node.onSilent(CallId(id), fixture.Now)) == 0);
}

TEST_CASE(
    "a rejection does not count as an attempt of a stream that has begun") {
  // When a group breaks, its other ranks reject the streams that broke off at
  // the first one.
  NodeFixture fixture(3, makeRoute(RequestKind::Stream, 2, true));
  fixture.proveServing(3);
  REQUIRE(only<StartAttempt>(fixture.call(1)));
  fixture.Node.onFirstByte(CallId(1), fixture.Now);
  REQUIRE(only<StartAttempt>(fixture.end(1, AttemptEnd::BrokeOff)));
  REQUIRE(only<StartAttempt>(fixture.end(1, AttemptEnd::Full)));
  // No endpoint is left now; the stream waits until its deadline.
  CHECK(countOf<EndCall>(fixture.end(1, AttemptEnd::Full)) == 0);
  CHECK(fixture.Node.waitingCount() == 1);
}

TEST_CASE("a stream which may have run is not reported as not run") {
  NodeFixture fixture(2, makeRoute(RequestKind::Stream, 2, true));
  REQUIRE(only<StartAttempt>(fixture.call(1)));
  REQUIRE(only<StopAttempt>(fixture.Node.onSilent(CallId(1), fixture.Now)));
  REQUIRE(only<StartAttempt>(fixture.end(1, AttemptEnd::Lost)));
  DirectActions last = fixture.end(1, AttemptEnd::Full);
  CHECK((describe(codeOf(last)).Kind == Outcome::Unknown));
}
