//===- DirectGroupTest.cpp - requests to endpoints in groups --------------===//
//
// Engines are queried for their status before they get requests. A slow or
// stalled group is used last or not at all.
//
//===----------------------------------------------------------------------===//

#include "Direct/TwoGroupWorld.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using namespace test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
/// A DirectNode with endpoints of one group that respond to status queries.
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

  /// Responds to the status queries in \p actions.
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

  /// Lets every endpoint report that it accepts requests.
  void open() { tell(Node.onTimer(Now), true); }
};
} // namespace

TEST_CASE("an engine gets no requests before its first status report") {
  GroupWorld world;
  CHECK(world.call(1).empty());
  DirectActions questions = world.Node.onTimer(world.Now);
  CHECK(countOf<AskEndpoint>(questions) == 3);
  std::vector<DirectActions> after = world.tell(questions, true);
  CHECK(countOf<StartAttempt>(after.front()) == 1);
}

TEST_CASE("a group that is being formed does not use up attempts") {
  GroupWorld world;
  world.open();
  REQUIRE(countOf<StartAttempt>(world.call(1)) == 1);
  REQUIRE(countOf<StartAttempt>(world.call(2)) == 1);
  // The endpoint has free slots, so it rejected the request for another reason.
  // The whole group is excluded and one of its endpoints is queried.
  DirectActions refused = world.end(1, AttemptEnd::Full);
  CHECK(countOf<StartAttempt>(refused) == 0);
  CHECK(countOf<AskEndpoint>(refused) == 1);
  DirectActions other = world.end(2, AttemptEnd::Full);
  CHECK(countOf<StartAttempt>(other) == 0);
  // It is queried again until it is open.
  world.tell(refused, false);
  CHECK(countOf<AskEndpoint>(world.Node.onTimer(world.Now)) == 0);
  world.Now += EndpointBook::AskPause;
  DirectActions again = world.Node.onTimer(world.Now);
  CHECK(countOf<AskEndpoint>(again) == 1);
  std::vector<DirectActions> after = world.tell(again, true);
  CHECK(countOf<StartAttempt>(after.front()) == 2);
}

TEST_CASE("one rank that does not answer status queries does not keep its "
          "group closed") {
  GroupWorld world;
  world.open();
  REQUIRE(countOf<StartAttempt>(world.call(1)) == 1);
  DirectActions refused = world.end(1, AttemptEnd::Full);
  REQUIRE(countOf<AskEndpoint>(refused) == 1);
  EndpointId silent = find<AskEndpoint>(refused)->Endpoint.Id;
  // Another endpoint of the group is queried instead.
  DirectActions next = world.Node.onTold(silent, std::nullopt, world.Now);
  REQUIRE(countOf<AskEndpoint>(next) == 1);
  CHECK(find<AskEndpoint>(next)->Endpoint.Id != silent);
  world.tell(next, true);
  CHECK(countOf<StartAttempt>(world.call(2)) == 1);
}

TEST_CASE("an unresponsive group is not queried in a busy loop") {
  GroupWorld world;
  world.open();
  world.call(1);
  DirectActions asked = world.end(1, AttemptEnd::Full);
  std::set<EndpointId> all;
  while (const auto *it = find<AskEndpoint>(asked)) {
    REQUIRE(all.insert(it->Endpoint.Id).second);
    asked = world.Node.onTold(it->Endpoint.Id, std::nullopt, world.Now);
  }
  CHECK(all.size() == 3);
  world.Now += EndpointBook::AskTimeout;
  CHECK(countOf<AskEndpoint>(world.Node.onTimer(world.Now)) == 1);
}

TEST_CASE("the rate of status queries to a closed group does not grow with the "
          "number of entries") {
  // 16 entries are two for each query of an interval, 17 are more.
  for (auto [entries, pauses] : {std::pair(8, 1), {16, 2}, {17, 3}, {80, 10}}) {
    GroupWorld world;
    for (int i = 1; i < entries; ++i)
      world.Node.setPeerLoad("n" + std::to_string(i), {}, world.Now);
    world.tell(world.Node.onTimer(world.Now), false);
    world.Now += (pauses - 1) * EndpointBook::AskPause;
    CHECK(countOf<AskEndpoint>(world.Node.onTimer(world.Now)) == 0);
    world.Now += EndpointBook::AskPause;
    CHECK(countOf<AskEndpoint>(world.Node.onTimer(world.Now)) == 1);
  }
}

