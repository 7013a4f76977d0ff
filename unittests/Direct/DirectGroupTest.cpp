//===- DirectGroupTest.cpp - requests to endpoints in groups --------------===//
//
// Engines are queried for their status before they get requests. A slow or
// stalled group is used last or not at all.
//
//===----------------------------------------------------------------------===//

#include "Direct/TwoGroupFixture.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using namespace test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
/// A DirectNode with endpoints of one group that respond to status queries.
class GroupFixture : public NodeFixture {
public:
  GroupFixture() : NodeFixture(0, makeRoute(RequestKind::Repeatable, 2)) {
    for (const char *id : {"e0", "e1", "e2"}) {
      add(id);
      Listed.back().Record.AnswersStatusQueries = true;
      Listed.back().Record.Slots = 4;
    }
    Node.setEndpoints(Listed);
  }

  /// Responds to the status queries in \p actions.
  std::vector<DirectActions> respond(const DirectActions &actions, bool isOpen,
                                     unsigned running = 0) {
    std::vector<DirectActions> out;
    for (const DirectAction &it : actions)
      if (const auto *query = std::get_if<QueryEndpoint>(&it))
        out.push_back(Node.onStatusReport(
            query->Endpoint.Id, EndpointStatus{GroupId("g"), isOpen, running},
            Now));
    return out;
  }

  /// Lets every endpoint report that it accepts requests.
  void open() { respond(Node.onTimer(Now), true); }
};
} // namespace

TEST_CASE("an engine gets no requests before its first status report") {
  GroupFixture fixture;
  CHECK(fixture.call(1).empty());
  DirectActions queries = fixture.Node.onTimer(fixture.Now);
  CHECK(countOf<QueryEndpoint>(queries) == 3);
  std::vector<DirectActions> after = fixture.respond(queries, true);
  CHECK(countOf<StartAttempt>(after.front()) == 1);
}

TEST_CASE("a group that is being formed does not use up attempts") {
  GroupFixture fixture;
  fixture.open();
  REQUIRE(countOf<StartAttempt>(fixture.call(1)) == 1);
  REQUIRE(countOf<StartAttempt>(fixture.call(2)) == 1);
  // The endpoint has free slots, so it rejected the request for another reason.
  // The whole group is excluded and one of its endpoints is queried.
  DirectActions refused = fixture.end(1, AttemptEnd::Full);
  CHECK(countOf<StartAttempt>(refused) == 0);
  CHECK(countOf<QueryEndpoint>(refused) == 1);
  DirectActions other = fixture.end(2, AttemptEnd::Full);
  CHECK(countOf<StartAttempt>(other) == 0);
  // It is queried again until it is open.
  fixture.respond(refused, false);
  CHECK(countOf<QueryEndpoint>(fixture.Node.onTimer(fixture.Now)) == 0);
  fixture.Now += EndpointTable::QueryInterval;
  DirectActions again = fixture.Node.onTimer(fixture.Now);
  CHECK(countOf<QueryEndpoint>(again) == 1);
  std::vector<DirectActions> after = fixture.respond(again, true);
  CHECK(countOf<StartAttempt>(after.front()) == 2);
}

TEST_CASE("one rank that does not answer status queries does not keep its "
          "group closed") {
  GroupFixture fixture;
  fixture.open();
  REQUIRE(countOf<StartAttempt>(fixture.call(1)) == 1);
  DirectActions refused = fixture.end(1, AttemptEnd::Full);
  REQUIRE(countOf<QueryEndpoint>(refused) == 1);
  EndpointId unresponsive = find<QueryEndpoint>(refused)->Endpoint.Id;
  // Another endpoint of the group is queried instead.
  DirectActions next =
      fixture.Node.onStatusReport(unresponsive, std::nullopt, fixture.Now);
  REQUIRE(countOf<QueryEndpoint>(next) == 1);
  CHECK(find<QueryEndpoint>(next)->Endpoint.Id != unresponsive);
  fixture.respond(next, true);
  CHECK(countOf<StartAttempt>(fixture.call(2)) == 1);
}

TEST_CASE("an unresponsive group is not queried in a busy loop") {
  GroupFixture fixture;
  fixture.open();
  fixture.call(1);
  DirectActions queried = fixture.end(1, AttemptEnd::Full);
  std::set<EndpointId> all;
  while (const auto *it = find<QueryEndpoint>(queried)) {
    REQUIRE(all.insert(it->Endpoint.Id).second);
    queried =
        fixture.Node.onStatusReport(it->Endpoint.Id, std::nullopt, fixture.Now);
  }
  CHECK(all.size() == 3);
  fixture.Now += EndpointTable::QueryTimeout;
  CHECK(countOf<QueryEndpoint>(fixture.Node.onTimer(fixture.Now)) == 1);
}

TEST_CASE("the rate of status queries to a closed group does not grow with the "
          "number of entries") {
  // An interval allows 8 queries, so each of 16 entries queries in every second
  // interval, each of 17 in every third.
  for (auto [entries, intervals] :
       {std::pair(8, 1), {16, 2}, {17, 3}, {80, 10}}) {
    GroupFixture fixture;
    for (int i = 1; i < entries; ++i)
      fixture.Node.setPeerLoad("n" + std::to_string(i), {}, fixture.Now);
    fixture.respond(fixture.Node.onTimer(fixture.Now), false);
    fixture.Now += (intervals - 1) * EndpointTable::QueryInterval;
    CHECK(countOf<QueryEndpoint>(fixture.Node.onTimer(fixture.Now)) == 0);
    fixture.Now += EndpointTable::QueryInterval;
    CHECK(countOf<QueryEndpoint>(fixture.Node.onTimer(fixture.Now)) == 1);
  }
}

