//===- RateLimitFleetTest.cpp - rate limits across a fleet of entries -----===//
//
// Simulates entries and endpoints with rate limits on virtual time. All entries
// together must keep within a limit, even if there are more entries than
// requests per second, and while entries fail.
//
//===----------------------------------------------------------------------===//

#include "RateLimitedFleet.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using ospreyspur::test::FleetShape;
using ospreyspur::test::RateLimitedFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr std::uint64_t Seeds = 8;
static constexpr Duration Window = seconds(4);
/// Time until all entries that send to an endpoint have received its rate
/// limit.
static constexpr Duration SettleTime = milliseconds(600);

/// The most requests in a window with one additional rate limit owner: entries'
/// membership views differ for a while when an entry exits or is partitioned
/// from the others.
static std::size_t maxWithExtraOwner(double perSecond) {
  return std::size_t(1.5 * perSecond * 4) + 5;
}

/// The most requests in a window: the rate limit and one request of each rate
/// limit owner.
static std::size_t maxWithUsualOwners(double perSecond) {
  return std::size_t(perSecond * 4 + std::max(1.0, perSecond)) + 1;
}

// Guards against entries that each apply the whole limit: twenty entries would
// send twenty times as much.
TEST_CASE("more entries than requests per second keep within a rate limit") {
  for (double rate : {0.5, 1.0, 2.5, 8.0}) {
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
      CAPTURE(rate);
      CAPTURE(seed);
      RateLimitedFleet fleet(seed);
      fleet.run(seconds(3));
      fleet.advertise(0, rate);
      TimePoint from = fleet.now() + SettleTime;
      fleet.run(seconds(20));
      CHECK(fleet.mostWithin(0, Window, from, true) <=
            maxWithUsualOwners(rate));
      // The endpoint still gets at least half of its limit.
      CHECK(fleet.mostWithin(0, seconds(18), from, true) >=
            std::size_t(rate * 18 / 2));
      CHECK(fleet.outcomes().Refused.empty());
    }
  }
}

TEST_CASE("entries follow a rate limit that is lowered, raised and lifted") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    RateLimitedFleet fleet(seed);
    fleet.run(seconds(3));
    fleet.advertise(0, 6);
    fleet.run(seconds(6));
    fleet.advertise(0, 1);
    TimePoint fell = fleet.now() + milliseconds(1500);
    fleet.run(seconds(8));
    CHECK(fleet.mostWithin(0, Window, fell, true) <= maxWithUsualOwners(1));
    fleet.advertise(0, 4);
    TimePoint rose = fleet.now();
    fleet.run(seconds(8));
    CHECK(fleet.mostWithin(0, Window, rose, true) <= maxWithUsualOwners(4));
    CHECK(fleet.mostWithin(0, Window, rose, true) >= 8);
    fleet.advertise(0, std::nullopt);
    fleet.run(seconds(3));
    TimePoint lifted = fleet.now();
    fleet.run(seconds(3));
    // The endpoint's share is a sixth of all requests.
    CHECK(fleet.mostWithin(0, seconds(2), lifted, true) >= 25);
    for (unsigned i = 0; i < 20; ++i)
      CHECK(fleet.node(i).rates().limitedCount() == 0);
  }
}

TEST_CASE("a rate limit is kept while entries are killed, frozen and "
          "partitioned during an outage of the key-value store") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    RateLimitedFleet fleet(seed);
    fleet.run(seconds(3));
    fleet.advertise(0, 1);
    fleet.advertise(1, 3);
    TimePoint from = fleet.now() + seconds(1);
    fleet.run(seconds(3));
    fleet.setStoreOut(seconds(12));
    for (unsigned i = 0; i < 8; ++i) {
      fleet.kill(i);
      fleet.run(milliseconds(400));
    }
    fleet.freeze(9, seconds(4));
    fleet.cut(10, seconds(6));
    fleet.cut(11, seconds(16));
    fleet.freeze(12, seconds(9));
    fleet.run(seconds(8));
    for (unsigned i = 0; i < 20; i += 2)
      fleet.kill(i);
    fleet.run(seconds(14));
    CHECK(fleet.mostWithin(0, Window, from) <= maxWithExtraOwner(1));
    CHECK(fleet.mostWithin(1, Window, from) <= maxWithExtraOwner(3));
    CHECK(fleet.arrivals(0).size() >= 15);
  }
}

TEST_CASE("entries that receive no reports of each other do not all try a "
          "limited endpoint at once") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    RateLimitedFleet fleet(seed);
    fleet.run(seconds(3));
    fleet.advertise(0, 1);
    fleet.run(seconds(2));
    TimePoint from = fleet.now();
    for (unsigned i = 0; i < 20; ++i)
      fleet.cut(i, seconds(60));
    fleet.run(seconds(60));
    CHECK(fleet.mostWithin(0, Window, from, true) <= maxWithExtraOwner(1));
  }
}

TEST_CASE("an endpoint whose rate limit owners have no requests is tried by "
          "other entries") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    RateLimitedFleet fleet(seed);
    fleet.run(seconds(3));
    fleet.advertise(0, 1);
    fleet.run(seconds(2));
    // Two entries get all requests; with some seeds neither of them is an owner
    // of the limit.
    fleet.useEntries(2);
    fleet.advertise(0, std::nullopt);
    fleet.run(seconds(60));
    TimePoint from = fleet.now();
    fleet.run(seconds(3));
    CHECK(fleet.mostWithin(0, seconds(2), from, true) >= 25);
  }
}

