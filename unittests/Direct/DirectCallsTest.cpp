//===- DirectCallsTest.cpp - effects of one call on others ----------------===//
//
// The outcome at one request or endpoint must not be taken for that of others,
// and slots and retries that were reserved for a call must be used for it or
// released.
//
//===----------------------------------------------------------------------===//

#include "Direct/TwoGroupFixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace ospreyspur;
using namespace test;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr Duration Step = milliseconds(50);

TEST_CASE("a stream that resumes after its own idle period does not make its "
          "group slow") {
  TwoGroupFixture fixture;
  auto config = std::make_shared<FleetConfig>(*fixture.Config);
  config->Services.at(ServiceId("s")).Engine->TypicalOutputTokens = 600;
  fixture.Config = config;
  constexpr std::uint64_t Streams = 6;
  std::vector<std::string> groups;
  for (std::uint64_t id = 1; id <= Streams; ++id) {
    groups.push_back(fixture.start(id));
    REQUIRE_FALSE(groups.back().empty());
    fixture.Node.onFirstByte(CallId(id), fixture.Now);
  }
  unsigned stopped = 0;
  auto write = [&](unsigned steps, bool withLast) {
    for (unsigned i = 0; i < steps; ++i) {
      fixture.Now += Step;
      for (std::uint64_t id = 1; id <= Streams; ++id)
        if (id < Streams || withLast)
          stopped += countOf<StopAttempt>(
              fixture.Node.onEvents(CallId(id), fixture.Now));
    }
  };
  write(4, true);
  write(50, false); // 2.5 s; the other streams receive events
  write(2, true);
  for (const auto &[id, state] : fixture.Node.endpointTable().states())
    CHECK(fixture.Node.endpointTable().gapOf(state, fixture.Now) < 2 * Step);
  CHECK(stopped == 0);
}

TEST_CASE("a hanging stream does not close its group while it hangs") {
  TwoGroupFixture fixture;
  std::string group = fixture.start(1);
  REQUIRE_FALSE(group.empty());
  fixture.Node.onFirstByte(CallId(1), fixture.Now);
  // The other group is draining.
  for (ListedEndpoint &it : fixture.Listed)
    it.Record.IsLeaving = it.Record.Id.get().substr(0, 1) != group;
  fixture.Node.setEndpoints(fixture.Listed);
  fixture.Now += seconds(3);
  fixture.Node.onSilent(CallId(1), fixture.Now);
  bool isServed = false;
  for (std::uint64_t id = 2; id <= 7; ++id) {
    fixture.Now += milliseconds(500);
    isServed = isServed || !fixture.start(id).empty() ||
               countOf<StartAttempt>(fixture.Node.onTimer(fixture.Now)) > 0;
  }
  // Seven of eight slots are free, and none of them was ever tried.
  CHECK(isServed);
}

TEST_CASE("a full endpoint does not close its whole group") {
  TwoGroupFixture fixture;
  std::string group = fixture.start(1);
  DirectActions refused = fixture.end(1, AttemptEnd::Full);
  const auto *query = find<QueryEndpoint>(refused);
  REQUIRE(query);
  EndpointId full = query->Endpoint.Id;
  fixture.Node.onStatusReport(full, EndpointStatus{GroupId(group), true, 4},
                              fixture.Now);
  for (const auto &[id, state] : fixture.Node.endpointTable().states())
    if (state.Group == GroupId(group) && id != full)
      CHECK_FALSE(state.MustReport);
}

TEST_CASE("streams that fall silent at the same time count as one failure") {
  NodeFixture fixture(1, makeRoute(RequestKind::Stream, 2, true));
  for (std::uint64_t id : {1, 2}) {
    REQUIRE(only<StartAttempt>(fixture.call(id)));
    fixture.Node.onFirstByte(CallId(id), fixture.Now);
  }
  fixture.Now += seconds(1);
  for (std::uint64_t id : {1, 2})
    fixture.Node.onSilent(CallId(id), fixture.Now);
  CHECK(fixture.Node.endpointTable().find(EndpointId("e0"))->AvoidedUntil ==
        fixture.Now + EndpointTable::FirstAvoidTime);
}

