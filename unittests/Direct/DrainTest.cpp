//===- DrainTest.cpp - data centres that operators drain ------------------===//
//
// Endpoints of a drained data centre get nothing new until the drain ends, not
// even if there are no others. What runs there ends by itself.
//
//===----------------------------------------------------------------------===//

#include "NodeFixture.h"

#include "ospreyspur/Direct/OperatorState.h"
#include "platform/ConfigWire.h"

#include <set>

using namespace test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
/// Two endpoints in data centre "a" and two in data centre "b".
class DrainFixture : public NodeFixture {
public:
  DrainFixture() : NodeFixture(4, makeRoute(RequestKind::Stream, 2, true)) {
    Listed[2].Record.DataCentre = DataCentreId("b");
    Listed[3].Record.DataCentre = DataCentreId("b");
    drain({});
  }

  void drain(const std::set<std::string> &dataCentres) {
    for (ListedEndpoint &it : Listed)
      it.IsDrained = dataCentres.contains(it.Record.DataCentre.get());
    Node.setEndpoints(Listed);
  }

  static bool isIn(const StartAttempt &attempt, const std::string &dataCentre) {
    return attempt.Endpoint.DataCentre == DataCentreId(dataCentre);
  }
};
} // namespace

TEST_CASE("endpoints of a drained data centre get no new requests") {
  DrainFixture fixture;
  fixture.drain({"a"});
  for (std::uint64_t id = 1; id <= 4; ++id) {
    DirectActions actions = fixture.call(id);
    REQUIRE(only<StartAttempt>(actions));
    CHECK(DrainFixture::isIn(*only<StartAttempt>(actions), "b"));
  }
  // Both endpoints that are left are full, so the next request waits for them.
  CHECK(fixture.call(5).empty());
  CHECK(fixture.Node.waitingCount() == 1);
  fixture.drain({});
  DirectActions actions = fixture.Node.onTimer(fixture.Now);
  REQUIRE(only<StartAttempt>(actions));
  CHECK(DrainFixture::isIn(*only<StartAttempt>(actions), "a"));
}

TEST_CASE("if all endpoints are drained, callers are refused at once") {
  DrainFixture fixture;
  for (std::uint64_t id = 1; id <= 9; ++id)
    fixture.call(id);
  CHECK(fixture.Node.waitingCount() == 1);
  fixture.drain({"a", "b"});
  DirectActions waiting = fixture.Node.onTimer(fixture.Now);
  CHECK(codeOf(waiting) == ResultCode::DataCentreDrained);
  DirectActions refused = fixture.call(10);
  CHECK(codeOf(refused) == ResultCode::DataCentreDrained);
  CHECK(only<EndCall>(refused)->RetryAfter >= seconds(1));
  CHECK((describe(ResultCode::DataCentreDrained).Kind == Outcome::NotRun));
}

TEST_CASE("a request whose endpoint is drained before it is written goes "
          "elsewhere") {
  DrainFixture fixture;
  DirectActions first = fixture.call(1);
  REQUIRE(only<StartAttempt>(first));
  bool wasInA = DrainFixture::isIn(*only<StartAttempt>(first), "a");
  fixture.drain({wasInA ? "a" : "b"});
  CHECK_FALSE(fixture.Node.maySend(CallId(1), fixture.Now));
  DirectActions next = fixture.end(1, AttemptEnd::Withheld);
  REQUIRE(only<StartAttempt>(next));
  CHECK(DrainFixture::isIn(*only<StartAttempt>(next), wasInA ? "b" : "a"));
  CHECK(fixture.Node.maySend(CallId(1), fixture.Now));
}

TEST_CASE("a stream in a drained data centre goes on") {
  DrainFixture fixture;
  DirectActions first = fixture.call(1);
  REQUIRE(only<StartAttempt>(first));
  fixture.Node.onFirstByte(CallId(1), fixture.Now);
  fixture.drain({"a", "b"});
  CHECK(fixture.Node.onTimer(fixture.Now).empty());
  fixture.Now += milliseconds(100);
  CHECK(fixture.Node.onEvents(CallId(1), fixture.Now).empty());
  CHECK(fixture.end(1, AttemptEnd::Complete).empty());
}

TEST_CASE("no status query goes to a drained data centre") {
  DrainFixture fixture;
  for (ListedEndpoint &it : fixture.Listed) {
    it.Record.Id = EndpointId(it.Record.Id.get() + "@2");
    it.Record.AnswersStatusQueries = true;
  }
  fixture.drain({"a"});
  std::size_t queries = 0;
  for (const DirectAction &it : fixture.Node.onTimer(fixture.Now))
    if (const auto *query = std::get_if<QueryEndpoint>(&it)) {
      CHECK((query->Endpoint.DataCentre == DataCentreId("b")));
      ++queries;
    }
  CHECK(queries == 2);
}

// Guards against entries that offer the configuration to the whole fleet under
// a newer revision whenever they start.
TEST_CASE("a read has the revision of its newest value unless a drain ended") {
  OperatorState none{"{}", {}};
  OperatorState drained{"{}", {DataCentreId("a")}};
  Revision newest(7);
  Revision seenAt(9);
  CHECK(revisionOfRead({}, none, newest, seenAt) == newest);
  CHECK(revisionOfRead({}, drained, newest, seenAt) == newest);
  CHECK(revisionOfRead(none, drained, newest, seenAt) == newest);
  CHECK(revisionOfRead(drained, drained, newest, seenAt) == newest);
  CHECK(revisionOfRead(drained, none, newest, seenAt) == seenAt);
}

TEST_CASE("operators' values are one value with the drained data centres") {
  auto apply = [](OperatorState &state, const std::string &key, bool isRemoved,
                  const std::string &value = "{}") {
    platform::applyOperatorItem({key, Revision(1), value, isRemoved}, state);
  };
  OperatorState state;
  apply(state, "op/config", false, R"({"version": 7})");
  CHECK(formatOperatorState(state) == "{\"version\": 7}");
  apply(state, "op/evacuate/b", false);
  apply(state, "op/evacuate/a", false);
  apply(state, "op/other", false);
  CHECK((state.Drained == std::set{DataCentreId("a"), DataCentreId("b")}));
  Result<OperatorState> copy = parseOperatorState(formatOperatorState(state));
  REQUIRE(copy);
  CHECK((copy.value() == state));
  apply(state, "op/evacuate/a", true);
  CHECK((state.Drained == std::set{DataCentreId("b")}));
  for (const char *damaged : {"[", "[\"a\"]", "[1,}\n{}"})
    CHECK(parseOperatorState(damaged).error().Code ==
          ResultCode::PlatformBadAnswer);
}
