//===- GossipBench.cpp - speed and cost of gossip -------------------------===//
//
// Drives the shipped GossipNodes of a whole fleet on virtual time. Links take
// up to 3 ms. The real codec determines message sizes.
//
//===----------------------------------------------------------------------===//

#include "GossipBench.h"

#include "Config/GossipWorld.h"

#include "ospreyspur/Rpc/Codec.h"

#include "generated/peer.pb.h"

#include <algorithm>
#include <cstdio>
#include <ctime>

using namespace ospreyspur;
using namespace ospreyspur::test;
using std::chrono::seconds;

static constexpr FleetShape Fleet{6, 100, 62};
static constexpr std::size_t ConfigBytes = 172000;
static constexpr Duration MaxWait = seconds(60);

namespace {
/// Platform calls, messages and bytes of the fleet since construction.
class TrafficMeter {
public:
  explicit TrafficMeter(GossipWorld &world)
      : World(world), Began(world.Scheduler.now()), Calls(world.PlatformCalls) {
    for (const GossipWorld::Node &it : world.Nodes)
      Before.push_back({it.BytesOut, it.MessagesOut});
  }

  void print(const char *name) const {
    double span =
        std::chrono::duration<double>(World.Scheduler.now() - Began).count();
    std::size_t most = 0;
    std::size_t mostMessages = 0;
    std::size_t sum = 0;
    for (std::size_t i = 0; i < Before.size(); ++i) {
      std::size_t bytes = World.Nodes[i].BytesOut - Before[i].first;
      most = std::max(most, bytes);
      sum += bytes;
      mostMessages =
          std::max(mostMessages, World.Nodes[i].MessagesOut - Before[i].second);
    }
    std::printf("%s, %.1f s: platform calls %.1f/s; sent per node: mean %.0f "
                "B/s, max %.0f B/s (%zu B in total), max messages %.1f/s\n",
                name, span, double(World.PlatformCalls - Calls) / span,
                double(sum) / double(Before.size()) / span, double(most) / span,
                most, double(mostMessages) / span);
  }

private:
  GossipWorld &World;
  TimePoint Began;
  std::size_t Calls;
  std::vector<std::pair<std::size_t, std::size_t>> Before;
};

/// A fleet after 10 s of startup, with message sizes from the codec.
class BenchFleet : public GossipWorld {
public:
  BenchFleet(unsigned lossPercent, unsigned latePercent)
      : GossipWorld(1, Fleet, lossPercent, latePercent) {
    SizeOf = [](const GossipMessage &message) {
      wire::Message out;
      std::visit([&](const auto &it) { encode(it, out); }, message);
      return out.ByteSizeLong();
    };
    run(seconds(10));
  }

  void run(Duration span) { Scheduler.runUntil(Scheduler.now() + span); }

  /// Writes a configuration and waits until it is in force.
  void change(const char *name) {
    TrafficMeter meter(*this);
    std::string value(ConfigBytes, static_cast<char>('a' + ++Changes));
    Revision at = write(SharedKey::Config, value);
    Duration span = awaitInForce(SharedKey::Config, at, MaxWait);
    std::printf("%s: in force on all nodes after %.2f s\n", name,
                std::chrono::duration<double>(span).count());
    meter.print("  the change");
  }

private:
  int Changes = 0;
};
} // namespace

void bench::benchGossip() {
  {
    BenchFleet world(0, 0);
    std::printf("%zu nodes in %zu data centres\n", world.Nodes.size(),
                Fleet.DataCentres);
    TrafficMeter idle(world);
    auto cpu = std::clock();
    world.run(seconds(60));
    double spent = double(std::clock() - cpu) / CLOCKS_PER_SEC;
    idle.print("idle");
    std::printf(
        "  decisions and encoding of sizes: %.4f%% of a core per node\n",
        100 * spent / 60 / double(world.Nodes.size()));
    world.change("no faults");
    for (std::size_t it : world.findWatchers(1))
      world.kill(it);
    world.change("both watchers of a data centre just killed");
    world.cutFromPlatform(2, seconds(600));
    world.change("a data centre just cut off from the platform");
    world.run(seconds(30));
    for (std::size_t d : {0, 1, 2})
      world.cutFromPlatform(d, seconds(600));
    world.change("a region cut off from the platform");
    TrafficMeter outage(world);
    world.setOutage(seconds(60));
    world.run(seconds(60));
    outage.print("platform outage of a minute");
    world.change("platform outage just over");
  }
  {
    BenchFleet world(1, 5);
    world.change("1% of messages lost, 1% duplicated, 5% up to 0.9 s late");
  }
  {
    // The agents of a data centre leave the host list one by one in a minute.
    BenchFleet world(0, 0);
    TrafficMeter meter(world);
    std::vector<std::size_t> gone;
    for (std::size_t i = 0; i < Fleet.Agents; ++i) {
      gone.push_back(i);
      world.kill(i);
      world.writeHosts(gone);
      world.run(std::chrono::milliseconds(600));
    }
    meter.print("agents of a data centre removed, 100 host lists in a minute");
  }
}
