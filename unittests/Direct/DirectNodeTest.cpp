//===- DirectNodeTest.cpp - handling of each end of an attempt ------------===//
//
// A request is reported as not run only if it did not run. A request that must
// not be retried is sent once, and requests go to endpoints with capacity.
//
//===----------------------------------------------------------------------===//

#include "Direct/NodeFixture.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using namespace test;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a lost attempt of a request that runs at most once has an unknown "
          "outcome and is not retried") {
  NodeFixture fixture(3, makeRoute(RequestKind::OnceOnly, 3));
  REQUIRE(only<StartAttempt>(fixture.call(1)));
  DirectActions after = fixture.end(1, AttemptEnd::Lost);
  CHECK(codeOf(after) == ResultCode::ContactLost);
  CHECK((describe(codeOf(after)).Kind == Outcome::Unknown));
}

TEST_CASE("the allowed silent period grows with the time to first byte of the "
          "service") {
  NodeFixture fixture(3, makeRoute(RequestKind::Repeatable, 2, true));
  auto silenceOf = [&](std::uint64_t id) {
    DirectActions actions = fixture.call(id);
    REQUIRE(only<StartAttempt>(actions));
    return only<StartAttempt>(actions)->MaxIdleTime;
  };
  auto respondAfter = [&](std::uint64_t id, Duration time) {
    fixture.Now += time;
    fixture.Node.onFirstByte(CallId(id), fixture.Now);
    fixture.end(id, AttemptEnd::Complete);
  };
  DirectLimits limits;
  // No endpoint has responded yet, as the service may just be starting.
  CHECK(silenceOf(1) == limits.MaxSilence);
  respondAfter(1, milliseconds(150));
  CHECK(silenceOf(2) == limits.MinSilence);
  respondAfter(2, milliseconds(150));
  for (std::uint64_t id = 3; id < 20; ++id) {
    silenceOf(id);
    respondAfter(id, milliseconds(700));
  }
  CHECK(silenceOf(20) == limits.MaxSilence);
}

TEST_CASE("a request that a full endpoint rejected goes to others until its "
          "attempts are used up") {
  NodeFixture fixture(3, makeRoute(RequestKind::OnceOnly, 2));
  fixture.proveServing(3);
  const auto first = fixture.call(1);
  REQUIRE(only<StartAttempt>(first));
  DirectActions second = fixture.end(1, AttemptEnd::Full);
  REQUIRE(only<StartAttempt>(second));
  CHECK(only<StartAttempt>(second)->Endpoint.Id !=
        only<StartAttempt>(first)->Endpoint.Id);
  DirectActions last = fixture.end(1, AttemptEnd::Full);
  REQUIRE(only<EndCall>(last));
  CHECK((describe(codeOf(last)).Kind == Outcome::NotRun));
  CHECK(only<EndCall>(last)->RetryAfter > Duration::zero());
}

TEST_CASE(
    "a stream with an attempt of unknown outcome is not reported as not run") {
  NodeFixture fixture(3, makeRoute(RequestKind::Stream, 2, true));
  REQUIRE(only<StartAttempt>(fixture.call(1)));
  REQUIRE(only<StartAttempt>(fixture.end(1, AttemptEnd::BrokeOff)));
  DirectActions last = fixture.end(1, AttemptEnd::Full);
  CHECK((describe(codeOf(last)).Kind != Outcome::NotRun));
}

TEST_CASE(
    "a resumable stream that was lost before its first event is sent again") {
  NodeFixture fixture(3, makeRoute(RequestKind::Stream, 2, true));
  REQUIRE(only<StartAttempt>(fixture.call(1)));
  CHECK(only<StartAttempt>(fixture.end(1, AttemptEnd::Lost)));
}

TEST_CASE(
    "a repeatable request with a lost attempt is not reported as not run") {
  NodeFixture fixture(3, makeRoute(RequestKind::Repeatable, 2));
  REQUIRE(only<StartAttempt>(fixture.call(1)));
  REQUIRE(only<StartAttempt>(fixture.end(1, AttemptEnd::Lost)));
  DirectActions last = fixture.end(1, AttemptEnd::Full);
  CHECK((describe(codeOf(last)).Kind == Outcome::Unknown));
}

// Guards against refusals after a run that failed: the caller would take the
// request for one that never ran.
TEST_CASE("a request whose run failed gets the failed response if no other "
          "endpoint takes it") {
  NodeFixture fixture(3, makeRoute(RequestKind::Repeatable, 2));
  REQUIRE(only<StartAttempt>(fixture.call(1)));
  REQUIRE(only<StartAttempt>(fixture.end(1, AttemptEnd::Failed)));
  DirectActions last = fixture.end(1, AttemptEnd::Full);
  CHECK(only<ForwardResponse>(last));
  CHECK(fixture.Node.waitingCount() == 0);
}

