//===- DirectCallsTest.cpp - effects of one call on others ----------------===//
//
// The outcome at one request or endpoint must not be taken for that of others,
// and slots and retries that were reserved for a call must be used for it or
// released.
//
//===----------------------------------------------------------------------===//

#include "Direct/TwoGroupWorld.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace ospreyspur;
using namespace test;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr Duration Step = milliseconds(50);

TEST_CASE("a stream that resumes after its own idle period does not make its "
          "group slow") {
  TwoGroupWorld world;
  auto config = std::make_shared<FleetConfig>(*world.Config);
  config->Services.at(ServiceId("s")).Engine->UsualAnswer = 600;
  world.Config = config;
  constexpr std::uint64_t Streams = 6;
  std::vector<std::string> groups;
  for (std::uint64_t id = 1; id <= Streams; ++id) {
    groups.push_back(world.start(id));
    REQUIRE_FALSE(groups.back().empty());
    world.Node.onFirstByte(CallId(id), world.Now);
  }
  unsigned stopped = 0;
  auto write = [&](unsigned steps, bool withLast) {
    for (unsigned i = 0; i < steps; ++i) {
      world.Now += Step;
      for (std::uint64_t id = 1; id <= Streams; ++id)
        if (id < Streams || withLast)
          stopped +=
              countOf<StopAttempt>(world.Node.onEvents(CallId(id), world.Now));
    }
  };
  write(4, true);
  write(50, false); // 2.5 s; the other streams receive events
  write(2, true);
  for (const auto &[id, state] : world.Node.book().states())
    CHECK(world.Node.book().gapOf(state, world.Now) < 2 * Step);
  CHECK(stopped == 0);
}

TEST_CASE("a hanging stream does not close its group while it hangs") {
  TwoGroupWorld world;
  std::string group = world.start(1);
  REQUIRE_FALSE(group.empty());
  world.Node.onFirstByte(CallId(1), world.Now);
  // The other group is draining.
  for (ListedEndpoint &it : world.Listed)
    it.Record.IsLeaving = it.Record.Id.get().substr(0, 1) != group;
  world.Node.setEndpoints(world.Listed);
  world.Now += seconds(3);
  world.Node.onSilent(CallId(1), world.Now);
  bool isServed = false;
  for (std::uint64_t id = 2; id <= 7; ++id) {
    world.Now += milliseconds(500);
    isServed = isServed || !world.start(id).empty() ||
               countOf<StartAttempt>(world.Node.onTimer(world.Now)) > 0;
  }
  // Seven of eight slots are free, and none of them was ever tried.
  CHECK(isServed);
}

TEST_CASE("a full endpoint does not close its whole group") {
  TwoGroupWorld world;
  std::string group = world.start(1);
  DirectActions refused = world.end(1, AttemptEnd::Full);
  const auto *question = find<AskEndpoint>(refused);
  REQUIRE(question);
  EndpointId full = question->Endpoint.Id;
  world.Node.onTold(full, EndpointCondition{GroupId(group), true, 4},
                    world.Now);
  for (const auto &[id, state] : world.Node.book().states())
    if (state.Group == GroupId(group) && id != full)
      CHECK_FALSE(state.MustTell);
}

TEST_CASE("streams that fall silent at the same time count as one failure") {
  NodeWorld world(1, makeRoute(RequestKind::Stream, 2, true));
  for (std::uint64_t id : {1, 2}) {
    REQUIRE(only<StartAttempt>(world.call(id)));
    world.Node.onFirstByte(CallId(id), world.Now);
  }
  world.Now += seconds(1);
  for (std::uint64_t id : {1, 2})
    world.Node.onSilent(CallId(id), world.Now);
  CHECK(world.Node.book().find(EndpointId("e0"))->SuspectUntil ==
        world.Now + EndpointBook::FirstSuspicion);
}

TEST_CASE("a stream that has begun is not ended because many calls wait") {
  NodeWorld world(3, makeRoute(RequestKind::Stream, 2, true));
  REQUIRE(only<StartAttempt>(world.call(1)));
  world.Node.onFirstByte(CallId(1), world.Now);
  REQUIRE(only<StartAttempt>(world.end(1, AttemptEnd::BrokeOff)));
  std::uint64_t id = 2;
  while (world.Node.waitingCount() < DirectLimits().MaxWaiting)
    world.call(id++);
  CHECK(countOf<EndCall>(world.end(1, AttemptEnd::NeverSent)) == 0);
}

TEST_CASE("a stream that has begun waits for a slot after a failed response") {
  NodeWorld world(3, makeRoute(RequestKind::Stream, 3, true));
  REQUIRE(only<StartAttempt>(world.call(1)));
  world.Node.onFirstByte(CallId(1), world.Now);
  REQUIRE(only<StartAttempt>(world.end(1, AttemptEnd::BrokeOff)));
  for (std::uint64_t id = 2; !world.call(id).empty(); ++id)
    ;
  CHECK(countOf<PassOnAnswer>(world.end(1, AttemptEnd::Failed)) == 0);
}

