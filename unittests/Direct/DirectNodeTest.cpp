//===- DirectNodeTest.cpp - what follows each end of an attempt -----------===//
//
// "Not run" is only said when it is true, what must not repeat is sent once,
// and requests go where there is room.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/DirectNode.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>

using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
/// A node before some endpoints of one service.
class NodeWorld {
public:
  explicit NodeWorld(unsigned endpoints, RouteRule rule = RouteRule())
      : Node(DataCentreId("a"), DirectLimits(), 1) {
    auto config = std::make_shared<FleetConfig>();
    rule.Services = {{ServiceId("s"), 1}};
    config->Routes.push_back(std::move(rule));
    EngineFigures engine;
    engine.StepPerRequest = milliseconds(1);
    engine.ReadTokensPerSecond = 1000;
    config->Services.emplace(ServiceId("s"),
                             ServiceRule{ServiceId("s"), 100, engine});
    Config = std::move(config);
    for (unsigned i = 0; i < endpoints; ++i)
      add("e" + std::to_string(i));
    Node.setEndpoints(Listed);
  }

  void add(const std::string &id) {
    EndpointRecord record;
    record.Id = EndpointId(id);
    record.Service = ServiceId("s");
    record.DataCentre = DataCentreId("a");
    record.Slots = 2;
    Listed.push_back({record, false});
  }

  DirectActions call(std::uint64_t id) {
    DirectRequest request;
    request.Id = CallId(id);
    request.Config = Config;
    request.Route = &Config->Routes.front();
    request.TimeLeft = seconds(8);
    return Node.onCall(std::move(request), Now);
  }

  /// Has \p n endpoints answer a request each.
  void prove(unsigned n) {
    for (unsigned i = 0; i < n; ++i)
      call(100 + i);
    for (unsigned i = 0; i < n; ++i)
      end(100 + i, AttemptEnd::Complete);
  }

  DirectActions end(std::uint64_t id, AttemptEnd how) {
    return Node.onAttemptEnded(CallId(id), how, Now);
  }

  std::vector<ListedEndpoint> Listed;
  DirectNode Node;
  std::shared_ptr<const FleetConfig> Config;
  TimePoint Now{seconds(100)};
};
} // namespace

static RouteRule makeRoute(RequestKind kind, unsigned attempts,
                           bool isResumable = false) {
  RouteRule route;
  route.Kind = kind;
  route.Attempts = attempts;
  route.IsResumable = isResumable;
  route.Target = milliseconds(400);
  route.Timeout = seconds(8);
  return route;
}

template <typename T> static const T *only(const DirectActions &actions) {
  return actions.size() == 1 ? std::get_if<T>(&actions.front()) : nullptr;
}

static ResultCode codeOf(const DirectActions &actions) {
  const auto *end = only<EndCall>(actions);
  return end ? end->Code : ResultCode::Ok;
}

TEST_CASE("a lost attempt of what runs once is unknown and is not repeated") {
  NodeWorld world(3, makeRoute(RequestKind::OnceOnly, 3));
  REQUIRE(only<StartAttempt>(world.call(1)));
  DirectActions after = world.end(1, AttemptEnd::Lost);
  CHECK(codeOf(after) == ResultCode::ContactLost);
  CHECK((describe(codeOf(after)).Kind == Outcome::Unknown));
}

namespace {
/// A node before endpoints of one group that tell their condition.
class GroupWorld : public NodeWorld {
public:
  GroupWorld() : NodeWorld(0, makeRoute(RequestKind::Repeatable, 2)) {
    for (const char *id : {"e0", "e1", "e2"}) {
      add(id);
      Listed.back().Record.TellsState = true;
      Listed.back().Record.Slots = 4;
    }
    Node.setEndpoints(Listed);
  }

  /// Answers the questions in \p actions.
  std::vector<DirectActions> tell(const DirectActions &actions, bool isOpen,
                                  unsigned running = 0) {
    std::vector<DirectActions> out;
    for (const DirectAction &it : actions)
      if (const auto *question = std::get_if<AskEndpoint>(&it))
        out.push_back(
            Node.onTold(question->Endpoint.Id,
                        EndpointCondition{GroupId("g"), isOpen, running}, Now));
    return out;
  }