TEST_CASE("a request whose run failed and that waits for another endpoint gets "
          "the failed response when its wait ends") {
  NodeFixture fixture(3, makeRoute(RequestKind::Repeatable, 3));
  REQUIRE(only<StartAttempt>(fixture.call(1)));
  REQUIRE(only<StartAttempt>(fixture.end(1, AttemptEnd::Failed)));
  REQUIRE(fixture.end(1, AttemptEnd::Full).empty());
  fixture.Now += std::chrono::seconds(2);
  CHECK(only<ForwardResponse>(fixture.Node.onTimer(fixture.Now)));
  CHECK(fixture.Node.waitingCount() == 0);
}

TEST_CASE("a once-only stream whose run failed is not sent again") {
  NodeFixture fixture(3, makeRoute(RequestKind::Stream, 2, false));
  REQUIRE(only<StartAttempt>(fixture.call(1)));
  fixture.Node.onFirstByte(CallId(1), fixture.Now);
  CHECK(only<ForwardResponse>(fixture.end(1, AttemptEnd::Failed)));
}

TEST_CASE("a failed connection does not count as an attempt") {
  NodeFixture fixture(3, makeRoute(RequestKind::OnceOnly, 1));
  REQUIRE(only<StartAttempt>(fixture.call(1)));
  CHECK(only<StartAttempt>(fixture.end(1, AttemptEnd::NeverSent)));
}

TEST_CASE("a replaced endpoint does not count as an attempt, but the number of "
          "sends is limited") {
  NodeFixture fixture(6, makeRoute(RequestKind::OnceOnly, 1));
  REQUIRE(only<StartAttempt>(fixture.call(1)));
  for (int i = 0; i < 3; ++i)
    REQUIRE(only<StartAttempt>(fixture.end(1, AttemptEnd::OtherIncarnation)));
  DirectActions last = fixture.end(1, AttemptEnd::OtherIncarnation);
  CHECK((describe(codeOf(last)).Kind == Outcome::NotRun));
}

TEST_CASE("a request that only found full endpoints waits for one") {
  NodeFixture fixture(2, makeRoute(RequestKind::OnceOnly, 3));
  fixture.proveServing(2);
  REQUIRE(only<StartAttempt>(fixture.call(1)));
  REQUIRE(only<StartAttempt>(fixture.end(1, AttemptEnd::Full)));
  CHECK(fixture.end(1, AttemptEnd::Full).empty());
  CHECK(fixture.Node.waitingCount() == 1);
}

TEST_CASE("a rejected request waits until an endpoint is known to serve") {
  NodeFixture fixture(3, makeRoute(RequestKind::OnceOnly, 2));
  DirectActions first = fixture.call(1);
  REQUIRE(only<StartAttempt>(first));
  CHECK(fixture.end(1, AttemptEnd::Full).empty());
  DirectActions other = fixture.call(2);
  REQUIRE(only<StartAttempt>(other));
  DirectActions proven = fixture.Node.onFirstByte(CallId(2), fixture.Now);
  REQUIRE(only<StartAttempt>(proven));
  CHECK(only<StartAttempt>(proven)->Call == CallId(1));
  CHECK(only<StartAttempt>(proven)->Endpoint.Id ==
        only<StartAttempt>(other)->Endpoint.Id);
}

TEST_CASE("a stream that cannot be resumed ends when it breaks off") {
  NodeFixture fixture(3, makeRoute(RequestKind::Stream, 3));
  REQUIRE(only<StartAttempt>(fixture.call(1)));
  CHECK(codeOf(fixture.end(1, AttemptEnd::BrokeOff)) ==
        ResultCode::EndpointFailed);
}

TEST_CASE("a stream that broke off waits for capacity") {
  NodeFixture fixture(2, makeRoute(RequestKind::Stream, 2, true));
  std::uint64_t onOther = breakOffWithoutCapacity(fixture);
  fixture.Now += milliseconds(300);
  DirectActions freed = fixture.end(onOther, AttemptEnd::Complete);
  REQUIRE(only<StartAttempt>(freed));
  CHECK(only<StartAttempt>(freed)->Call == CallId(1));
}

TEST_CASE(
    "a stream that broke off ends at its deadline if there is no capacity") {
  NodeFixture fixture(2, makeRoute(RequestKind::Stream, 2, true));
  TimePoint deadline = fixture.Now + seconds(8);
  breakOffWithoutCapacity(fixture);
  REQUIRE(fixture.Node.nextTimer());
  CHECK(*fixture.Node.nextTimer() == deadline);
  fixture.Now = deadline - milliseconds(1);
  CHECK(fixture.Node.onTimer(fixture.Now).empty());
  fixture.Now = deadline;
  DirectActions late = fixture.Node.onTimer(fixture.Now);
  REQUIRE(only<EndCall>(late));
  CHECK((describe(codeOf(late)).Kind == Outcome::Unknown));
}

TEST_CASE("requests wait for capacity and are refused as not run when there is "
          "none in time") {
  NodeFixture fixture(1, makeRoute(RequestKind::Stream, 1));
  REQUIRE(only<StartAttempt>(fixture.call(1)));
  REQUIRE(only<StartAttempt>(fixture.call(2)));
  CHECK(fixture.call(3).empty());
  CHECK(fixture.call(4).empty());
  DirectActions freed = fixture.end(1, AttemptEnd::Complete);
  REQUIRE(only<StartAttempt>(freed));
  CHECK(only<StartAttempt>(freed)->Call == CallId(3));
  REQUIRE(fixture.Node.nextTimer());
  fixture.Now = *fixture.Node.nextTimer();
  DirectActions late = fixture.Node.onTimer(fixture.Now);
  REQUIRE(only<EndCall>(late));
  CHECK((describe(codeOf(late)).Kind == Outcome::NotRun));
  CHECK(fixture.Node.waitingCount() == 0);
}