TEST_CASE("a stream that has begun gets a slot after calls that can be within "
          "their latency target, before those that cannot") {
  NodeWorld world(2, makeRoute(RequestKind::Stream, 2, true));
  std::uint64_t onOther = breakOffWithoutRoom(world);
  world.Now += milliseconds(500);
  // The old slot of the broken stream goes to one of these calls; the other one
  // waits.
  world.call(10);
  world.call(11);
  REQUIRE(world.Node.waitingCount() == 2);
  DirectActions freed = world.end(onOther, AttemptEnd::Complete);
  const auto *first = find<StartAttempt>(freed);
  REQUIRE(first);
  CHECK(first->Call == CallId(11));
  // A call that waited too long to be within its latency target comes after it.
  world.call(12);
  world.Now += milliseconds(300);
  REQUIRE(world.Node.waitingCount() == 2);
  DirectActions next = world.end(11, AttemptEnd::Complete);
  const auto *second = find<StartAttempt>(next);
  REQUIRE(second);
  CHECK(second->Call == CallId(1));
}

/// Allows one retry in ten seconds. There are three endpoints of two slots.
static void allowOneRepeat(NodeWorld &world) {
  world.Node.setRetries({0, 2, seconds(10)});
}

TEST_CASE("a reserved retry that is not used returns to the budget") {
  NodeWorld world(3, makeRoute(RequestKind::Stream, 2, true));
  allowOneRepeat(world);
  REQUIRE(only<StartAttempt>(world.call(1)));
  world.Node.onFirstByte(CallId(1), world.Now);
  world.Now += seconds(1);
  SUBCASE("the endpoint with the reserved slot starts draining") {
    REQUIRE(only<StopAttempt>(world.Node.onSilent(CallId(1), world.Now)));
    for (ListedEndpoint &it : world.Listed) {
      const EndpointState *state = world.Node.book().find(it.Record.Id);
      it.Record.IsLeaving = state->Own > 0;
    }
    world.Node.setEndpoints(world.Listed);
    CHECK(countOf<StartAttempt>(world.end(1, AttemptEnd::BrokeOff)) == 1);
  }
  SUBCASE("the next endpoint is unreachable") {
    REQUIRE(only<StartAttempt>(world.end(1, AttemptEnd::BrokeOff)));
    CHECK(countOf<StartAttempt>(world.end(1, AttemptEnd::NeverSent)) == 1);
  }
  SUBCASE("the stream completes after all") {
    REQUIRE(only<StopAttempt>(world.Node.onSilent(CallId(1), world.Now)));
    world.end(1, AttemptEnd::Complete);
    REQUIRE(only<StartAttempt>(world.call(2)));
    CHECK(countOf<StartAttempt>(world.end(2, AttemptEnd::Lost)) == 1);
  }
  SUBCASE("the caller hangs up") {
    REQUIRE(only<StopAttempt>(world.Node.onSilent(CallId(1), world.Now)));
    world.Node.onCallGone(CallId(1), world.Now);
    REQUIRE(only<StartAttempt>(world.call(2)));
    CHECK(countOf<StartAttempt>(world.end(2, AttemptEnd::Lost)) == 1);
  }
}

TEST_CASE(
    "a waiting call is woken up when a full endpoint may be tried again") {
  NodeWorld world(1, makeRoute(RequestKind::Stream, 2, true));
  REQUIRE(only<StartAttempt>(world.call(1)));
  world.end(1, AttemptEnd::Full);
  REQUIRE(world.call(2).empty());
  std::optional<TimePoint> next = world.Node.nextTimer();
  REQUIRE(next);
  CHECK(*next <= world.Now + EndpointBook::FullTime);
}

TEST_CASE("a waiting stream is not sent after its deadline") {
  NodeWorld world(2, makeRoute(RequestKind::Stream, 2, true));
  auto config = std::make_shared<FleetConfig>(*world.Config);
  config->Services.at(ServiceId("s")).Engine.reset();
  world.Config = config;
  REQUIRE(only<StartAttempt>(world.call(1)));
  world.Node.onFirstByte(CallId(1), world.Now);
  EndpointId other("e0");
  if (world.Node.book().find(other)->Own > 0)
    other = EndpointId("e1");
  world.Node.setPeerLoad("n", {{other, 100, 0}}, world.Now);
  world.end(1, AttemptEnd::BrokeOff);
  REQUIRE(world.Node.waitingCount() == 1);
  // By then the other entry's report is too old to count.
  world.Now += seconds(8);
  DirectActions last = world.Node.onTimer(world.Now);
  CHECK(countOf<StartAttempt>(last) == 0);
  CHECK(countOf<EndCall>(last) == 1);
}

TEST_CASE(
    "a request that runs at most once is not retried even if it is resumable") {
  NodeWorld world(2, makeRoute(RequestKind::OnceOnly, 2, true));
  REQUIRE(only<StartAttempt>(world.call(1)));
  CHECK(countOf<StartAttempt>(world.end(1, AttemptEnd::Lost)) == 0);
}