TEST_CASE("requests beyond the rate limits of all endpoints are refused soon, "
          "with varied Retry-After times") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    FleetShape shape;
    shape.Entries = 5;
    RateLimitedFleet fleet(seed, shape);
    fleet.run(seconds(3));
    for (unsigned i = 0; i < shape.Endpoints; ++i)
      fleet.advertise(i, 5);
    fleet.run(seconds(2));
    test::FleetOutcomes before = fleet.outcomes();
    fleet.run(seconds(10));
    const test::FleetOutcomes &after = fleet.outcomes();
    // All limits together allow thirty requests per second.
    CHECK(after.Served - before.Served >= 240);
    CHECK(after.Served - before.Served <= 340);
    CHECK(after.Refused.size() == 1);
    CHECK(after.Refused.contains(ResultCode::RateLimited));
    CHECK(after.LongestRefusal <= milliseconds(1700));
    std::vector<Duration> returns(after.RetryAfters.begin() +
                                      std::ptrdiff_t(before.RetryAfters.size()),
                                  after.RetryAfters.end());
    REQUIRE(returns.size() >= 500);
    std::sort(returns.begin(), returns.end());
    // The interquartile range is at least a third of the median.
    Duration span =
        returns[returns.size() * 3 / 4] - returns[returns.size() / 4];
    CHECK(span * 3 >= returns[returns.size() / 2]);
  }
}

// Guards against shares of a limit that go unused: callers keep their
// connections, so restarted entries have no callers for a while, and callers of
// other entries could not use the shares of these entries.
TEST_CASE("entries without callers take no share of a rate limit") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    FleetShape shape;
    RateLimitedFleet fleet(seed, shape);
    fleet.useEntries(1);
    fleet.run(seconds(5));
    for (unsigned i = 0; i < shape.Endpoints; ++i)
      fleet.advertise(i, 5);
    fleet.run(seconds(2));
    TimePoint from = fleet.now();
    unsigned before = fleet.outcomes().Served;
    fleet.run(seconds(10));
    // All limits together allow thirty requests per second.
    CHECK(fleet.outcomes().Served - before >= 240);
    for (unsigned i = 0; i < shape.Endpoints; ++i)
      CHECK(fleet.mostWithin(i, Window, from, true) <= maxWithUsualOwners(5));
  }
}

TEST_CASE("a lifted rate limit is noticed even if its owners have no "
          "callers") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    FleetShape shape;
    RateLimitedFleet fleet(seed, shape);
    fleet.useEntries(1);
    fleet.run(seconds(5));
    for (unsigned i = 0; i < shape.Endpoints; ++i)
      fleet.advertise(i, 1);
    fleet.run(seconds(3));
    for (unsigned i = 0; i < shape.Endpoints; ++i)
      fleet.advertise(i, std::nullopt);
    fleet.run(seconds(3));
    unsigned before = fleet.outcomes().Served;
    fleet.run(seconds(1));
    CHECK(fleet.outcomes().Served - before >= 90);
  }
}

TEST_CASE("a rate limit is kept while callers switch between entries") {
  constexpr double Rate = 2;
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    FleetShape shape;
    RateLimitedFleet fleet(seed, shape);
    fleet.useEntries(2);
    fleet.run(seconds(3));
    fleet.advertise(0, Rate);
    TimePoint from = fleet.now() + SettleTime;
    for (unsigned i = 0; i < 12; ++i) {
      bool usesAllEntries = i % 3 == 2;
      fleet.useEntries(usesAllEntries ? shape.Entries : 1 + i % 3, i * 7);
      fleet.run(milliseconds(i % 2 == 0 ? 4500 : 1200));
    }
    CHECK(fleet.mostWithin(0, Window, from, true) <= maxWithExtraOwner(Rate));
  }
}

TEST_CASE("partitioned entries do not take over another entry's share of a "
          "rate limit") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    FleetShape shape;
    RateLimitedFleet fleet(seed, shape);
    fleet.useEntries(1);
    fleet.run(seconds(3));
    fleet.advertise(0, 1);
    fleet.run(seconds(5));
    TimePoint from = fleet.now();
    for (unsigned i = 0; i < shape.Entries; ++i)
      fleet.cut(i, seconds(30));
    fleet.useEntries(shape.Entries);
    fleet.run(seconds(30));
    CHECK(fleet.mostWithin(0, Window, from, true) <= maxWithExtraOwner(1));
  }
}

/// Of the requests that an entry takes while it gets all callers, at least this
/// part must be served compared with the time before.
static constexpr double LeastServedPart = 0.75;
/// Time in which the fleet may adapt to callers that have moved.
static constexpr Duration AdaptTime = seconds(3);

// Guards against shares by entry that leave an entry too little when most
// callers connect to it: rate limits, queues and places.
TEST_CASE("an entry that suddenly gets all callers serves them as the fleet "
          "did") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    for (unsigned entries : {6U, 20U}) {
      CAPTURE(seed);
      CAPTURE(entries);
      RateLimitedFleet fleet(seed, {entries, 6, 120, 0});
      for (unsigned i = 0; i < 3; ++i)
        fleet.advertise(i, 12.0);
      fleet.run(seconds(5));
      unsigned before = fleet.outcomes().Served;
      fleet.run(seconds(4));
      unsigned served = fleet.outcomes().Served - before;
      // One entry after the other gets all callers, as the first is taken out.
      for (unsigned first : {1U, 4U}) {
        fleet.useEntries(1, first);
        fleet.run(AdaptTime);
        before = fleet.outcomes().Served;
        fleet.run(seconds(4));
        CHECK(fleet.outcomes().Served - before >= LeastServedPart * served);
      }
    }
  }
}
