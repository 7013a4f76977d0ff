//===- PushbackPathsTest.cpp - every request path obeys pushback ----------===//
//
// Tests a rate limit, a backoff and draining against every path on which a
// request or a status query reaches an endpoint.
//
//===----------------------------------------------------------------------===//

#include "Direct/NodeFixture.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::seconds;
using ::test::codeOf;
using ::test::countOf;
using ::test::find;
using ::test::makeRoute;
using ::test::NodeFixture;
using ::test::only;

namespace {
struct PushbackCase {
  std::string Name;
  Pushback Asked;
};

/// Each of these removes all capacity at once for at least a second.
std::vector<PushbackCase> allPushbackCases() {
  Pushback rate;
  rate.RequestsPerSecond = 0.5;
  Pushback rest;
  rest.Backoff = seconds(2);
  Pushback leaving;
  leaving.IsLeaving = true;
  return {{"rate", rate}, {"rest", rest}, {"leaving", leaving}};
}

EndpointId idOf(unsigned i) { return EndpointId("e" + std::to_string(i)); }

void pushBack(NodeFixture &fixture, unsigned endpoint, const Pushback &asked) {
  fixture.Node.onPushback(idOf(endpoint), asked, fixture.Now, fixture.Now);
}

EndpointId startedAt(const DirectActions &actions) {
  const auto *order = find<StartAttempt>(actions);
  return order ? order->Endpoint.Id : EndpointId("none");
}

/// Returns the other one of two endpoints.
EndpointId other(const EndpointId &it) {
  return it == idOf(0) ? idOf(1) : idOf(0);
}
} // namespace

TEST_CASE("new requests avoid an endpoint that pushes back") {
  for (const PushbackCase &it : allPushbackCases()) {
    CAPTURE(it.Name);
    NodeFixture fixture(3);
    pushBack(fixture, 1, it.Asked);
    for (std::uint64_t id = 1; id <= 4; ++id)
      CHECK(startedAt(fixture.call(id)) != idOf(1));
    CHECK(startedAt(fixture.call(5)) == EndpointId("none"));
  }
}

TEST_CASE("retries avoid an endpoint that pushes back") {
  for (const PushbackCase &it : allPushbackCases()) {
    CAPTURE(it.Name);
    NodeFixture fixture(3, makeRoute(RequestKind::Repeatable, 2));
    for (std::uint64_t id = 1; id <= 12; ++id)
      fixture.call(100 + id);
    for (std::uint64_t id = 1; id <= 12; ++id)
      fixture.end(100 + id, AttemptEnd::Complete);
    EndpointId first = startedAt(fixture.call(1));
    unsigned excluded = first == idOf(1) ? 2 : 1;
    pushBack(fixture, excluded, it.Asked);
    DirectActions next = fixture.end(1, AttemptEnd::Failed);
    REQUIRE(find<StartAttempt>(next));
    CHECK(startedAt(next) != idOf(excluded));
  }
}

TEST_CASE("silent streams are not migrated to an endpoint that pushes back") {
  for (const PushbackCase &it : allPushbackCases()) {
    CAPTURE(it.Name);
    NodeFixture fixture(2, makeRoute(RequestKind::Stream, 3, true));
    fixture.proveServing(2);
    EndpointId first = startedAt(fixture.call(1));
    fixture.Node.onFirstByte(CallId(1), fixture.Now);
    pushBack(fixture, other(first) == idOf(0) ? 0 : 1, it.Asked);
    fixture.Now += milliseconds(950);
    CHECK(countOf<StopAttempt>(fixture.Node.onSilent(CallId(1), fixture.Now)) ==
          0);
  }
}

