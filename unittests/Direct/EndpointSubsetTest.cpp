//===- EndpointSubsetTest.cpp - subsets of endpoints in a large fleet -----===//
//
// In a large fleet each entry uses the endpoints of its data centre and tells
// its load only to the entries that use the same ones.
//
//===----------------------------------------------------------------------===//

#include "NodeFixture.h"

#include "ospreyspur/Direct/EndpointSubset.h"

#include <map>
#include <set>

using namespace test;
using std::chrono::milliseconds;
using std::chrono::seconds;

static NodeRecord makeEntry(unsigned i, unsigned dataCentres) {
  return {"n" + std::to_string(i),
          DataCentreId("d" + std::to_string(i % dataCentres)), "", "x"};
}

static EndpointSubset makeSubset(unsigned entry, unsigned entries,
                                 unsigned dataCentres) {
  std::vector<NodeRecord> others;
  for (unsigned i = 0; i < entries; ++i)
    if (i != entry)
      others.push_back(makeEntry(i, dataCentres));
  return {makeEntry(entry, dataCentres), others};
}

static std::vector<ListedEndpoint> makeEndpoints(unsigned n,
                                                 unsigned dataCentres) {
  std::vector<ListedEndpoint> out(n);
  for (unsigned i = 0; i < n; ++i) {
    EndpointRecord &it = out[i].Record;
    it.Name = "e" + std::to_string(i);
    it.Id = EndpointId(it.Name);
    it.Service = ServiceId("s");
    it.DataCentre = DataCentreId("d" + std::to_string(i % dataCentres));
  }
  return out;
}

TEST_CASE("a small fleet is not divided") {
  EndpointSubset subset = makeSubset(3, 52, 5);
  CHECK(subset.isWhole());
  CHECK(subset.sharing().size() == 51);
  std::vector<ListedEndpoint> endpoints = makeEndpoints(20, 5);
  subset.markOutside(endpoints);
  for (const ListedEndpoint &it : endpoints)
    CHECK_FALSE(it.IsOutside);
}

// Guards against messages and memory that grow with the square of the fleet.
TEST_CASE("the number of entries that share load is bounded at any size") {
  for (unsigned entries : {65U, 208U, 370U, 740U, 2000U}) {
    CAPTURE(entries);
    std::size_t most = 0;
    for (unsigned i = 0; i < entries; i += entries / 13)
      most = std::max(most, makeSubset(i, entries, 5).sharing().size());
    CHECK(most < EndpointSubset::MaxSharing);
  }
}

TEST_CASE("subsets are symmetric and cover all endpoints once") {
  for (unsigned entries : {208U, 740U}) {
    CAPTURE(entries);
    std::vector<ListedEndpoint> endpoints = makeEndpoints(300, 5);
    std::map<std::set<std::string>, std::set<std::string>> endpointsOf;
    for (unsigned i = 0; i < entries; ++i) {
      EndpointSubset subset = makeSubset(i, entries, 5);
      std::set<std::string> group = subset.sharing();
      group.insert("n" + std::to_string(i));
      subset.markOutside(endpoints);
      std::set<std::string> inside;
      for (const ListedEndpoint &it : endpoints)
        if (!it.IsOutside)
          inside.insert(it.Record.Name);
      auto at = endpointsOf.emplace(group, inside).first;
      CHECK((at->second == inside));
    }
    std::size_t all = 0;
    std::set<std::string> covered;
    for (const auto &[group, inside] : endpointsOf) {
      all += inside.size();
      covered.insert(inside.begin(), inside.end());
    }
    CHECK(all == 300);
    CHECK(covered.size() == 300);
  }
}

TEST_CASE("a service without endpoints in the data centre has none outside") {
  EndpointSubset subset = makeSubset(0, 100, 5);
  std::vector<ListedEndpoint> endpoints = makeEndpoints(10, 5);
  ListedEndpoint other = endpoints[1];
  other.Record.Service = ServiceId("t");
  endpoints.push_back(other);
  subset.markOutside(endpoints);
  CHECK_FALSE(endpoints[0].IsOutside);
  CHECK(endpoints[1].IsOutside);
  CHECK_FALSE(endpoints[10].IsOutside);
}