  /// Has every endpoint tell that it takes requests.
  void open() { tell(Node.onTimer(Now), true); }
};
} // namespace

template <typename T> static std::size_t countOf(const DirectActions &actions) {
  return std::count_if(
      actions.begin(), actions.end(),
      [](const DirectAction &it) { return std::holds_alternative<T>(it); });
}

TEST_CASE("a stream is given longer while its service is slow") {
  NodeWorld world(3, makeRoute(RequestKind::Repeatable, 2, true));
  auto silenceOf = [&](std::uint64_t id) {
    DirectActions actions = world.call(id);
    REQUIRE(only<StartAttempt>(actions));
    return only<StartAttempt>(actions)->Silence;
  };
  auto answerAfter = [&](std::uint64_t id, Duration time) {
    world.Now += time;
    world.Node.onFirstByte(CallId(id), world.Now);
    world.end(id, AttemptEnd::Complete);
  };
  DirectLimits limits;
  // Nobody has answered yet: the service may just be starting.
  CHECK(silenceOf(1) == limits.MaxSilence);
  answerAfter(1, milliseconds(150));
  CHECK(silenceOf(2) == limits.MinSilence);
  answerAfter(2, milliseconds(150));
  for (std::uint64_t id = 3; id < 20; ++id) {
    silenceOf(id);
    answerAfter(id, milliseconds(700));
  }
  CHECK(silenceOf(20) == limits.MaxSilence);
}

TEST_CASE("an endpoint that can be asked gets nothing before it has told") {
  GroupWorld world;
  CHECK(world.call(1).empty());
  DirectActions questions = world.Node.onTimer(world.Now);
  CHECK(countOf<AskEndpoint>(questions) == 3);
  std::vector<DirectActions> after = world.tell(questions, true);
  CHECK(countOf<StartAttempt>(after.front()) == 1);
}

TEST_CASE("a group that is being formed costs no attempts") {
  GroupWorld world;
  world.open();
  REQUIRE(countOf<StartAttempt>(world.call(1)) == 1);
  REQUIRE(countOf<StartAttempt>(world.call(2)) == 1);
  // It has room, so another reason must keep it; the whole group is left out
  // and one of it is asked.
  DirectActions refused = world.end(1, AttemptEnd::Full);
  CHECK(countOf<StartAttempt>(refused) == 0);
  CHECK(countOf<AskEndpoint>(refused) == 1);
  DirectActions other = world.end(2, AttemptEnd::Full);
  CHECK(countOf<StartAttempt>(other) == 0);
  // It is asked again until it is open.
  world.tell(refused, false);
  CHECK(countOf<AskEndpoint>(world.Node.onTimer(world.Now)) == 0);
  world.Now += EndpointBook::AskPause;
  DirectActions again = world.Node.onTimer(world.Now);
  CHECK(countOf<AskEndpoint>(again) == 1);
  std::vector<DirectActions> after = world.tell(again, true);
  CHECK(countOf<StartAttempt>(after.front()) == 2);
}

TEST_CASE("many entries ask a closed group no more often together") {
  GroupWorld world;
  for (unsigned i = 0; i < 79; ++i)
    world.Node.setPeerLoad("n" + std::to_string(i), {}, world.Now);
  world.tell(world.Node.onTimer(world.Now), false);
  world.Now += 9 * EndpointBook::AskPause;
  CHECK(countOf<AskEndpoint>(world.Node.onTimer(world.Now)) == 0);
  world.Now += EndpointBook::AskPause;
  CHECK(countOf<AskEndpoint>(world.Node.onTimer(world.Now)) == 1);
}