TEST_CASE("a slow group gets no requests that cannot complete in time there") {
  TwoGroupFixture fixture;
  std::string slow = fixture.start(1);
  std::string healthy = fixture.start(2);
  REQUIRE(slow != healthy);
  fixture.write(milliseconds(600), milliseconds(50));
  // The healthy group has eight slots: one is in use, and one is reserved for
  // the slow stream, which is being stopped and continues there.
  for (std::uint64_t id = 3; id < 9; ++id)
    CHECK(fixture.start(id) == healthy);
  CHECK(fixture.start(9).empty());
  // A slow group in which a response can still complete in time gets the
  // remaining requests.
  TwoGroupFixture other;
  slow = other.start(1);
  other.start(2);
  other.write(milliseconds(290), milliseconds(50));
  for (std::uint64_t id = 3; id < 10; ++id)
    CHECK(other.start(id) != slow);
  CHECK(other.start(10) == slow);
}

TEST_CASE("a stream that cannot complete in time in its group is migrated") {
  TwoGroupFixture fixture;
  std::string slow = fixture.start(1);
  std::string healthy = fixture.start(2);
  fixture.Node.onFirstByte(CallId(1), fixture.Now);
  fixture.Node.onFirstByte(CallId(2), fixture.Now);
  std::optional<TimePoint> migratedAt;
  for (unsigned i = 1; i <= 80 && !migratedAt; ++i) {
    fixture.Now += milliseconds(50);
    CHECK(fixture.Node.onEvents(CallId(2), fixture.Now).empty());
    if (i % 12 == 0 &&
        countOf<StopAttempt>(fixture.Node.onEvents(CallId(1), fixture.Now)) > 0)
      migratedAt = fixture.Now;
  }
  REQUIRE(migratedAt.has_value());
  // The stream is stopped only once, and resumed in the healthy group.
  CHECK(countOf<StopAttempt>(fixture.Node.onEvents(CallId(1), fixture.Now)) ==
        0);
  DirectActions next = fixture.end(1, AttemptEnd::BrokeOff);
  // In addition, the slow ranks may be queried for their slowdown factors.
  REQUIRE(countOf<StartAttempt>(next) == 1);
  CHECK(countOf<StartAttempt>(next) + countOf<QueryEndpoint>(next) ==
        next.size());
  const auto *start = find<StartAttempt>(next);
  CHECK(start->Endpoint.Id.get().substr(0, 1) == healthy);
  CHECK(healthy != slow);
}

TEST_CASE("the ranks of a slow group are queried, and a reported slowdown "
          "factor expires") {
  TwoGroupFixture fixture;
  std::string slow = fixture.start(1);
  fixture.Node.onFirstByte(CallId(1), fixture.Now);
  std::vector<EndpointId> queried;
  for (unsigned i = 0; i < 4; ++i) {
    fixture.Now += milliseconds(300);
    for (const DirectAction &it : fixture.Node.onEvents(CallId(1), fixture.Now))
      if (const auto *query = std::get_if<QueryEndpoint>(&it))
        queried.push_back(query->Endpoint.Id);
    for (const DirectAction &it : fixture.Node.onTimer(fixture.Now))
      if (const auto *query = std::get_if<QueryEndpoint>(&it))
        queried.push_back(query->Endpoint.Id);
  }
  REQUIRE_FALSE(queried.empty());
  for (const EndpointId &it : queried)
    CHECK(it.get().substr(0, 1) == slow);
  // One rank of the group reports that it is slow; its usable slots are reduced
  // by the same factor.
  EndpointId rank = queried.back();
  EndpointStatus status{GroupId(slow), true, 1, 4.0};
  fixture.Node.onStatusReport(rank, status, fixture.Now);
  const EndpointState *state = fixture.Node.endpointTable().find(rank);
  CHECK(EndpointTable::slowdownOf(*state, fixture.Now) == 4.0);
  CHECK(EndpointTable::slowdownOf(
            *state, fixture.Now + 2 * EndpointTable::SlowdownInterval) == 1.0);
}

TEST_CASE("a group with only stalled streams gets no new requests") {
  TwoGroupFixture fixture;
  std::string stalled = fixture.start(1);
  fixture.start(2);
  fixture.write(milliseconds(50), milliseconds(50));
  // Only the other stream still receives events.
  for (unsigned i = 0; i < 6; ++i) {
    fixture.Now += milliseconds(50);
    fixture.Node.onEvents(CallId(2), fixture.Now);
  }
  CHECK(fixture.start(3) != stalled);
  CHECK(fixture.start(4) != stalled);
  // The observed gap decays once no stream is left in the group.
  fixture.Node.onCallClosed(CallId(1), fixture.Now);
  for (unsigned i = 0; i < 160; ++i) {
    fixture.Now += milliseconds(50);
    fixture.Node.onEvents(CallId(2), fixture.Now);
  }
  CHECK(fixture.start(5) == stalled);
}

TEST_CASE(
    "an endpoint that is full with requests of other entries is not used") {
  GroupFixture fixture;
  fixture.call(1);
  std::vector<DirectActions> after =
      fixture.respond(fixture.Node.onTimer(fixture.Now), true, 4);
  for (const DirectActions &it : after)
    CHECK(countOf<StartAttempt>(it) == 0);
}