TEST_CASE(
    "a stream does not continue at a target that has pushed back meanwhile") {
  for (const PushbackCase &it : allPushbackCases()) {
    if (it.Asked.RequestsPerSecond)
      continue; // Its slot was already charged to the rate limit.
    CAPTURE(it.Name);
    NodeFixture fixture(2, makeRoute(RequestKind::Stream, 3, true));
    fixture.proveServing(2);
    EndpointId first = startedAt(fixture.call(1));
    fixture.Node.onFirstByte(CallId(1), fixture.Now);
    fixture.Now += milliseconds(950);
    REQUIRE(countOf<StopAttempt>(
                fixture.Node.onSilent(CallId(1), fixture.Now)) == 1);
    pushBack(fixture, other(first) == idOf(0) ? 0 : 1, it.Asked);
    DirectActions next = fixture.end(1, AttemptEnd::BrokeOff);
    CHECK(startedAt(next) != other(first));
  }
}

TEST_CASE("suspect requests avoid an endpoint that pushes back") {
  for (const PushbackCase &it : allPushbackCases()) {
    CAPTURE(it.Name);
    NodeFixture fixture(2);
    CrashRecord record;
    record.Request = RequestDigest(7);
    record.Crashes = {
        {IncarnationDigest(99), milliseconds(500), milliseconds(20)}};
    record.Endpoints = 2;
    record.SeenAge = milliseconds(500);
    fixture.Node.onCrashReport("n", {{record}, {}}, fixture.Now);
    pushBack(fixture, 0, it.Asked);
    fixture.Now += milliseconds(400);
    fixture.Node.onTimer(fixture.Now);
    DirectRequest request;
    request.Id = CallId(1);
    request.Config = fixture.Config;
    request.Route = &fixture.Config->Routes.front();
    request.TimeLeft = seconds(8);
    request.Digest = record.Request;
    DirectActions actions =
        fixture.Node.onCall(std::move(request), fixture.Now);
    bool isSuspect = fixture.Node.crashes().requests().verdictOf(
                         record.Request) == CrashVerdict::Suspect;
    REQUIRE(isSuspect);
    CHECK(startedAt(actions) == idOf(1));
  }
}

TEST_CASE("a request is not written if its endpoint pushed back after it was "
          "picked") {
  for (const PushbackCase &it : allPushbackCases()) {
    CAPTURE(it.Name);
    NodeFixture fixture(1);
    REQUIRE(startedAt(fixture.call(1)) == idOf(0));
    CHECK(fixture.Node.maySend(CallId(1), fixture.Now));
    REQUIRE(startedAt(fixture.call(2)) == idOf(0));
    pushBack(fixture, 0, it.Asked);
    CHECK_FALSE(fixture.Node.maySend(CallId(2), fixture.Now));
    DirectActions actions = fixture.end(2, AttemptEnd::Withheld);
    // Another endpoint may be listed for it.
    if (it.Asked.IsLeaving) {
      CHECK(fixture.Node.waitingCount() == 1);
      continue;
    }
    // It did not run, and its caller learns that at once.
    REQUIRE(only<EndCall>(actions));
    bool isNotRun = describe(codeOf(actions)).Kind == Outcome::NotRun;
    CHECK(isNotRun);
  }
}

TEST_CASE("an endpoint that pushes back gets no status queries") {
  for (const PushbackCase &it : allPushbackCases()) {
    CAPTURE(it.Name);
    NodeFixture fixture(0);
    fixture.add("e0");
    fixture.Listed.front().Record.AnswersStatusQueries = true;
    fixture.Node.setEndpoints(fixture.Listed);
    pushBack(fixture, 0, it.Asked);
    for (unsigned i = 0; i < 10; ++i) {
      CHECK(countOf<QueryEndpoint>(fixture.Node.onTimer(fixture.Now)) == 0);
      fixture.Now += milliseconds(100);
    }
    bool isOver = !it.Asked.IsLeaving;
    fixture.Now += seconds(2);
    CHECK(countOf<QueryEndpoint>(fixture.Node.onTimer(fixture.Now)) == isOver);
  }
}