namespace {
/// A node before two groups of two endpoints with four slots each.
class TwoGroupWorld : public NodeWorld {
public:
  TwoGroupWorld() : NodeWorld(0, makeRoute(RequestKind::Stream, 2, true)) {
    auto config = std::make_shared<FleetConfig>(*Config);
    EngineFigures &engine = *config->Services.at(ServiceId("s")).Engine;
    engine.UsualAnswer = 160;
    engine.StepsPerPass = 6;
    Config = std::move(config);
    for (const char *id : {"a0", "a1", "b0", "b1"}) {
      add(id);
      Listed.back().Record.TellsState = true;
      Listed.back().Record.Slots = 4;
    }
    Node.setEndpoints(Listed);
    for (const DirectAction &it : Node.onTimer(Now)) {
      const EndpointId &id = std::get<AskEndpoint>(it).Endpoint.Id;
      EndpointCondition condition{GroupId(id.get().substr(0, 1)), true, 0};
      Node.onTold(id, condition, Now);
    }
  }

  /// Starts call \p id. Returns its group, or nothing if it has to wait.
  std::string start(std::uint64_t id) {
    DirectActions actions = call(id);
    const auto *attempt = only<StartAttempt>(actions);
    return attempt ? attempt->Endpoint.Id.get().substr(0, 1) : "";
  }

  /// Has calls 1 and 2, one in each group, write for three seconds, with
  /// these pauses.
  void write(Duration pauseOfFirst, Duration pauseOfSecond) {
    std::array<TimePoint, 2> last = {Now, Now};
    std::array<Duration, 2> pauses = {pauseOfFirst, pauseOfSecond};
    Node.onFirstByte(CallId(1), Now);
    Node.onFirstByte(CallId(2), Now);
    for (unsigned i = 0; i < 300; ++i) {
      Now += milliseconds(10);
      for (unsigned k = 0; k < 2; ++k)
        if (Now - last[k] >= pauses[k]) {
          last[k] = Now;
          Node.onEvents(CallId(k + 1), Now);
        }
    }
  }
};
} // namespace

TEST_CASE("a group with a slow rank gets nothing that cannot be whole") {
  TwoGroupWorld world;
  std::string slow = world.start(1);
  std::string sound = world.start(2);
  REQUIRE(slow != sound);
  world.write(milliseconds(600), milliseconds(50));
  // The sound group has eight slots, one of them in use.
  for (std::uint64_t id = 3; id < 10; ++id)
    CHECK(world.start(id) == sound);
  CHECK(world.start(10).empty());
  // A slow group in which an answer can be whole takes the rest.
  TwoGroupWorld other;
  slow = other.start(1);
  other.start(2);
  other.write(milliseconds(290), milliseconds(50));
  for (std::uint64_t id = 3; id < 10; ++id)
    CHECK(other.start(id) != slow);
  CHECK(other.start(10) == slow);
}

TEST_CASE("a stream that cannot end in time where it is goes on elsewhere") {
  TwoGroupWorld world;
  std::string slow = world.start(1);
  std::string sound = world.start(2);
  world.Node.onFirstByte(CallId(1), world.Now);
  world.Node.onFirstByte(CallId(2), world.Now);
  std::optional<TimePoint> movedAt;
  for (unsigned i = 1; i <= 80 && !movedAt; ++i) {
    world.Now += milliseconds(50);
    CHECK(world.Node.onEvents(CallId(2), world.Now).empty());
    if (i % 12 == 0 &&
        countOf<StopAttempt>(world.Node.onEvents(CallId(1), world.Now)) > 0)
      movedAt = world.Now;
  }
  REQUIRE(movedAt.has_value());
  // It is broken off once only, and resumed in the sound group.
  CHECK(countOf<StopAttempt>(world.Node.onEvents(CallId(1), world.Now)) == 0);
  DirectActions next = world.end(1, AttemptEnd::BrokeOff);
  REQUIRE(only<StartAttempt>(next));
  CHECK(only<StartAttempt>(next)->Endpoint.Id.get().substr(0, 1) == sound);
  CHECK(sound != slow);
}