TEST_CASE("calls that can be within their latency target go before those that "
          "cannot") {
  NodeFixture fixture(1, makeRoute(RequestKind::Stream, 1));
  fixture.call(1);
  fixture.call(2);
  fixture.call(3);
  fixture.Now += milliseconds(300);
  fixture.call(4);
  DirectActions freed = fixture.end(1, AttemptEnd::Complete);
  REQUIRE(only<StartAttempt>(freed));
  CHECK(only<StartAttempt>(freed)->Call == CallId(4));
}

TEST_CASE(
    "draining and vanished endpoints are not chosen while there are others") {
  NodeFixture fixture(3, makeRoute(RequestKind::Repeatable, 1));
  fixture.Listed[0].Record.IsLeaving = true;
  fixture.Listed[1].IsMissing = true;
  fixture.Node.setEndpoints(fixture.Listed);
  for (std::uint64_t id = 1; id <= 2; ++id) {
    DirectActions actions = fixture.call(id);
    REQUIRE(only<StartAttempt>(actions));
    CHECK(only<StartAttempt>(actions)->Endpoint.Id == EndpointId("e2"));
  }
}

TEST_CASE("requests of other entries count toward an endpoint's load") {
  NodeFixture fixture(2, makeRoute(RequestKind::Stream, 1));
  fixture.Node.setPeerLoad("other", {{EndpointId("e0"), 1, 500}}, fixture.Now);
  DirectActions actions = fixture.call(1);
  REQUIRE(only<StartAttempt>(actions));
  CHECK(only<StartAttempt>(actions)->Endpoint.Id == EndpointId("e1"));
  fixture.Now += seconds(5);
  CHECK(fixture.Node.endpointTable().livePeers(fixture.Now) == 0);
}

TEST_CASE("retries stay within the entry's share of the budget") {
  RetryWindow window({0.2, 20, Duration(seconds(10))});
  TimePoint now{seconds(100)};
  ServiceId service("s");
  unsigned spent = 0;
  while (window.spend(service, 2, now))
    ++spent;
  CHECK(spent == 7);
  for (int i = 0; i < 100; ++i)
    window.onRequest(service, now);
  while (window.spend(service, 2, now))
    ++spent;
  CHECK(spent == 21);
  CHECK(window.spend(service, 2, now + seconds(10)));
}

TEST_CASE("an endpoint that fails all its requests does not attract load") {
  NodeFixture fixture(2, makeRoute(RequestKind::OnceOnly, 1));
  unsigned failed = 0;
  for (std::uint64_t id = 1; id <= 100; ++id) {
    DirectActions actions = fixture.call(id);
    REQUIRE(only<StartAttempt>(actions));
    bool isFailing =
        only<StartAttempt>(actions)->Endpoint.Id == EndpointId("e0");
    failed += isFailing ? 1 : 0;
    fixture.Now += milliseconds(10);
    fixture.end(id, isFailing ? AttemptEnd::Failed : AttemptEnd::Complete);
    fixture.Node.onCallClosed(CallId(id), fixture.Now);
  }
  // It is tried again occasionally, as it may have recovered.
  CHECK(failed >= 2);
  CHECK(failed <= 5);
}

TEST_CASE("one failed response does not make an endpoint suspect") {
  NodeFixture fixture(1, makeRoute(RequestKind::OnceOnly, 1));
  REQUIRE(only<StartAttempt>(fixture.call(1)));
  fixture.end(1, AttemptEnd::Failed);
  CHECK(fixture.Node.endpointTable().find(EndpointId("e0"))->AvoidedUntil <=
        fixture.Now);
}

TEST_CASE("a retry that was never sent returns to the budget") {
  NodeFixture fixture(6, makeRoute(RequestKind::Repeatable, 2));
  // Allows one retry per window.
  fixture.Node.setRetries({0, 2, seconds(10)});
  REQUIRE(only<StartAttempt>(fixture.call(1)));
  REQUIRE(only<StartAttempt>(fixture.end(1, AttemptEnd::Lost)));
  CHECK(only<StartAttempt>(fixture.end(1, AttemptEnd::NeverSent)));
}

TEST_CASE("a request without time left is not sent") {
  NodeFixture fixture(2, makeRoute(RequestKind::OnceOnly, 2));
  DirectRequest request;
  request.Id = CallId(1);
  request.Config = fixture.Config;
  request.Route = &fixture.Config->Routes.front();
  request.TimeLeft = Duration::zero();
  DirectActions actions = fixture.Node.onCall(std::move(request), fixture.Now);
  CHECK(codeOf(actions) == ResultCode::DeadlineBeforeStart);
  CHECK(fixture.Node.waitingCount() == 0);
}