TEST_CASE(
    "callers are refused at once when all remaining endpoints push back") {
  for (const PushbackCase &it : allPushbackCases()) {
    if (it.Asked.IsLeaving)
      continue;
    CAPTURE(it.Name);
    NodeFixture fixture(2);
    Pushback asked = it.Asked;
    if (asked.RequestsPerSecond)
      asked.RequestsPerSecond = 0.1;
    pushBack(fixture, 0, asked);
    pushBack(fixture, 1, asked);
    std::set<Duration> returns;
    for (std::uint64_t id = 1; id <= 20; ++id) {
      DirectActions actions = fixture.call(id);
      REQUIRE(only<EndCall>(actions));
      const EndCall &end = *only<EndCall>(actions);
      CHECK(end.Code == (asked.Backoff ? ResultCode::EndpointsResting
                                       : ResultCode::RateLimited));
      CHECK(end.RetryAfter >= asked.Backoff.value_or(milliseconds(150)));
      CHECK(end.RetryAfter <= seconds(15));
      returns.insert(end.RetryAfter);
    }
    CHECK(returns.size() >= 15);
  }
}

TEST_CASE("waiting callers are refused when the last endpoint pushes back") {
  NodeFixture fixture(1);
  fixture.call(1);
  fixture.call(2);
  CHECK(fixture.call(3).empty());
  CHECK(fixture.Node.waitingCount() == 1);
  Pushback rest;
  rest.Backoff = seconds(5);
  DirectActions actions =
      fixture.Node.onPushback(idOf(0), rest, fixture.Now, fixture.Now);
  CHECK(codeOf(actions) == ResultCode::EndpointsResting);
  CHECK(fixture.Node.waitingCount() == 0);
}

TEST_CASE("a backoff is not ended by a success or a shorter backoff") {
  NodeFixture fixture(1);
  fixture.call(1);
  Pushback rest;
  rest.Backoff = seconds(2);
  pushBack(fixture, 0, rest);
  rest.Backoff = milliseconds(100);
  pushBack(fixture, 0, rest);
  fixture.end(1, AttemptEnd::Complete);
  fixture.Now += milliseconds(1900);
  CHECK(startedAt(fixture.call(2)) == EndpointId("none"));
  fixture.Now += milliseconds(200);
  CHECK(startedAt(fixture.call(3)) == idOf(0));
}

TEST_CASE(
    "an endpoint that was draining in one incarnation serves in the next") {
  NodeFixture fixture(1);
  Pushback leaving;
  leaving.IsLeaving = true;
  pushBack(fixture, 0, leaving);
  // The record vanishes and comes back for the same incarnation.
  fixture.Node.setEndpoints({});
  fixture.Node.setEndpoints(fixture.Listed);
  CHECK(startedAt(fixture.call(1)) == EndpointId("none"));
  fixture.Listed.clear();
  fixture.add("e0@2");
  fixture.Node.setEndpoints(fixture.Listed);
  CHECK(startedAt(fixture.call(2)) == EndpointId("e0@2"));
}

// Without such reports, each entry would learn that an endpoint is draining
// only from a request of its own.
TEST_CASE(
    "an entry avoids an endpoint that is draining according to another entry") {
  NodeFixture sender(2);
  NodeFixture receiver(2);
  Pushback leaving;
  leaving.IsLeaving = true;
  pushBack(sender, 0, leaving);
  // Datagrams may be lost, so the incarnation is in three reports.
  CHECK(sender.Node.takeLeavingReport().size() == 1);
  CHECK(sender.Node.takeLeavingReport().size() == 1);
  std::vector<IncarnationDigest> reported = sender.Node.takeLeavingReport();
  REQUIRE(reported.size() == 1);
  CHECK(sender.Node.takeLeavingReport().empty());
  receiver.Node.onLeaving(reported, receiver.Now);
  for (std::uint64_t id = 1; id <= 2; ++id)
    CHECK(startedAt(receiver.call(id)) == idOf(1));
  CHECK(startedAt(receiver.call(3)) == EndpointId("none"));
  CHECK(receiver.Node.takeLeavingReport().empty());
}
