//===- PushbackWaysTest.cpp - every request path obeys pushback -----------===//
//
// Tests a rate limit, a backoff and draining against every path on which a
// request or a status query reaches an endpoint.
//
//===----------------------------------------------------------------------===//

#include "Direct/NodeWorld.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::seconds;
using ::test::codeOf;
using ::test::countOf;
using ::test::find;
using ::test::makeRoute;
using ::test::NodeWorld;
using ::test::only;

namespace {
struct Statement {
  std::string Name;
  Pushback Asked;
};

/// Each of these removes all capacity at once for at least a second.
std::vector<Statement> allStatements() {
  Pushback rate;
  rate.RequestsPerSecond = 0.5;
  Pushback rest;
  rest.Rest = seconds(2);
  Pushback leaving;
  leaving.IsLeaving = true;
  return {{"rate", rate}, {"rest", rest}, {"leaving", leaving}};
}

EndpointId idOf(unsigned i) { return EndpointId("e" + std::to_string(i)); }

void hear(NodeWorld &world, unsigned endpoint, const Pushback &asked) {
  world.Node.onPushback(idOf(endpoint), asked, world.Now, world.Now);
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
  for (const Statement &it : allStatements()) {
    CAPTURE(it.Name);
    NodeWorld world(3);
    hear(world, 1, it.Asked);
    for (std::uint64_t id = 1; id <= 4; ++id)
      CHECK(startedAt(world.call(id)) != idOf(1));
    CHECK(startedAt(world.call(5)) == EndpointId("none"));
  }
}

TEST_CASE("retries avoid an endpoint that pushes back") {
  for (const Statement &it : allStatements()) {
    CAPTURE(it.Name);
    NodeWorld world(3, makeRoute(RequestKind::Repeatable, 2));
    for (std::uint64_t id = 1; id <= 12; ++id)
      world.call(100 + id);
    for (std::uint64_t id = 1; id <= 12; ++id)
      world.end(100 + id, AttemptEnd::Complete);
    EndpointId first = startedAt(world.call(1));
    unsigned closed = first == idOf(1) ? 2 : 1;
    hear(world, closed, it.Asked);
    DirectActions next = world.end(1, AttemptEnd::Failed);
    REQUIRE(find<StartAttempt>(next));
    CHECK(startedAt(next) != idOf(closed));
  }
}

TEST_CASE("silent streams are not migrated to an endpoint that pushes back") {
  for (const Statement &it : allStatements()) {
    CAPTURE(it.Name);
    NodeWorld world(2, makeRoute(RequestKind::Stream, 3, true));
    world.prove(2);
    EndpointId first = startedAt(world.call(1));
    world.Node.onFirstByte(CallId(1), world.Now);
    hear(world, other(first) == idOf(0) ? 0 : 1, it.Asked);
    world.Now += milliseconds(950);
    CHECK(countOf<StopAttempt>(world.Node.onSilent(CallId(1), world.Now)) == 0);
  }
}

TEST_CASE(
    "a stream does not continue at a target that has pushed back meanwhile") {
  for (const Statement &it : allStatements()) {
    if (it.Asked.RequestsPerSecond)
      continue; // Its slot was already charged to the rate limit.
    CAPTURE(it.Name);
    NodeWorld world(2, makeRoute(RequestKind::Stream, 3, true));
    world.prove(2);
    EndpointId first = startedAt(world.call(1));
    world.Node.onFirstByte(CallId(1), world.Now);
    world.Now += milliseconds(950);
    REQUIRE(countOf<StopAttempt>(world.Node.onSilent(CallId(1), world.Now)) ==
            1);
    hear(world, other(first) == idOf(0) ? 0 : 1, it.Asked);
    DirectActions next = world.end(1, AttemptEnd::BrokeOff);
    CHECK(startedAt(next) != other(first));
  }
}

TEST_CASE("suspect requests avoid an endpoint that pushes back") {
  for (const Statement &it : allStatements()) {
    CAPTURE(it.Name);
    NodeWorld world(2);
    CrashRow row;
    row.Request = RequestDigest(7);
    row.Crashes = {{LifeDigest(99), milliseconds(500), milliseconds(20)}};
    row.Endpoints = 2;
    row.SeenAge = milliseconds(500);
    world.Node.onCrashReport("n", {{row}, {}}, world.Now);
    hear(world, 0, it.Asked);
    world.Now += milliseconds(400);
    world.Node.onTimer(world.Now);
    DirectRequest request;
    request.Id = CallId(1);
    request.Config = world.Config;
    request.Route = &world.Config->Routes.front();
    request.TimeLeft = seconds(8);
    request.Digest = row.Request;
    DirectActions actions = world.Node.onCall(std::move(request), world.Now);
    bool isSuspect =
        world.Node.crashes().standingOf(row.Request) == CrashStanding::Suspect;
    REQUIRE(isSuspect);
    CHECK(startedAt(actions) == idOf(1));
  }
}

TEST_CASE("a request is not written if its endpoint pushed back after it was "
          "picked") {
  for (const Statement &it : allStatements()) {
    CAPTURE(it.Name);
    NodeWorld world(1);
    REQUIRE(startedAt(world.call(1)) == idOf(0));
    CHECK(world.Node.maySend(CallId(1), world.Now));
    REQUIRE(startedAt(world.call(2)) == idOf(0));
    hear(world, 0, it.Asked);
    CHECK_FALSE(world.Node.maySend(CallId(2), world.Now));
    DirectActions actions = world.end(2, AttemptEnd::Withheld);
    // Another endpoint may be listed for it.
    if (it.Asked.IsLeaving) {
      CHECK(world.Node.waitingCount() == 1);
      continue;
    }
    // It did not run, and its caller learns that at once.
    REQUIRE(only<EndCall>(actions));
    bool isNotRun = describe(codeOf(actions)).Kind == Outcome::NotRun;
    CHECK(isNotRun);
  }
}

TEST_CASE("an endpoint that pushes back gets no status queries") {
  for (const Statement &it : allStatements()) {
    CAPTURE(it.Name);
    NodeWorld world(0);
    world.add("e0");
    world.Listed.front().Record.TellsState = true;
    world.Node.setEndpoints(world.Listed);
    hear(world, 0, it.Asked);
    for (unsigned i = 0; i < 10; ++i) {
      CHECK(countOf<AskEndpoint>(world.Node.onTimer(world.Now)) == 0);
      world.Now += milliseconds(100);
    }
    bool isOver = !it.Asked.IsLeaving;
    world.Now += seconds(2);
    CHECK(countOf<AskEndpoint>(world.Node.onTimer(world.Now)) == isOver);
  }
}

TEST_CASE(
    "callers are refused at once when all remaining endpoints push back") {
  for (const Statement &it : allStatements()) {
    if (it.Asked.IsLeaving)
      continue;
    CAPTURE(it.Name);
    NodeWorld world(2);
    Pushback asked = it.Asked;
    if (asked.RequestsPerSecond)
      asked.RequestsPerSecond = 0.1;
    hear(world, 0, asked);
    hear(world, 1, asked);
    std::set<Duration> returns;
    for (std::uint64_t id = 1; id <= 20; ++id) {
      DirectActions actions = world.call(id);
      REQUIRE(only<EndCall>(actions));
      const EndCall &end = *only<EndCall>(actions);
      CHECK(end.Code == (asked.Rest ? ResultCode::EndpointsResting
                                    : ResultCode::RateLimited));
      CHECK(end.RetryAfter >= asked.Rest.value_or(milliseconds(150)));
      CHECK(end.RetryAfter <= seconds(15));
      returns.insert(end.RetryAfter);
    }
    CHECK(returns.size() >= 15);
  }
}

TEST_CASE("waiting callers are refused when the last endpoint pushes back") {
  NodeWorld world(1);
  world.call(1);
  world.call(2);
  CHECK(world.call(3).empty());
  CHECK(world.Node.waitingCount() == 1);
  Pushback rest;
  rest.Rest = seconds(5);
  DirectActions actions =
      world.Node.onPushback(idOf(0), rest, world.Now, world.Now);
  CHECK(codeOf(actions) == ResultCode::EndpointsResting);
  CHECK(world.Node.waitingCount() == 0);
}

TEST_CASE("a backoff is not ended by a success or a shorter backoff") {
  NodeWorld world(1);
  world.call(1);
  Pushback rest;
  rest.Rest = seconds(2);
  hear(world, 0, rest);
  rest.Rest = milliseconds(100);
  hear(world, 0, rest);
  world.end(1, AttemptEnd::Complete);
  world.Now += milliseconds(1900);
  CHECK(startedAt(world.call(2)) == EndpointId("none"));
  world.Now += milliseconds(200);
  CHECK(startedAt(world.call(3)) == idOf(0));
}

TEST_CASE(
    "an endpoint that was draining in one incarnation serves in the next") {
  NodeWorld world(1);
  Pushback leaving;
  leaving.IsLeaving = true;
  hear(world, 0, leaving);
  // The record vanishes and comes back for the same incarnation.
  world.Node.setEndpoints({});
  world.Node.setEndpoints(world.Listed);
  CHECK(startedAt(world.call(1)) == EndpointId("none"));
  world.Listed.clear();
  world.add("e0@2");
  world.Node.setEndpoints(world.Listed);
  CHECK(startedAt(world.call(2)) == EndpointId("e0@2"));
}

// Without such reports, each entry would learn that an endpoint is draining
// only from a request of its own.
TEST_CASE(
    "an entry avoids an endpoint that is draining according to another entry") {
  NodeWorld teller(2);
  NodeWorld hearer(2);
  Pushback leaving;
  leaving.IsLeaving = true;
  hear(teller, 0, leaving);
  // Datagrams may be lost, so the incarnation is in three reports.
  CHECK(teller.Node.takeLeavingReport().size() == 1);
  CHECK(teller.Node.takeLeavingReport().size() == 1);
  std::vector<LifeDigest> told = teller.Node.takeLeavingReport();
  REQUIRE(told.size() == 1);
  CHECK(teller.Node.takeLeavingReport().empty());
  hearer.Node.onLeaving(told, hearer.Now);
  for (std::uint64_t id = 1; id <= 2; ++id)
    CHECK(startedAt(hearer.call(id)) == idOf(1));
  CHECK(startedAt(hearer.call(3)) == EndpointId("none"));
  CHECK(hearer.Node.takeLeavingReport().empty());
}