TEST_CASE("a slow group gets no requests that cannot complete in time there") {
  TwoGroupWorld world;
  std::string slow = world.start(1);
  std::string sound = world.start(2);
  REQUIRE(slow != sound);
  world.write(milliseconds(600), milliseconds(50));
  // The healthy group has eight slots: one is in use, and one is reserved for
  // the slow stream, which is being stopped and continues there.
  for (std::uint64_t id = 3; id < 9; ++id)
    CHECK(world.start(id) == sound);
  CHECK(world.start(9).empty());
  // A slow group in which a response can still complete in time gets the
  // remaining requests.
  TwoGroupWorld other;
  slow = other.start(1);
  other.start(2);
  other.write(milliseconds(290), milliseconds(50));
  for (std::uint64_t id = 3; id < 10; ++id)
    CHECK(other.start(id) != slow);
  CHECK(other.start(10) == slow);
}

TEST_CASE("a stream that cannot complete in time in its group is migrated") {
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
  // The stream is stopped only once, and resumed in the healthy group.
  CHECK(countOf<StopAttempt>(world.Node.onEvents(CallId(1), world.Now)) == 0);
  DirectActions next = world.end(1, AttemptEnd::BrokeOff);
  // In addition, the slow ranks may be queried for their slowdown factors.
  REQUIRE(countOf<StartAttempt>(next) == 1);
  CHECK(countOf<StartAttempt>(next) + countOf<AskEndpoint>(next) ==
        next.size());
  const auto *start = find<StartAttempt>(next);
  CHECK(start->Endpoint.Id.get().substr(0, 1) == sound);
  CHECK(sound != slow);
}

TEST_CASE("the ranks of a slow group are queried, and a reported slowdown "
          "factor expires") {
  TwoGroupWorld world;
  std::string slow = world.start(1);
  world.Node.onFirstByte(CallId(1), world.Now);
  std::vector<EndpointId> asked;
  for (unsigned i = 0; i < 4; ++i) {
    world.Now += milliseconds(300);
    for (const DirectAction &it : world.Node.onEvents(CallId(1), world.Now))
      if (const auto *ask = std::get_if<AskEndpoint>(&it))
        asked.push_back(ask->Endpoint.Id);
    for (const DirectAction &it : world.Node.onTimer(world.Now))
      if (const auto *ask = std::get_if<AskEndpoint>(&it))
        asked.push_back(ask->Endpoint.Id);
  }
  REQUIRE_FALSE(asked.empty());
  for (const EndpointId &it : asked)
    CHECK(it.get().substr(0, 1) == slow);
  // One rank of the group reports that it is slow; its usable slots are reduced
  // by the same factor.
  EndpointId rank = asked.back();
  EndpointCondition condition{GroupId(slow), true, 1, 4.0};
  world.Node.onTold(rank, condition, world.Now);
  const EndpointState *state = world.Node.book().find(rank);
  CHECK(EndpointBook::paceOf(*state, world.Now) == 4.0);
  CHECK(EndpointBook::paceOf(*state, world.Now + 2 * EndpointBook::PaceEvery) ==
        1.0);
}

TEST_CASE("a group with only stalled streams gets no new requests") {
  TwoGroupWorld world;
  std::string standing = world.start(1);
  world.start(2);
  world.write(milliseconds(50), milliseconds(50));
  // Only the other stream still receives events.
  for (unsigned i = 0; i < 6; ++i) {
    world.Now += milliseconds(50);
    world.Node.onEvents(CallId(2), world.Now);
  }
  CHECK(world.start(3) != standing);
  CHECK(world.start(4) != standing);
  // The observed gap decays once no stream is left in the group.
  world.Node.onCallGone(CallId(1), world.Now);
  for (unsigned i = 0; i < 160; ++i) {
    world.Now += milliseconds(50);
    world.Node.onEvents(CallId(2), world.Now);
  }
  CHECK(world.start(5) == standing);
}

TEST_CASE(
    "an endpoint that is full with requests of other entries is not used") {
  GroupWorld world;
  world.call(1);
  std::vector<DirectActions> after =
      world.tell(world.Node.onTimer(world.Now), true, 4);
  for (const DirectActions &it : after)
    CHECK(countOf<StartAttempt>(it) == 0);
}