TEST_CASE("a stopped stream is not sent again after its deadline") {
  NodeWorld world(2, makeRoute(RequestKind::Stream, 2, true));
  REQUIRE(only<StartAttempt>(world.call(1)));
  world.Node.onFirstByte(CallId(1), world.Now);
  world.Now += milliseconds(7900);
  REQUIRE(only<StopAttempt>(world.Node.onSilent(CallId(1), world.Now)));
  world.Now += milliseconds(200);
  CHECK(countOf<StartAttempt>(world.end(1, AttemptEnd::BrokeOff)) == 0);
}

TEST_CASE("a short deadline does not make an endpoint suspect") {
  NodeWorld world(1, makeRoute(RequestKind::OnceOnly, 1));
  DirectRequest request;
  request.Id = CallId(1);
  request.Config = world.Config;
  request.Route = &world.Config->Routes.front();
  request.TimeLeft = milliseconds(50);
  REQUIRE(only<StartAttempt>(world.Node.onCall(std::move(request), world.Now)));
  world.Now += milliseconds(50);
  world.end(1, AttemptEnd::Lost);
  CHECK(world.Node.book().find(EndpointId("e0"))->SuspectUntil <= world.Now);
}

TEST_CASE("an unresponsive rank does not delay status queries to other ranks") {
  TwoGroupWorld world;
  std::string group = world.start(1);
  DirectActions refused = world.end(1, AttemptEnd::Full);
  REQUIRE(countOf<AskEndpoint>(refused) == 1);
  EndpointId mute = find<AskEndpoint>(refused)->Endpoint.Id;
  DirectActions next = world.Node.onTold(mute, std::nullopt, world.Now);
  REQUIRE(countOf<AskEndpoint>(next) == 1);
  EndpointId other = find<AskEndpoint>(next)->Endpoint.Id;
  REQUIRE(other != mute);
  world.Node.onTold(other, EndpointCondition{GroupId(group), false, 0},
                    world.Now);
  world.Now += EndpointBook::AskPause;
  DirectActions again = world.Node.onTimer(world.Now);
  REQUIRE(countOf<AskEndpoint>(again) == 1);
  // The unresponsive endpoint must not be queried again for a second.
  CHECK(find<AskEndpoint>(again)->Endpoint.Id == other);
}

TEST_CASE("the status report of one rank does not prove that an unreachable "
          "rank serves") {
  TwoGroupWorld world;
  std::string group = world.start(1);
  DirectActions refused = world.end(1, AttemptEnd::Full);
  EndpointId mute = find<AskEndpoint>(refused)->Endpoint.Id;
  world.Now += seconds(5);
  DirectActions next = world.Node.onTold(mute, std::nullopt, world.Now);
  REQUIRE(countOf<AskEndpoint>(next) == 1);
  world.Node.onTold(find<AskEndpoint>(next)->Endpoint.Id,
                    EndpointCondition{GroupId(group), true, 0}, world.Now);
  CHECK(world.Node.book().find(mute)->ProvenAt != world.Now);
}

TEST_CASE(
    "a rejection does not keep a stream that has begun from an idle endpoint") {
  NodeWorld world(3, makeRoute(RequestKind::Stream, 3, true));
  REQUIRE(only<StartAttempt>(world.call(1)));
  world.Node.onFirstByte(CallId(1), world.Now);
  REQUIRE(only<StartAttempt>(world.end(1, AttemptEnd::BrokeOff)));
  // The third endpoint has not failed; it was only idle recently.
  CHECK(countOf<StartAttempt>(world.end(1, AttemptEnd::Full)) == 1);
}

/// Loses a request without any response in an otherwise idle group. Returns the
/// group.
static std::string loseOneSilent(TwoGroupWorld &world) {
  std::string group = world.start(1);
  REQUIRE_FALSE(group.empty());
  world.Now += DirectLimits().MaxSilence;
  world.end(1, AttemptEnd::Lost);
  return group;
}

TEST_CASE("a request without a first byte does not count toward the "
          "inter-event gap of its group") {
  TwoGroupWorld world;
  std::string group = loseOneSilent(world);
  for (const auto &[id, state] : world.Node.book().states())
    if (state.Group == GroupId(group))
      CHECK(world.Node.book().gapOf(state, world.Now) < DirectLimits().SlowGap);
}

TEST_CASE(
    "a decayed inter-event gap does not come back when new streams begin") {
  TwoGroupWorld world;
  std::string group = loseOneSilent(world);
  // The lost request continues in the other group and completes there.
  world.end(1, AttemptEnd::Complete);
  world.Now += seconds(60);
  unsigned stopped = 0;
  for (std::uint64_t id = 2; id <= 3; ++id) {
    REQUIRE_FALSE(world.start(id).empty());
    world.Node.onFirstByte(CallId(id), world.Now);
  }
  for (unsigned i = 0; i < 4; ++i) {
    world.Now += Step;
    for (std::uint64_t id = 2; id <= 3; ++id)
      stopped +=
          countOf<StopAttempt>(world.Node.onEvents(CallId(id), world.Now));
  }
  for (const auto &[id, state] : world.Node.book().states())
    CHECK(world.Node.book().gapOf(state, world.Now) < 2 * Step);
  CHECK(stopped == 0);
}
