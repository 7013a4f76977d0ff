//===- ColdEndpointTest.cpp - cold endpoints across a fleet ---------------===//
//
// A cold endpoint fails under more requests than its service states. All
// entries together must keep within that, also while entries fail.
//
//===----------------------------------------------------------------------===//

#include "RateLimitedFleet.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using ospreyspur::test::FleetShape;
using ospreyspur::test::RateLimitedFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// What a cold endpoint bears, and the platform's bound on a second's requests.
static constexpr double PerSecond = 26;
static constexpr std::size_t MaxPerSecond = std::size_t(PerSecond * 1.5) + 5;
/// Until then all entries have read that the endpoint is cold.
static constexpr Duration ListDelay = milliseconds(300);
static constexpr Duration ColdTime = seconds(5);

static FleetShape makeShape(unsigned entries, double coldPerSecond) {
  FleetShape shape;
  shape.Entries = entries;
  shape.Endpoints = 3;
  shape.RequestsPerSecond = 450;
  shape.ColdRequestsPerSecond = coldPerSecond;
  return shape;
}

/// Fails some entries while the endpoint is cold.
static void failEntries(RateLimitedFleet &fleet, unsigned entries) {
  fleet.run(milliseconds(500));
  for (unsigned i = 0; i < entries; i += 4)
    fleet.kill(i);
  fleet.cut(1, seconds(3));
  fleet.freeze(entries / 2 + 1, milliseconds(700));
  fleet.run(milliseconds(1500));
  fleet.setStoreOut(milliseconds(800));
  for (unsigned i = 2; i < entries; i += 4)
    fleet.kill(i);
  fleet.run(ColdTime - milliseconds(2000));
}

// Guards against entries that send a cold endpoint its share of all requests.
TEST_CASE("all entries together keep within what a cold endpoint bears") {
  for (unsigned entries : {4U, 52U, 370U}) {
    CAPTURE(entries);
    RateLimitedFleet fleet(entries, makeShape(entries, PerSecond));
    fleet.run(seconds(1));
    fleet.makeCold(0, ColdTime);
    TimePoint from = fleet.now() + ListDelay;
    failEntries(fleet, entries);
    CHECK(fleet.mostWithin(0, seconds(1), from, true) <= MaxPerSecond);
  }
}

TEST_CASE("without a stated rate an endpoint gets its share of all requests") {
  RateLimitedFleet fleet(1, makeShape(4, 0));
  fleet.run(seconds(1));
  fleet.makeCold(0, ColdTime);
  TimePoint from = fleet.now() + ListDelay;
  fleet.run(seconds(2));
  CHECK(fleet.mostWithin(0, seconds(1), from, true) > MaxPerSecond);
}

TEST_CASE("an endpoint that is no longer cold gets its usual share again") {
  RateLimitedFleet fleet(3, makeShape(4, PerSecond));
  fleet.run(seconds(1));
  fleet.makeCold(0, seconds(2));
  fleet.run(seconds(3));
  TimePoint warm = fleet.now();
  fleet.run(seconds(2));
  CHECK(fleet.mostWithin(0, seconds(1), warm, true) > MaxPerSecond);
}

TEST_CASE("an endpoint whose drain ends counts as cold until its records can "
          "be trusted") {
  FleetConfig config;
  ServiceRule service{ServiceId("s"), 100, std::nullopt};
  service.ColdTime = seconds(3);
  service.ColdRequestsPerSecond = PerSecond;
  config.Services.emplace(ServiceId("s"), service);
  ListedEndpoint endpoint;
  endpoint.Record.Id = EndpointId("e");
  endpoint.Record.Service = ServiceId("s");
  endpoint.Record.ColdLeft = Duration::zero();
  IncarnationDigest id = digestIncarnation(endpoint.Record.Id);
  TimePoint now{seconds(100)};
  ColdEndpoints cold;
  cold.setEndpoints({endpoint}, config, now);
  CHECK_FALSE(cold.isNew(id, now));
  endpoint.IsDrained = true;
  cold.setEndpoints({endpoint}, config, now);
  CHECK_FALSE(cold.isCold(id));
  endpoint.IsDrained = false;
  cold.setEndpoints({endpoint}, config, now + seconds(20));
  CHECK(cold.isCold(id));
  cold.onTimer(now + seconds(22));
  CHECK(cold.isCold(id));
  cold.onTimer(now + seconds(23));
  CHECK_FALSE(cold.isCold(id));
}

// Guards against a limit that outlives its endpoint's record: the record of an
// endpoint may lapse in an outage of the store and return.
TEST_CASE(
    "a cold endpoint whose record vanishes and returns is not limited for "
    "longer than it is cold") {
  FleetConfig config;
  ServiceRule service{ServiceId("s"), 100, std::nullopt};
  service.ColdRequestsPerSecond = PerSecond;
  config.Services.emplace(ServiceId("s"), service);
  ListedEndpoint endpoint;
  endpoint.Record.Id = EndpointId("e");
  endpoint.Record.Service = ServiceId("s");
  endpoint.Record.ColdLeft = seconds(3);
  IncarnationDigest id = digestIncarnation(endpoint.Record.Id);
  TimePoint now{seconds(100)};
  ColdEndpoints cold;
  cold.setEndpoints({endpoint}, config, now);
  REQUIRE(cold.isCold(id));
  cold.setEndpoints({}, config, now + seconds(1));
  CHECK(cold.isEmpty());
  endpoint.Record.ColdLeft = Duration::zero();
  cold.setEndpoints({endpoint}, config, now + seconds(4));
  CHECK_FALSE(cold.isCold(id));
  CHECK(cold.hasCapacity(id, now + seconds(4)));
}

TEST_CASE("a new endpoint is a last choice at first") {
  FleetConfig config;
  config.Services.emplace(ServiceId("s"),
                          ServiceRule{ServiceId("s"), 100, std::nullopt});
  ListedEndpoint first;
  first.Record.Id = EndpointId("e1");
  first.Record.Service = ServiceId("s");
  ListedEndpoint second = first;
  second.Record.Id = EndpointId("e2");
  IncarnationDigest id = digestIncarnation(second.Record.Id);
  TimePoint now{seconds(100)};
  ColdEndpoints cold;
  cold.setEndpoints({first}, config, now);
  cold.setEndpoints({first, second}, config, now);
  CHECK_FALSE(cold.isNew(digestIncarnation(first.Record.Id), now));
  CHECK(cold.isNew(id, now));
  CHECK_FALSE(cold.isNew(id, now + ColdEndpoints::NewTime));
}
