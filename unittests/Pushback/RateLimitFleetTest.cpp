//===- RateLimitFleetTest.cpp - named rates and a whole fleet -------------===//
//
// Entries on virtual time before endpoints that name a rate. The sum of what
// all entries send must keep it with more entries than it has places, whatever
// becomes of the entries.
//
//===----------------------------------------------------------------------===//

#include "NeedyFleet.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using ospreyspur::test::FleetShape;
using ospreyspur::test::NeedyFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr std::uint64_t Seeds = 8;
static constexpr Duration Window = seconds(4);
/// Until all entries that send there have heard of a rate.
static constexpr Duration SettleTime = milliseconds(600);

/// What one holder more than usual may add: entries' views of the fleet differ
/// for a while when one of them ends or is cut off.
static std::size_t allowed(double perSecond) {
  return std::size_t(1.5 * perSecond * 4) + 5;
}

/// The rate and one request of each holder.
static std::size_t planned(double perSecond) {
  return std::size_t(perSecond * 4 + std::max(1.0, perSecond)) + 1;
}

// Twenty entries that each kept to the rate would send twenty times as much.
TEST_CASE("more entries than a rate has places keep it together") {
  for (double rate : {0.5, 1.0, 2.5, 8.0}) {
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
      CAPTURE(rate);
      CAPTURE(seed);
      NeedyFleet fleet(seed);
      fleet.run(seconds(3));
      fleet.name(0, rate);
      TimePoint from = fleet.now() + SettleTime;
      fleet.run(seconds(20));
      CHECK(fleet.mostWithin(0, Window, from, true) <= planned(rate));
      // It is not left out either.
      CHECK(fleet.mostWithin(0, seconds(18), from, true) >=
            std::size_t(rate * 18 / 2));
      CHECK(fleet.outcomes().Refused.empty());
    }
  }
}

TEST_CASE("a rate that falls, rises and is named no more is followed") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    NeedyFleet fleet(seed);
    fleet.run(seconds(3));
    fleet.name(0, 6);
    fleet.run(seconds(6));
    fleet.name(0, 1);
    TimePoint fell = fleet.now() + milliseconds(1500);
    fleet.run(seconds(8));
    CHECK(fleet.mostWithin(0, Window, fell, true) <= planned(1));
    fleet.name(0, 4);
    TimePoint rose = fleet.now();
    fleet.run(seconds(8));
    CHECK(fleet.mostWithin(0, Window, rose, true) <= planned(4));
    CHECK(fleet.mostWithin(0, Window, rose, true) >= 8);
    fleet.name(0, std::nullopt);
    fleet.run(seconds(3));
    TimePoint lifted = fleet.now();
    fleet.run(seconds(3));
    // A sixth of all requests.
    CHECK(fleet.mostWithin(0, seconds(2), lifted, true) >= 25);
    for (unsigned i = 0; i < 20; ++i)
      CHECK(fleet.node(i).rates().limitedCount() == 0);
  }
}

TEST_CASE("a rate holds while entries are killed, frozen and cut off and the "
          "store is away") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    NeedyFleet fleet(seed);
    fleet.run(seconds(3));
    fleet.name(0, 1);
    fleet.name(1, 3);
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
    CHECK(fleet.mostWithin(0, Window, from) <= allowed(1));
    CHECK(fleet.mostWithin(1, Window, from) <= allowed(3));
    CHECK(fleet.arrivals(0).size() >= 15);
  }
}

TEST_CASE("entries that hear nothing of each other do not try a limited "
          "endpoint together") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    NeedyFleet fleet(seed);
    fleet.run(seconds(3));
    fleet.name(0, 1);
    fleet.run(seconds(2));
    TimePoint from = fleet.now();
    for (unsigned i = 0; i < 20; ++i)
      fleet.cut(i, seconds(60));
    fleet.run(seconds(60));
    CHECK(fleet.mostWithin(0, Window, from, true) <= allowed(1));
  }
}