TEST_CASE("a group whose streams all stand gets nothing new at once") {
  TwoGroupWorld world;
  std::string standing = world.start(1);
  world.start(2);
  world.write(milliseconds(50), milliseconds(50));
  // Only the other one still writes.
  for (unsigned i = 0; i < 6; ++i) {
    world.Now += milliseconds(50);
    world.Node.onEvents(CallId(2), world.Now);
  }
  CHECK(world.start(3) != standing);
  CHECK(world.start(4) != standing);
  // What was seen fades once nothing is left there.
  world.Node.onCallGone(CallId(1), world.Now);
  for (unsigned i = 0; i < 160; ++i) {
    world.Now += milliseconds(50);
    world.Node.onEvents(CallId(2), world.Now);
  }
  CHECK(world.start(5) == standing);
}

TEST_CASE("an endpoint that is full by other entries' work is not used") {
  GroupWorld world;
  world.call(1);
  std::vector<DirectActions> after =
      world.tell(world.Node.onTimer(world.Now), true, 4);
  for (const DirectActions &it : after)
    CHECK(countOf<StartAttempt>(it) == 0);
}

TEST_CASE("a full endpoint's request goes elsewhere while attempts last") {
  NodeWorld world(3, makeRoute(RequestKind::OnceOnly, 2));
  world.prove(3);
  const auto first = world.call(1);
  REQUIRE(only<StartAttempt>(first));
  DirectActions second = world.end(1, AttemptEnd::Full);
  REQUIRE(only<StartAttempt>(second));
  CHECK(only<StartAttempt>(second)->Endpoint.Id !=
        only<StartAttempt>(first)->Endpoint.Id);
  DirectActions last = world.end(1, AttemptEnd::Full);
  REQUIRE(only<EndCall>(last));
  CHECK((describe(codeOf(last)).Kind == Outcome::NotRun));
  CHECK(only<EndCall>(last)->RetryAfter > Duration::zero());
}

TEST_CASE("after an unknown attempt nobody is told that nothing ran") {
  NodeWorld world(3, makeRoute(RequestKind::Stream, 2, true));
  REQUIRE(only<StartAttempt>(world.call(1)));
  REQUIRE(only<StartAttempt>(world.end(1, AttemptEnd::BrokeOff)));
  DirectActions last = world.end(1, AttemptEnd::Full);
  CHECK((describe(codeOf(last)).Kind != Outcome::NotRun));
}

TEST_CASE("a resumable stream that was lost before its first event goes on") {
  NodeWorld world(3, makeRoute(RequestKind::Stream, 2, true));
  REQUIRE(only<StartAttempt>(world.call(1)));
  CHECK(only<StartAttempt>(world.end(1, AttemptEnd::Lost)));
}

TEST_CASE("what may be repeated is not told that nothing ran either") {
  NodeWorld world(3, makeRoute(RequestKind::Repeatable, 2));
  REQUIRE(only<StartAttempt>(world.call(1)));
  REQUIRE(only<StartAttempt>(world.end(1, AttemptEnd::Lost)));
  DirectActions last = world.end(1, AttemptEnd::Full);
  CHECK((describe(codeOf(last)).Kind == Outcome::Unknown));
}

TEST_CASE("a connection that was never made costs no attempt") {
  NodeWorld world(3, makeRoute(RequestKind::OnceOnly, 1));
  REQUIRE(only<StartAttempt>(world.call(1)));
  CHECK(only<StartAttempt>(world.end(1, AttemptEnd::NeverSent)));
}

TEST_CASE("an endpoint that was replaced costs no attempt, but has its bound") {
  NodeWorld world(6, makeRoute(RequestKind::OnceOnly, 1));
  REQUIRE(only<StartAttempt>(world.call(1)));
  for (int i = 0; i < 3; ++i)
    REQUIRE(only<StartAttempt>(world.end(1, AttemptEnd::OtherEndpoint)));
  DirectActions last = world.end(1, AttemptEnd::OtherEndpoint);
  CHECK((describe(codeOf(last)).Kind == Outcome::NotRun));
}

