//===- DirectReadPlannerTest.cpp - direct reads of silent agents' ranks ---===//
//
// The coordinator bypasses a few silent agents; a congested link of its own
// must not make it query the whole fleet.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/DirectReadPlanner.h"

#include <doctest/doctest.h>

#include <set>

using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
/// A coordinator of a group, with the fleet's list of endpoints.
class DirectReadSimulation {
public:
  explicit DirectReadSimulation(unsigned size) : Size(size) {}

  static TcpAddress addressOf(unsigned n) {
    return {boost::asio::ip::make_address_v4(0x0a000001 + n), 9000};
  }

  void reportAllBut(const std::set<unsigned> &silent) {
    for (unsigned rank = 0; rank < Size; ++rank)
      if (!silent.contains(rank))
        Planner.onAgentReport(rank, addressOf(rank), Now);
  }

  /// The reads during \p length while all agents but those of \p silent report.
  std::multiset<TcpAddress> collectReads(Duration length,
                                         const std::set<unsigned> &silent) {
    std::multiset<TcpAddress> out;
    for (TimePoint end = Now + length; Now < end; Now += milliseconds(50)) {
      reportAllBut(silent);
      for (const TcpAddress &it : Planner.take(Size, Now))
        out.insert(it);
    }
    return out;
  }

  unsigned Size;
  DirectReadPlanner Planner;
  TimePoint Now{seconds(100)};
};

std::set<unsigned> firstRanks(unsigned n) {
  std::set<unsigned> out;
  for (unsigned rank = 0; rank < n; ++rank)
    out.insert(rank);
  return out;
}
} // namespace

TEST_CASE("only the ranks of silent agents are read, each in turn") {
  DirectReadSimulation simulation(96);
  simulation.reportAllBut({});
  std::set<unsigned> silent = {3, 40, 41};
  auto reads = simulation.collectReads(seconds(3), silent);
  CHECK(reads.size() > 20);
  for (const TcpAddress &it : reads)
    CHECK((it == DirectReadSimulation::addressOf(3) ||
           it == DirectReadSimulation::addressOf(40) ||
           it == DirectReadSimulation::addressOf(41)));
  for (unsigned rank : silent)
    CHECK(reads.count(DirectReadSimulation::addressOf(rank)) > 5);
}

TEST_CASE("nothing is read while most agents are silent") {
  DirectReadSimulation simulation(96);
  simulation.reportAllBut({});
  auto reads = simulation.collectReads(seconds(10), firstRanks(96));
  CHECK(reads.empty());
  CHECK_FALSE(simulation.Planner.takeListQuery(96, simulation.Now));
}

TEST_CASE("a new coordinator reads a limited number of ranks per round") {
  DirectReadSimulation simulation(96);
  simulation.reportAllBut({});
  simulation.Now += seconds(1);
  simulation.Planner.lead(simulation.Now);
  auto reads = simulation.collectReads(seconds(1), firstRanks(96));
  CHECK(reads.size() >= 70);
  CHECK(reads.size() <= 96);
  // Every rank is read once before any is read again.
  CHECK(std::set<TcpAddress>(reads.begin(), reads.end()).size() ==
        reads.size());
  // After that time, members without contact are no longer read one by one.
  simulation.collectReads(seconds(2), firstRanks(96));
  CHECK(simulation.collectReads(seconds(5), firstRanks(96)).empty());
}

TEST_CASE("a rank that never reported is sought in the endpoint list") {
  DirectReadSimulation simulation(8);
  simulation.Planner.lead(simulation.Now);
  simulation.reportAllBut({7});
  simulation.Now += seconds(1);
  simulation.reportAllBut({7});
  CHECK(simulation.Planner.take(8, simulation.Now).empty());
  CHECK(simulation.Planner.takeListQuery(8, simulation.Now));
  CHECK_FALSE(
      simulation.Planner.takeListQuery(8, simulation.Now + milliseconds(200)));
  std::vector<TcpAddress> listed;
  for (unsigned n = 0; n < 16; ++n)
    listed.push_back(DirectReadSimulation::addressOf(n));
  simulation.Planner.setCandidates(listed);
  std::vector<TcpAddress> reads = simulation.Planner.take(8, simulation.Now);
  CHECK(reads.size() == 9);
  // Addresses of the other group are not queried again.
  for (unsigned n = 8; n < 16; ++n)
    simulation.Planner.onForeignAddress(DirectReadSimulation::addressOf(n));
  simulation.Now += seconds(1);
  simulation.reportAllBut({7});
  CHECK(simulation.Planner.take(8, simulation.Now) ==
        std::vector<TcpAddress>{DirectReadSimulation::addressOf(7)});
}