TEST_CASE("an endpoint whose holder has no requests is tried by another") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    NeedyFleet fleet(seed);
    fleet.run(seconds(3));
    fleet.name(0, 1);
    fleet.run(seconds(2));
    // Two entries get all requests; with this seed or that neither holds it.
    fleet.useEntries(2);
    fleet.name(0, std::nullopt);
    fleet.run(seconds(60));
    TimePoint from = fleet.now();
    fleet.run(seconds(3));
    CHECK(fleet.mostWithin(0, seconds(2), from, true) >= 25);
  }
}

TEST_CASE("with all endpoints limited the rest is refused at once and returns "
          "spread") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    FleetShape shape;
    shape.Entries = 5;
    NeedyFleet fleet(seed, shape);
    fleet.run(seconds(3));
    for (unsigned i = 0; i < shape.Endpoints; ++i)
      fleet.name(i, 5);
    fleet.run(seconds(2));
    test::FleetOutcomes before = fleet.outcomes();
    fleet.run(seconds(10));
    const test::FleetOutcomes &after = fleet.outcomes();
    // Thirty a second.
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
    // The middle half of them spans a third of their median or more.
    Duration span =
        returns[returns.size() * 3 / 4] - returns[returns.size() / 4];
    CHECK(span * 3 >= returns[returns.size() / 2]);
  }
}

// Callers keep their connections, so entries that restarted have none for a
// while. What such entries may send was lost to the callers of the others.
TEST_CASE("entries without callers keep no part of a rate from the others") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    FleetShape shape;
    NeedyFleet fleet(seed, shape);
    fleet.useEntries(1);
    fleet.run(seconds(5));
    for (unsigned i = 0; i < shape.Endpoints; ++i)
      fleet.name(i, 5);
    fleet.run(seconds(2));
    TimePoint from = fleet.now();
    unsigned before = fleet.outcomes().Served;
    fleet.run(seconds(10));
    // Thirty a second.
    CHECK(fleet.outcomes().Served - before >= 240);
    for (unsigned i = 0; i < shape.Endpoints; ++i)
      CHECK(fleet.mostWithin(i, Window, from, true) <= planned(5));
  }
}

TEST_CASE("a rate that is named no more is noticed though its holders have no "
          "callers") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    FleetShape shape;
    NeedyFleet fleet(seed, shape);
    fleet.useEntries(1);
    fleet.run(seconds(5));
    for (unsigned i = 0; i < shape.Endpoints; ++i)
      fleet.name(i, 1);
    fleet.run(seconds(3));
    for (unsigned i = 0; i < shape.Endpoints; ++i)
      fleet.name(i, std::nullopt);
    fleet.run(seconds(3));
    unsigned before = fleet.outcomes().Served;
    fleet.run(seconds(1));
    CHECK(fleet.outcomes().Served - before >= 90);
  }
}

TEST_CASE("a rate holds while callers move from some entries to others") {
  constexpr double Rate = 2;
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    FleetShape shape;
    NeedyFleet fleet(seed, shape);
    fleet.useEntries(2);
    fleet.run(seconds(3));
    fleet.name(0, Rate);
    TimePoint from = fleet.now() + SettleTime;
    for (unsigned i = 0; i < 12; ++i) {
      bool isCrowd = i % 3 == 2;
      fleet.useEntries(isCrowd ? shape.Entries : 1 + i % 3, i * 7);
      fleet.run(milliseconds(i % 2 == 0 ? 4500 : 1200));
    }
    CHECK(fleet.mostWithin(0, Window, from, true) <= allowed(Rate));
  }
}

TEST_CASE("entries that are cut off take no part that another one left") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    FleetShape shape;
    NeedyFleet fleet(seed, shape);
    fleet.useEntries(1);
    fleet.run(seconds(3));
    fleet.name(0, 1);
    fleet.run(seconds(5));
    TimePoint from = fleet.now();
    for (unsigned i = 0; i < shape.Entries; ++i)
      fleet.cut(i, seconds(30));
    fleet.useEntries(shape.Entries);
    fleet.run(seconds(30));
    CHECK(fleet.mostWithin(0, Window, from, true) <= allowed(1));
  }
}
