//===- ReachPlannerTest.cpp - direct reads of silent agents' ranks --------===//
//
// The coordinator bypasses a few silent agents; a congested link of its own
// must not make it query the whole fleet.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/ReachPlanner.h"

#include <doctest/doctest.h>

#include <set>

using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
/// A coordinator of a group, with the fleet's list of endpoints.
class ReachWorld {
public:
  explicit ReachWorld(unsigned size) : Size(size) {}

  static TcpAddress addressOf(unsigned n) {
    return {boost::asio::ip::make_address_v4(0x0a000001 + n), 9000};
  }

  void hearAllBut(const std::set<unsigned> &silent) {
    for (unsigned rank = 0; rank < Size; ++rank)
      if (!silent.contains(rank))
        Reach.onHeard(rank, addressOf(rank), Now);
  }

  /// The reads during \p length while all agents but those of \p silent report.
  std::multiset<TcpAddress> readsOf(Duration length,
                                    const std::set<unsigned> &silent) {
    std::multiset<TcpAddress> out;
    for (TimePoint end = Now + length; Now < end; Now += milliseconds(50)) {
      hearAllBut(silent);
      for (const TcpAddress &it : Reach.take(Size, Now))
        out.insert(it);
    }
    return out;
  }

  unsigned Size;
  ReachPlanner Reach;
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
  ReachWorld world(96);
  world.hearAllBut({});
  std::set<unsigned> silent = {3, 40, 41};
  auto reads = world.readsOf(seconds(3), silent);
  CHECK(reads.size() > 20);
  for (const TcpAddress &it : reads)
    CHECK((it == ReachWorld::addressOf(3) || it == ReachWorld::addressOf(40) ||
           it == ReachWorld::addressOf(41)));
  for (unsigned rank : silent)
    CHECK(reads.count(ReachWorld::addressOf(rank)) > 5);
}

TEST_CASE("nothing is read while most agents are silent") {
  ReachWorld world(96);
  world.hearAllBut({});
  auto reads = world.readsOf(seconds(10), firstRanks(96));
  CHECK(reads.empty());
  CHECK_FALSE(world.Reach.takeListQuestion(96, world.Now));
}

TEST_CASE("a new coordinator reads a limited number of ranks per round") {
  ReachWorld world(96);
  world.hearAllBut({});
  world.Now += seconds(1);
  world.Reach.lead(world.Now);
  auto reads = world.readsOf(seconds(1), firstRanks(96));
  CHECK(reads.size() >= 70);
  CHECK(reads.size() <= 96);
  // Every rank is read once before any is read again.
  CHECK(std::set<TcpAddress>(reads.begin(), reads.end()).size() ==
        reads.size());
  // After that time, members without contact are no longer read one by one.
  world.readsOf(seconds(2), firstRanks(96));
  CHECK(world.readsOf(seconds(5), firstRanks(96)).empty());
}

TEST_CASE("a rank that never reported is sought in the endpoint list") {
  ReachWorld world(8);
  world.Reach.lead(world.Now);
  world.hearAllBut({7});
  world.Now += seconds(1);
  world.hearAllBut({7});
  CHECK(world.Reach.take(8, world.Now).empty());
  CHECK(world.Reach.takeListQuestion(8, world.Now));
  CHECK_FALSE(world.Reach.takeListQuestion(8, world.Now + milliseconds(200)));
  std::vector<TcpAddress> listed;
  for (unsigned n = 0; n < 16; ++n)
    listed.push_back(ReachWorld::addressOf(n));
  world.Reach.setCandidates(listed);
  std::vector<TcpAddress> reads = world.Reach.take(8, world.Now);
  CHECK(reads.size() == 9);
  // Addresses of the other group are not queried again.
  for (unsigned n = 8; n < 16; ++n)
    world.Reach.onOther(ReachWorld::addressOf(n));
  world.Now += seconds(1);
  world.hearAllBut({7});
  CHECK(world.Reach.take(8, world.Now) ==
        std::vector<TcpAddress>{ReachWorld::addressOf(7)});
}
