//===- EntryCostTest.cpp - an entry's cost in a large fleet ---------------===//
//
// What an entry does for a request, a report and a timer must not take longer
// the more entries report to it.
//
//===----------------------------------------------------------------------===//

#include "NodeFixture.h"

#include <chrono>
#include <functional>

using namespace test;
using std::chrono::milliseconds;

namespace {
/// An entry and the reports of the others, each about a few endpoints.
class ReportingFleet {
public:
  static constexpr unsigned Endpoints = 150;
  static constexpr unsigned RowsPerReport = 4;

  explicit ReportingFleet(unsigned entries)
      : Fixture(Endpoints, makeRoute(RequestKind::Repeatable, 2)),
        Entries(entries) {
    for (unsigned i = 0; i < entries; ++i)
      report(i);
  }

  void report(unsigned entry) {
    std::vector<EndpointLoad> loads;
    for (unsigned k = 0; k < RowsPerReport; ++k)
      loads.push_back(
          {Fixture.Listed[(entry * 7 + k) % Endpoints].Record.Id, 0, 100});
    Fixture.Node.setPeerLoad("n" + std::to_string(entry % Entries), loads,
                             Fixture.Now);
  }

  void request() {
    Fixture.call(++LastCall);
    Fixture.end(LastCall, AttemptEnd::Complete);
  }

  NodeFixture Fixture;

private:
  unsigned Entries;
  std::uint64_t LastCall = 0;
};
} // namespace

/// The shortest time of several rounds of \p operation.
static double shortestRound(const std::function<void(unsigned)> &operation) {
  constexpr unsigned Rounds = 12;
  constexpr unsigned Repeats = 100;
  double shortest = 1e9;
  for (unsigned round = 0; round < Rounds; ++round) {
    auto began = std::chrono::steady_clock::now();
    for (unsigned i = 0; i < Repeats; ++i)
      operation(i);
    std::chrono::duration<double> taken =
        std::chrono::steady_clock::now() - began;
    shortest = std::min(shortest, taken.count());
  }
  return shortest;
}

// Guards against loops over all entries, such as a sum of all their reports for
// each endpoint that a request may go to.
TEST_CASE("requests, reports and timers cost the same with many entries") {
  constexpr double MaxGrowth = 2;
  ReportingFleet small(52);
  ReportingFleet large(740);
  auto compare = [&](const char *name, auto operation) {
    CAPTURE(name);
    double few = shortestRound([&](unsigned i) { operation(small, i); });
    double many = shortestRound([&](unsigned i) { operation(large, i); });
    MESSAGE(name, ": ", many / few, " of the time with 14 times the entries");
    CHECK(many <= MaxGrowth * few);
  };
  compare("request", [](ReportingFleet &fleet, unsigned) { fleet.request(); });
  compare("report", [](ReportingFleet &fleet, unsigned i) { fleet.report(i); });
  compare("timer", [](ReportingFleet &fleet, unsigned) {
    fleet.Fixture.Node.onTimer(fleet.Fixture.Now);
  });
}

TEST_CASE("the sum of the others' reports follows each of them") {
  NodeFixture fixture(2, makeRoute(RequestKind::Repeatable, 2));
  const EndpointId id = fixture.Listed[0].Record.Id;
  auto running = [&](TimePoint now) {
    const EndpointTable &table = fixture.Node.endpointTable();
    return table.totalLoad(*table.find(id), now).Running;
  };
  TimePoint now = fixture.Now;
  fixture.Node.setPeerLoad("a", {{id, 3, 10}}, now);
  fixture.Node.setPeerLoad("b", {{id, 2, 10}}, now + milliseconds(500));
  CHECK(running(now + milliseconds(500)) == 5);
  fixture.Node.setPeerLoad("a", {{id, 1, 10}}, now + milliseconds(600));
  CHECK(running(now + milliseconds(600)) == 3);
  CHECK(fixture.Node.endpointTable().livePeers(now + milliseconds(600)) == 2);
  // The reports expire one after the other, with or without further input.
  CHECK(running(now + milliseconds(1500)) == 1);
  CHECK(running(now + milliseconds(1600)) == 0);
  CHECK(fixture.Node.endpointTable().livePeers(now + milliseconds(1500)) == 1);
  fixture.Node.onTimer(now + milliseconds(1500));
  CHECK(running(now + milliseconds(1500)) == 1);
  fixture.Node.setPeerLoad("b", {}, now + milliseconds(1550));
  CHECK(running(now + milliseconds(1550)) == 1);
  CHECK(running(now + milliseconds(1600)) == 0);
}

TEST_CASE("an endpoint that is listed late has the load that was reported "
          "before") {
  NodeFixture fixture(1, makeRoute(RequestKind::Repeatable, 2));
  EndpointId late("e1");
  fixture.Node.setPeerLoad("a", {{late, 2, 10}}, fixture.Now);
  fixture.add("e1");
  fixture.Node.setEndpoints(fixture.Listed);
  const EndpointTable &table = fixture.Node.endpointTable();
  CHECK(table.totalLoad(*table.find(late), fixture.Now).Running == 2);
  fixture.Node.setPeerLoad("a", {}, fixture.Now);
  CHECK(table.totalLoad(*table.find(late), fixture.Now).Running == 0);
}