TEST_CASE("a stream that has begun is not ended because many calls wait") {
  NodeFixture fixture(3, makeRoute(RequestKind::Stream, 2, true));
  REQUIRE(only<StartAttempt>(fixture.call(1)));
  fixture.Node.onFirstByte(CallId(1), fixture.Now);
  REQUIRE(only<StartAttempt>(fixture.end(1, AttemptEnd::BrokeOff)));
  std::uint64_t id = 2;
  while (fixture.Node.waitingCount() < DirectLimits().MaxWaiting)
    fixture.call(id++);
  CHECK(countOf<EndCall>(fixture.end(1, AttemptEnd::NeverSent)) == 0);
}

TEST_CASE("a stream that has begun waits for a slot after a failed response") {
  NodeFixture fixture(3, makeRoute(RequestKind::Stream, 3, true));
  REQUIRE(only<StartAttempt>(fixture.call(1)));
  fixture.Node.onFirstByte(CallId(1), fixture.Now);
  REQUIRE(only<StartAttempt>(fixture.end(1, AttemptEnd::BrokeOff)));
  for (std::uint64_t id = 2; !fixture.call(id).empty(); ++id)
    ;
  CHECK(countOf<ForwardResponse>(fixture.end(1, AttemptEnd::Failed)) == 0);
}

TEST_CASE("a stream that has begun gets a slot after calls that can be within "
          "their latency target, before those that cannot") {
  NodeFixture fixture(2, makeRoute(RequestKind::Stream, 2, true));
  std::uint64_t onOther = breakOffWithoutCapacity(fixture);
  fixture.Now += milliseconds(500);
  // The old slot of the broken stream goes to one of these calls; the other one
  // waits.
  fixture.call(10);
  fixture.call(11);
  REQUIRE(fixture.Node.waitingCount() == 2);
  DirectActions freed = fixture.end(onOther, AttemptEnd::Complete);
  const auto *first = find<StartAttempt>(freed);
  REQUIRE(first);
  CHECK(first->Call == CallId(11));
  // A call that waited too long to be within its latency target comes after it.
  fixture.call(12);
  fixture.Now += milliseconds(300);
  REQUIRE(fixture.Node.waitingCount() == 2);
  DirectActions next = fixture.end(11, AttemptEnd::Complete);
  const auto *second = find<StartAttempt>(next);
  REQUIRE(second);
  CHECK(second->Call == CallId(1));
}

/// Allows one retry in ten seconds. There are three endpoints of two slots.
static void allowOneRetry(NodeFixture &fixture) {
  fixture.Node.setRetries({0, 2, seconds(10)});
}

TEST_CASE("a reserved retry that is not used returns to the budget") {
  NodeFixture fixture(3, makeRoute(RequestKind::Stream, 2, true));
  allowOneRetry(fixture);
  REQUIRE(only<StartAttempt>(fixture.call(1)));
  fixture.Node.onFirstByte(CallId(1), fixture.Now);
  fixture.Now += seconds(1);
  SUBCASE("the endpoint with the reserved slot starts draining") {
    REQUIRE(only<StopAttempt>(fixture.Node.onSilent(CallId(1), fixture.Now)));
    for (ListedEndpoint &it : fixture.Listed) {
      const EndpointState *state =
          fixture.Node.endpointTable().find(it.Record.Id);
      it.Record.IsLeaving = state->OwnRequests > 0;
    }
    fixture.Node.setEndpoints(fixture.Listed);
    CHECK(countOf<StartAttempt>(fixture.end(1, AttemptEnd::BrokeOff)) == 1);
  }
  SUBCASE("the next endpoint is unreachable") {
    REQUIRE(only<StartAttempt>(fixture.end(1, AttemptEnd::BrokeOff)));
    CHECK(countOf<StartAttempt>(fixture.end(1, AttemptEnd::NeverSent)) == 1);
  }
  SUBCASE("the stream completes after all") {
    REQUIRE(only<StopAttempt>(fixture.Node.onSilent(CallId(1), fixture.Now)));
    fixture.end(1, AttemptEnd::Complete);
    REQUIRE(only<StartAttempt>(fixture.call(2)));
    CHECK(countOf<StartAttempt>(fixture.end(2, AttemptEnd::Lost)) == 1);
  }
  SUBCASE("the caller hangs up") {
    REQUIRE(only<StopAttempt>(fixture.Node.onSilent(CallId(1), fixture.Now)));
    fixture.Node.onCallClosed(CallId(1), fixture.Now);
    REQUIRE(only<StartAttempt>(fixture.call(2)));
    CHECK(countOf<StartAttempt>(fixture.end(2, AttemptEnd::Lost)) == 1);
  }
}

