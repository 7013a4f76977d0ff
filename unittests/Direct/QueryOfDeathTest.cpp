//===- QueryOfDeathTest.cpp - requests that crash endpoints ---------------===//
//
// Complete entries on virtual time. The tests limit the damage by a request
// that crashes every endpoint that runs it, and check that other requests are
// not quarantined.
//
//===----------------------------------------------------------------------===//

#include "Direct/MortalWorld.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::seconds;
using ::test::MortalSizes;
using ::test::MortalWorld;

static constexpr RequestDigest Killer(7);
static constexpr RequestDigest OtherKiller(8);
/// Time for reports to spread after the third crash, and the number of sends
/// allowed after that time.
static constexpr Duration NewsTime = seconds(3);
static constexpr std::size_t MostLateSends = 3;

/// Number of seeds of each test; manual runs use 60 or more.
static constexpr std::uint64_t Seeds = 10;

/// Returns the number of sends of \p request after the reports of its third
/// crash should have arrived.
static std::size_t lateSends(MortalWorld &world, RequestDigest request) {
  const std::vector<TimePoint> &deaths = world.deaths(request);
  if (deaths.size() < 3)
    return 0;
  TimePoint from = deaths[2] + NewsTime;
  const std::vector<TimePoint> &sent = world.arrivals(request);
  return std::count_if(sent.begin(), sent.end(),
                       [from](TimePoint it) { return it > from; });
}

TEST_CASE("a request that crashes endpoints is quarantined at all entries "
          "after a few crashes") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    MortalWorld world(seed, MortalSizes());
    world.run(seconds(3));
    world.addKiller(Killer, milliseconds(400));
    world.run(seconds(30));
    CHECK(world.deaths(Killer).size() >= 2);
    CHECK(world.deaths(Killer).size() <= 4);
    CHECK(lateSends(world, Killer) == 0);
    CHECK(world.innocentTold(ResultCode::RequestQuarantined) == 0);
    CHECK(world.killerTold(ResultCode::RequestQuarantined) > 30);
  }
}

TEST_CASE("no request is quarantined because endpoints crash in waves") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    MortalWorld world(seed, MortalSizes());
    world.run(seconds(3));
    world.addWave(7, seconds(16));
    world.run(seconds(20));
    world.addWave(12, seconds(8));
    world.run(seconds(20));
    CHECK(world.innocentTold(ResultCode::RequestQuarantined) == 0);
  }
}

TEST_CASE("two deadly requests, a wave of crashes and failing entries cost "
          "only a few sends") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    MortalSizes sizes;
    sizes.LostReports = 20;
    MortalWorld world(seed, sizes);
    world.run(seconds(2));
    world.addKiller(Killer, milliseconds(300));
    world.addKiller(OtherKiller, milliseconds(900));
    world.addWave(5, seconds(12));
    for (unsigned i = 0; i < 16; ++i) {
      world.run(milliseconds(1100));
      auto entry = unsigned(world.time().below(4));
      if (i % 3 == 0)
        world.killEntry(entry);
      else if (i % 3 == 1)
        world.freezeEntry(entry, milliseconds(1500));
    }
    world.run(seconds(10));
    CHECK(lateSends(world, Killer) <= MostLateSends);
    CHECK(lateSends(world, OtherKiller) <= MostLateSends);
    CHECK(world.innocentTold(ResultCode::RequestQuarantined) == 0);
  }
}

TEST_CASE("a quarantine outlives the entries that saw the crashes") {
  for (std::uint64_t seed = 1; seed <= Seeds / 2; ++seed) {
    CAPTURE(seed);
    MortalWorld world(seed, MortalSizes());
    world.addKiller(Killer, milliseconds(400));
    world.run(seconds(12));
    std::size_t before = world.deaths(Killer).size();
    CHECK(before >= 2);
    // One after the other, as in a rolling replacement.
    for (unsigned i = 0; i < 4; ++i) {
      world.killEntry(i);
      world.run(seconds(2));
    }
    world.run(seconds(10));
    CHECK(world.deaths(Killer).size() == before);
  }
}

TEST_CASE("entries without reports from each other quarantine a request on "
          "their own") {
  for (std::uint64_t seed = 1; seed <= Seeds / 2; ++seed) {
    CAPTURE(seed);
    MortalWorld world(seed, MortalSizes());
    world.cutReports(seconds(30));
    world.addKiller(Killer, milliseconds(400));
    world.run(seconds(30));
    CHECK(world.deaths(Killer).size() <= 16);
    world.run(seconds(10));
    CHECK(world.innocentTold(ResultCode::RequestQuarantined) == 0);
  }
}
