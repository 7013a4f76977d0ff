//===- QueryOfDeathTest.cpp - requests that crash endpoints ---------------===//
//
// Complete entries on virtual time. The tests limit the damage by a request
// that crashes every endpoint that runs it, and check that other requests are
// not quarantined.
//
//===----------------------------------------------------------------------===//

#include "Direct/CrashSimulation.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::seconds;
using ::test::CrashSimulation;
using ::test::CrashSimulationOptions;

static constexpr RequestDigest DeadlyRequest(7);
static constexpr RequestDigest OtherDeadlyRequest(8);
/// Time for reports to spread after the third crash, and the number of sends
/// allowed after that time.
static constexpr Duration ReportTime = seconds(3);
static constexpr std::size_t MaxLateSends = 3;

/// Number of seeds of each test; manual runs use 60 or more.
static constexpr std::uint64_t Seeds = 10;

/// Returns the number of sends of \p request after the reports of its third
/// crash should have arrived.
static std::size_t lateSends(CrashSimulation &simulation,
                             RequestDigest request) {
  const std::vector<TimePoint> &crashTimes = simulation.crashTimes(request);
  if (crashTimes.size() < 3)
    return 0;
  TimePoint from = crashTimes[2] + ReportTime;
  const std::vector<TimePoint> &sent = simulation.arrivals(request);
  return std::count_if(sent.begin(), sent.end(),
                       [from](TimePoint it) { return it > from; });
}

TEST_CASE("a request that crashes endpoints is quarantined at all entries "
          "after a few crashes") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    CrashSimulation simulation(seed, CrashSimulationOptions());
    simulation.run(seconds(3));
    simulation.addDeadlyRequest(DeadlyRequest, milliseconds(400));
    simulation.run(seconds(30));
    CHECK(simulation.crashTimes(DeadlyRequest).size() >= 2);
    CHECK(simulation.crashTimes(DeadlyRequest).size() <= 4);
    CHECK(lateSends(simulation, DeadlyRequest) == 0);
    CHECK(simulation.harmlessResults(ResultCode::RequestQuarantined) == 0);
    CHECK(simulation.deadlyResults(ResultCode::RequestQuarantined) > 30);
  }
}

TEST_CASE("no request is quarantined because endpoints crash in waves") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    CrashSimulation simulation(seed, CrashSimulationOptions());
    simulation.run(seconds(3));
    simulation.addCrashWave(7, seconds(16));
    simulation.run(seconds(20));
    simulation.addCrashWave(12, seconds(8));
    simulation.run(seconds(20));
    CHECK(simulation.harmlessResults(ResultCode::RequestQuarantined) == 0);
  }
}

TEST_CASE("two deadly requests, a wave of crashes and failing entries cost "
          "only a few sends") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    CrashSimulationOptions sizes;
    sizes.LostReports = 20;
    CrashSimulation simulation(seed, sizes);
    simulation.run(seconds(2));
    simulation.addDeadlyRequest(DeadlyRequest, milliseconds(300));
    simulation.addDeadlyRequest(OtherDeadlyRequest, milliseconds(900));
    simulation.addCrashWave(5, seconds(12));
    for (unsigned i = 0; i < 16; ++i) {
      simulation.run(milliseconds(1100));
      auto entry = unsigned(simulation.time().below(4));
      if (i % 3 == 0)
        simulation.killEntry(entry);
      else if (i % 3 == 1)
        simulation.freezeEntry(entry, milliseconds(1500));
    }
    simulation.run(seconds(10));
    CHECK(lateSends(simulation, DeadlyRequest) <= MaxLateSends);
    CHECK(lateSends(simulation, OtherDeadlyRequest) <= MaxLateSends);
    CHECK(simulation.harmlessResults(ResultCode::RequestQuarantined) == 0);
  }
}

TEST_CASE("a quarantine outlives the entries that saw the crashes") {
  for (std::uint64_t seed = 1; seed <= Seeds / 2; ++seed) {
    CAPTURE(seed);
    CrashSimulation simulation(seed, CrashSimulationOptions());
    simulation.addDeadlyRequest(DeadlyRequest, milliseconds(400));
    simulation.run(seconds(12));
    std::size_t before = simulation.crashTimes(DeadlyRequest).size();
    CHECK(before >= 2);
    // One after the other, as in a rolling replacement.
    for (unsigned i = 0; i < 4; ++i) {
      simulation.killEntry(i);
      simulation.run(seconds(2));
    }
    simulation.run(seconds(10));
    CHECK(simulation.crashTimes(DeadlyRequest).size() == before);
  }
}

TEST_CASE("entries without reports from each other quarantine a request on "
          "their own") {
  for (std::uint64_t seed = 1; seed <= Seeds / 2; ++seed) {
    CAPTURE(seed);
    CrashSimulation simulation(seed, CrashSimulationOptions());
    simulation.cutReports(seconds(30));
    simulation.addDeadlyRequest(DeadlyRequest, milliseconds(400));
    simulation.run(seconds(30));
    CHECK(simulation.crashTimes(DeadlyRequest).size() <= 16);
    simulation.run(seconds(10));
    CHECK(simulation.harmlessResults(ResultCode::RequestQuarantined) == 0);
  }
}