TEST_CASE(
    "a waiting call is woken up when a full endpoint may be tried again") {
  NodeFixture fixture(1, makeRoute(RequestKind::Stream, 2, true));
  REQUIRE(only<StartAttempt>(fixture.call(1)));
  fixture.end(1, AttemptEnd::Full);
  REQUIRE(fixture.call(2).empty());
  std::optional<TimePoint> next = fixture.Node.nextTimer();
  REQUIRE(next);
  CHECK(*next <= fixture.Now + EndpointTable::FullTime);
}

TEST_CASE("a waiting stream is not sent after its deadline") {
  NodeFixture fixture(2, makeRoute(RequestKind::Stream, 2, true));
  auto config = std::make_shared<FleetConfig>(*fixture.Config);
  config->Services.at(ServiceId("s")).Engine.reset();
  fixture.Config = config;
  REQUIRE(only<StartAttempt>(fixture.call(1)));
  fixture.Node.onFirstByte(CallId(1), fixture.Now);
  EndpointId other("e0");
  if (fixture.Node.endpointTable().find(other)->OwnRequests > 0)
    other = EndpointId("e1");
  fixture.Node.setPeerLoad("n", {{other, 100, 0}}, fixture.Now);
  fixture.end(1, AttemptEnd::BrokeOff);
  REQUIRE(fixture.Node.waitingCount() == 1);
  // By then the other entry's report is too old to count.
  fixture.Now += seconds(8);
  DirectActions last = fixture.Node.onTimer(fixture.Now);
  CHECK(countOf<StartAttempt>(last) == 0);
  CHECK(countOf<EndCall>(last) == 1);
}

TEST_CASE(
    "a request that runs at most once is not retried even if it is resumable") {
  NodeFixture fixture(2, makeRoute(RequestKind::OnceOnly, 2, true));
  REQUIRE(only<StartAttempt>(fixture.call(1)));
  CHECK(countOf<StartAttempt>(fixture.end(1, AttemptEnd::Lost)) == 0);
}

TEST_CASE("a stopped stream is not sent again after its deadline") {
  NodeFixture fixture(2, makeRoute(RequestKind::Stream, 2, true));
  REQUIRE(only<StartAttempt>(fixture.call(1)));
  fixture.Node.onFirstByte(CallId(1), fixture.Now);
  fixture.Now += milliseconds(7900);
  REQUIRE(only<StopAttempt>(fixture.Node.onSilent(CallId(1), fixture.Now)));
  fixture.Now += milliseconds(200);
  CHECK(countOf<StartAttempt>(fixture.end(1, AttemptEnd::BrokeOff)) == 0);
}

TEST_CASE("a short deadline does not make an endpoint suspect") {
  NodeFixture fixture(1, makeRoute(RequestKind::OnceOnly, 1));
  DirectRequest request;
  request.Id = CallId(1);
  request.Config = fixture.Config;
  request.Route = &fixture.Config->Routes.front();
  request.TimeLeft = milliseconds(50);
  REQUIRE(
      only<StartAttempt>(fixture.Node.onCall(std::move(request), fixture.Now)));
  fixture.Now += milliseconds(50);
  fixture.end(1, AttemptEnd::Lost);
  CHECK(fixture.Node.endpointTable().find(EndpointId("e0"))->AvoidedUntil <=
        fixture.Now);
}

