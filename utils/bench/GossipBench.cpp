//===- GossipBench.cpp - speed and cost of gossip -------------------------===//
//
// Drives the shipped GossipNodes of a whole fleet on virtual time. Links take
// up to 3 ms. The real codec determines message sizes.
//
//===----------------------------------------------------------------------===//

#include "GossipBench.h"

#include "Config/GossipSimulation.h"

#include "ospreyspur/Control/DirectControl.h"
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
  explicit TrafficMeter(GossipSimulation &simulation)
      : Simulation(simulation), Began(simulation.Scheduler.now()),
        Calls(simulation.PlatformCalls) {
    for (const GossipSimulation::Node &it : simulation.Nodes)
      Before.push_back({it.BytesOut, it.MessagesOut});
  }

  void print(const char *name) const {
    double span =
        std::chrono::duration<double>(Simulation.Scheduler.now() - Began)
            .count();
    std::size_t most = 0;
    std::size_t mostMessages = 0;
    std::size_t sum = 0;
    for (std::size_t i = 0; i < Before.size(); ++i) {
      std::size_t bytes = Simulation.Nodes[i].BytesOut - Before[i].first;
      most = std::max(most, bytes);
      sum += bytes;
      mostMessages = std::max(mostMessages, Simulation.Nodes[i].MessagesOut -
                                                Before[i].second);
    }
    std::printf("%s, %.1f s: platform calls %.1f/s; sent per node: mean %.0f "
                "B/s, max %.0f B/s (%zu B in total), max messages %.1f/s\n",
                name, span, double(Simulation.PlatformCalls - Calls) / span,
                double(sum) / double(Before.size()) / span, double(most) / span,
                most, double(mostMessages) / span);
  }

private:
  GossipSimulation &Simulation;
  TimePoint Began;
  std::size_t Calls;
  std::vector<std::pair<std::size_t, std::size_t>> Before;
};

/// A fleet after 10 s of startup, with message sizes from the codec.
class BenchFleet : public GossipSimulation {
public:
  BenchFleet(unsigned lossPercent, unsigned latePercent,
             FleetShape shape = Fleet, GossipLimits limits = GossipLimits())
      : GossipSimulation(1, shape, lossPercent, latePercent, limits) {
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

/// Entries of the direct path in \p shape: idle, with their watchers killed,
/// and in an outage of the store.
static void benchEntries(FleetShape shape) {
  BenchFleet simulation(0, 0, shape, makeDirectGossipLimits());
  std::printf("%zu entries in %zu data centres\n", simulation.Nodes.size(),
              shape.DataCentres);
  std::printf("platform calls of the start: %zu\n", simulation.PlatformCalls);
  TrafficMeter idle(simulation);
  simulation.run(seconds(60));
  idle.print("idle");
  simulation.change("no faults");
  TrafficMeter outage(simulation);
  simulation.setOutage(std::chrono::milliseconds(4500));
  simulation.run(seconds(10));
  outage.print("10 s with an outage of 4.5 s");
  for (std::size_t d = 0; d < shape.DataCentres; ++d)
    for (std::size_t it : simulation.findWatchers(d))
      simulation.kill(it);
  TrafficMeter killed(simulation);
  simulation.run(seconds(10));
  killed.print("10 s after all watchers were killed");
}

void bench::benchGossip() {
  for (FleetShape it :
       {FleetShape{5, 11, 0}, FleetShape{5, 42, 0}, FleetShape{6, 62, 0}})
    benchEntries(it);
  {
    BenchFleet simulation(0, 0);
    std::printf("%zu nodes in %zu data centres\n", simulation.Nodes.size(),
                Fleet.DataCentres);
    TrafficMeter idle(simulation);
    auto cpu = std::clock();
    simulation.run(seconds(60));
    double spent = double(std::clock() - cpu) / CLOCKS_PER_SEC;
    idle.print("idle");
    std::printf(
        "  decisions and encoding of sizes: %.4f%% of a core per node\n",
        100 * spent / 60 / double(simulation.Nodes.size()));
    simulation.change("no faults");
    for (std::size_t it : simulation.findWatchers(1))
      simulation.kill(it);
    simulation.change("both watchers of a data centre just killed");
    simulation.cutFromPlatform(2, seconds(600));
    simulation.change("a data centre just cut off from the platform");
    simulation.run(seconds(30));
    for (std::size_t d : {0, 1, 2})
      simulation.cutFromPlatform(d, seconds(600));
    simulation.change("a region cut off from the platform");
    TrafficMeter outage(simulation);
    simulation.setOutage(seconds(60));
    simulation.run(seconds(60));
    outage.print("platform outage of a minute");
    simulation.change("platform outage just over");
  }
  {
    BenchFleet simulation(1, 5);
    simulation.change(
        "1% of messages lost, 1% duplicated, 5% up to 0.9 s late");
  }
  {
    // The agents of a data centre leave the host list one by one in a minute.
    BenchFleet simulation(0, 0);
    TrafficMeter meter(simulation);
    std::vector<std::size_t> gone;
    for (std::size_t i = 0; i < Fleet.Agents; ++i) {
      gone.push_back(i);
      simulation.kill(i);
      simulation.writeHosts(gone);
      simulation.run(std::chrono::milliseconds(600));
    }
    meter.print("agents of a data centre removed, 100 host lists in a minute");
  }
}