TEST_CASE("a request that found only full endpoints waits for one") {
  NodeWorld world(2, makeRoute(RequestKind::OnceOnly, 3));
  world.prove(2);
  REQUIRE(only<StartAttempt>(world.call(1)));
  REQUIRE(only<StartAttempt>(world.end(1, AttemptEnd::Full)));
  CHECK(world.end(1, AttemptEnd::Full).empty());
  CHECK(world.Node.waitingCount() == 1);
}

TEST_CASE("who was turned away waits until an endpoint is known to serve") {
  NodeWorld world(3, makeRoute(RequestKind::OnceOnly, 2));
  DirectActions first = world.call(1);
  REQUIRE(only<StartAttempt>(first));
  CHECK(world.end(1, AttemptEnd::Full).empty());
  DirectActions other = world.call(2);
  REQUIRE(only<StartAttempt>(other));
  DirectActions proven = world.Node.onFirstByte(CallId(2), world.Now);
  REQUIRE(only<StartAttempt>(proven));
  CHECK(only<StartAttempt>(proven)->Call == CallId(1));
  CHECK(only<StartAttempt>(proven)->Endpoint.Id ==
        only<StartAttempt>(other)->Endpoint.Id);
}

TEST_CASE("a stream that cannot be resumed ends where it broke off") {
  NodeWorld world(3, makeRoute(RequestKind::Stream, 3));
  REQUIRE(only<StartAttempt>(world.call(1)));
  CHECK(codeOf(world.end(1, AttemptEnd::BrokeOff)) ==
        ResultCode::EndpointFailed);
}

TEST_CASE("requests wait for room and are told when it does not come") {
  NodeWorld world(1, makeRoute(RequestKind::Stream, 1));
  REQUIRE(only<StartAttempt>(world.call(1)));
  REQUIRE(only<StartAttempt>(world.call(2)));
  CHECK(world.call(3).empty());
  CHECK(world.call(4).empty());
  DirectActions freed = world.end(1, AttemptEnd::Complete);
  REQUIRE(only<StartAttempt>(freed));
  CHECK(only<StartAttempt>(freed)->Call == CallId(3));
  REQUIRE(world.Node.nextTimer());
  world.Now = *world.Node.nextTimer();
  DirectActions late = world.Node.onTimer(world.Now);
  REQUIRE(only<EndCall>(late));
  CHECK((describe(codeOf(late)).Kind == Outcome::NotRun));
  CHECK(world.Node.waitingCount() == 0);
}

TEST_CASE("those that can still be on time go before those that cannot") {
  NodeWorld world(1, makeRoute(RequestKind::Stream, 1));
  world.call(1);
  world.call(2);
  world.call(3);
  world.Now += milliseconds(300);
  world.call(4);
  DirectActions freed = world.end(1, AttemptEnd::Complete);
  REQUIRE(only<StartAttempt>(freed));
  CHECK(only<StartAttempt>(freed)->Call == CallId(4));
}

TEST_CASE(
    "leaving and vanished endpoints are not chosen while there are others") {
  NodeWorld world(3, makeRoute(RequestKind::Repeatable, 1));
  world.Listed[0].Record.IsLeaving = true;
  world.Listed[1].IsMissing = true;
  world.Node.setEndpoints(world.Listed);
  for (std::uint64_t id = 1; id <= 2; ++id) {
    DirectActions actions = world.call(id);
    REQUIRE(only<StartAttempt>(actions));
    CHECK(only<StartAttempt>(actions)->Endpoint.Id == EndpointId("e2"));
  }
}

TEST_CASE("what other entries have at an endpoint counts as its load") {
  NodeWorld world(2, makeRoute(RequestKind::Stream, 1));
  world.Node.setPeerLoad("other", {{EndpointId("e0"), 1, 500}}, world.Now);
  DirectActions actions = world.call(1);
  REQUIRE(only<StartAttempt>(actions));
  CHECK(only<StartAttempt>(actions)->Endpoint.Id == EndpointId("e1"));
  world.Now += seconds(5);
  CHECK(world.Node.book().livePeers(world.Now) == 0);
}

TEST_CASE("repeats stay inside the entry's share of the window") {
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