TEST_CASE("an unresponsive rank does not delay status queries to other ranks") {
  TwoGroupFixture fixture;
  std::string group = fixture.start(1);
  DirectActions refused = fixture.end(1, AttemptEnd::Full);
  REQUIRE(countOf<QueryEndpoint>(refused) == 1);
  EndpointId unresponsive = find<QueryEndpoint>(refused)->Endpoint.Id;
  DirectActions next =
      fixture.Node.onStatusReport(unresponsive, std::nullopt, fixture.Now);
  REQUIRE(countOf<QueryEndpoint>(next) == 1);
  EndpointId other = find<QueryEndpoint>(next)->Endpoint.Id;
  REQUIRE(other != unresponsive);
  fixture.Node.onStatusReport(other, EndpointStatus{GroupId(group), false, 0},
                              fixture.Now);
  fixture.Now += EndpointTable::QueryInterval;
  DirectActions again = fixture.Node.onTimer(fixture.Now);
  REQUIRE(countOf<QueryEndpoint>(again) == 1);
  // The unresponsive endpoint must not be queried again for a second.
  CHECK(find<QueryEndpoint>(again)->Endpoint.Id == other);
}

TEST_CASE("the status report of one rank does not prove that an unreachable "
          "rank serves") {
  TwoGroupFixture fixture;
  std::string group = fixture.start(1);
  DirectActions refused = fixture.end(1, AttemptEnd::Full);
  EndpointId unresponsive = find<QueryEndpoint>(refused)->Endpoint.Id;
  fixture.Now += seconds(5);
  DirectActions next =
      fixture.Node.onStatusReport(unresponsive, std::nullopt, fixture.Now);
  REQUIRE(countOf<QueryEndpoint>(next) == 1);
  fixture.Node.onStatusReport(find<QueryEndpoint>(next)->Endpoint.Id,
                              EndpointStatus{GroupId(group), true, 0},
                              fixture.Now);
  CHECK(fixture.Node.endpointTable().find(unresponsive)->KnownServingAt !=
        fixture.Now);
}

TEST_CASE(
    "a rejection does not keep a stream that has begun from an idle endpoint") {
  NodeFixture fixture(3, makeRoute(RequestKind::Stream, 3, true));
  REQUIRE(only<StartAttempt>(fixture.call(1)));
  fixture.Node.onFirstByte(CallId(1), fixture.Now);
  REQUIRE(only<StartAttempt>(fixture.end(1, AttemptEnd::BrokeOff)));
  // The third endpoint has not failed; it was only idle recently.
  CHECK(countOf<StartAttempt>(fixture.end(1, AttemptEnd::Full)) == 1);
}

/// Loses a request without any response in an otherwise idle group. Returns the
/// group.
static std::string loseOneSilent(TwoGroupFixture &fixture) {
  std::string group = fixture.start(1);
  REQUIRE_FALSE(group.empty());
  fixture.Now += DirectLimits().MaxSilence;
  fixture.end(1, AttemptEnd::Lost);
  return group;
}

TEST_CASE("a request without a first byte does not count toward the "
          "inter-event gap of its group") {
  TwoGroupFixture fixture;
  std::string group = loseOneSilent(fixture);
  for (const auto &[id, state] : fixture.Node.endpointTable().states())
    if (state.Group == GroupId(group))
      CHECK(fixture.Node.endpointTable().gapOf(state, fixture.Now) <
            DirectLimits().SlowGap);
}

TEST_CASE(
    "a decayed inter-event gap does not come back when new streams begin") {
  TwoGroupFixture fixture;
  std::string group = loseOneSilent(fixture);
  // The lost request continues in the other group and completes there.
  fixture.end(1, AttemptEnd::Complete);
  fixture.Now += seconds(60);
  unsigned stopped = 0;
  for (std::uint64_t id = 2; id <= 3; ++id) {
    REQUIRE_FALSE(fixture.start(id).empty());
    fixture.Node.onFirstByte(CallId(id), fixture.Now);
  }
  for (unsigned i = 0; i < 4; ++i) {
    fixture.Now += Step;
    for (std::uint64_t id = 2; id <= 3; ++id)
      stopped +=
          countOf<StopAttempt>(fixture.Node.onEvents(CallId(id), fixture.Now));
  }
  for (const auto &[id, state] : fixture.Node.endpointTable().states())
    CHECK(fixture.Node.endpointTable().gapOf(state, fixture.Now) < 2 * Step);
  CHECK(stopped == 0);
}