TEST_CASE("an endpoint outside of the subset is used if the subset is full") {
  NodeFixture fixture(3, makeRoute(RequestKind::Repeatable, 2));
  fixture.Listed[0].IsOutside = true;
  fixture.Node.setEndpoints(fixture.Listed);
  for (std::uint64_t id = 1; id <= 4; ++id) {
    DirectActions actions = fixture.call(id);
    REQUIRE(only<StartAttempt>(actions));
    CHECK((only<StartAttempt>(actions)->Endpoint.Id != EndpointId("e0")));
  }
  DirectActions last = fixture.call(5);
  REQUIRE(only<StartAttempt>(last));
  CHECK((only<StartAttempt>(last)->Endpoint.Id == EndpointId("e0")));
}

TEST_CASE("an engine outside of the subset is queried only when needed") {
  constexpr unsigned Outside = 40;
  NodeFixture fixture(Outside + 1, makeRoute(RequestKind::Repeatable, 2));
  for (ListedEndpoint &it : fixture.Listed) {
    it.Record.Id = EndpointId(it.Record.Id.get() + "@2");
    it.Record.AnswersStatusQueries = true;
    it.IsOutside = true;
  }
  fixture.Listed[0].IsOutside = false;
  fixture.Node.setEndpoints(fixture.Listed);
  DirectActions first = fixture.Node.onTimer(fixture.Now);
  REQUIRE(only<QueryEndpoint>(first));
  EndpointId inside = fixture.Listed[0].Record.Id;
  CHECK((only<QueryEndpoint>(first)->Endpoint.Id == inside));
  EndpointStatus open{GroupId("g"), true, 0, 1.0};
  fixture.Node.onStatusReport(inside, open, fixture.Now);
  CHECK_FALSE(fixture.Node.nextTimer());

  // The endpoint in the subset has two slots.
  fixture.call(1);
  fixture.call(2);
  CHECK(fixture.call(3).empty());
  REQUIRE(fixture.Node.nextTimer());
  DirectActions queries = fixture.Node.onTimer(fixture.Now);
  CHECK(countOf<QueryEndpoint>(queries) == EndpointTable::MaxOutsideQueries);
  CHECK(countOf<QueryEndpoint>(fixture.Node.onTimer(fixture.Now)) == 0);
  const auto *query = find<QueryEndpoint>(queries);
  DirectActions started =
      fixture.Node.onStatusReport(query->Endpoint.Id, open, fixture.Now);
  REQUIRE(find<StartAttempt>(started));
  CHECK((find<StartAttempt>(started)->Endpoint.Id == query->Endpoint.Id));

  // Without further need the queries end. Until then each engine that does not
  // respond is queried again once a second.
  std::size_t later = 0;
  for (int i = 0; i < 50; ++i) {
    fixture.Now += milliseconds(100);
    later += countOf<QueryEndpoint>(fixture.Node.onTimer(fixture.Now));
  }
  CHECK(later <= 2 * Outside);
  CHECK_FALSE(fixture.Node.nextTimer());
}

TEST_CASE("no request goes to a limited endpoint outside of the subset") {
  NodeFixture fixture(2, makeRoute(RequestKind::Repeatable, 2));
  fixture.Listed[0].IsOutside = true;
  fixture.Node.setEndpoints(fixture.Listed);
  Pushback pushback;
  pushback.RequestsPerSecond = 100;
  fixture.Node.onPushback(EndpointId("e0"), pushback, fixture.Now, fixture.Now);
  fixture.Now += seconds(2);
  fixture.call(1);
  fixture.call(2);
  CHECK(fixture.call(3).empty());
  CHECK(fixture.Node.waitingCount() == 1);
}
