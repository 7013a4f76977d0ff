//===- PickerBench.cpp - comparison of endpoint pickers -------------------===//
//
// See PickerBench.h.
//
//===----------------------------------------------------------------------===//

#include "PickerBench.h"

#include "PickerSimulation.h"

#include <algorithm>
#include <cstdio>

using namespace ospreyspur;
using namespace ospreyspur::bench;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr std::uint64_t Seed = 1;

static double percentile(std::vector<double> &values, double part) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(part * double(values.size() - 1))];
}

static Deployment makeCurrentDeployment() {
  Deployment it;
  it.Name = "today: 5 entries, 16 endpoints in 2 groups";
  it.Entries = 5;
  it.Endpoints = 16;
  it.GroupSize = 8;
  it.DataCentres = 3;
  it.Slots = 12;
  it.Rate = 76;
  it.BurstFactor = 1.6;
  it.Span = seconds(60);
  it.BurstAt = seconds(20);
  it.BurstFor = seconds(10);
  it.Tokens = 80;
  it.PromptTokens = 800;
  it.PrefixTokens = 400;
  it.Prefixes = 64;
  it.CachedPrefixes = 12;
  it.StepBase = microseconds(4840);
  it.StepPerRequest = microseconds(200);
  it.SlowAt = seconds(45);
  it.SlowFactor = 1.5;
  return it;
}

/// Differs from makeCurrentDeployment() in size and in the engines' step times.
static Deployment makePlannedDeployment() {
  Deployment it = makeCurrentDeployment();
  it.Name = "planned: 370 entries, 600 endpoints in 10 groups";
  it.Entries = 370;
  it.Endpoints = 600;
  it.GroupSize = 60;
  it.DataCentres = 6;
  it.Slots = 32;
  it.Rate = 900;
  it.BurstFactor = 1.33;
  it.Tokens = 367;
  it.Prefixes = 1200;
  it.StepBase = milliseconds(15);
  it.StepPerRequest = microseconds(400);
  return it;
}

static void print(const Method &method, PickerResult &it) {
  std::printf("%-28s first %6.0f %6.0f %6.0f ms, between %5.1f %5.1f ms, "
              "skew %.2f, hits %2.0f%%, messages %4.1f, refused %zu\n",
              method.Name, percentile(it.FirstMs, 0.5),
              percentile(it.FirstMs, 0.95), percentile(it.FirstMs, 0.99),
              percentile(it.BetweenMs, 0.5), percentile(it.BetweenMs, 0.95),
              it.SkewSum / double(it.Steps),
              100 * double(it.Hits) / double(it.Runs),
              double(it.Messages) / double(it.Runs), it.Refused);
}

void bench::benchPickers() {
  using Kind = Method::Kind;
  constexpr std::size_t WalkLength = 6;
  const PickerWeights none{Duration::zero(), Duration::zero()};
  const PickerWeights loadOnly{Duration::zero(), milliseconds(2)};
  const PickerWeights prefixOnly{milliseconds(30), Duration::zero()};
  auto both = [](int prefixMs) {
    return PickerWeights{milliseconds(prefixMs), milliseconds(2)};
  };
  constexpr Kind Shipped = Kind::Shipped;
  const Method methods[] = {
      {"random", Shipped, 1, false, none},
      {"round robin", Kind::RoundRobin, 1, false, none},
      {"least known, 0.2 s old", Kind::LeastKnown, 1, false, none,
       milliseconds(200)},
      {"least known, 1 s old", Kind::LeastKnown, 1, false, none, seconds(1)},
      {"free-capacity walk", Kind::FreeCapacityWalk, 1, false, none, seconds(1),
       WalkLength},
      {"3 probes, wait only", Shipped, 3, false, none},
      {"3 probes, wait, prefix 30", Shipped, 3, true, prefixOnly},
      {"2 probes, load", Shipped, 2, false, loadOnly},
      {"3 probes, load", Shipped, 3, false, loadOnly},
      {"5 probes, load", Shipped, 5, false, loadOnly},
      {"3 probes, load, prefix 2", Shipped, 3, true, both(2)},
      {"3 probes, load, prefix 4", Shipped, 3, true, both(4)},
      {"3 probes, load, prefix 8", Shipped, 3, true, both(8)},
      {"3 probes, load, prefix 16", Shipped, 3, true, both(16)},
      {"5 probes, load, prefix 4", Shipped, 5, true, both(4)},
  };
  for (const Deployment &deployment :
       {makeCurrentDeployment(), makePlannedDeployment()}) {
    std::printf(
        "%s\n(time to first token p50 p95 p99; between tokens p50 p95)\n",
        deployment.Name);
    for (const Method &it : methods) {
      PickerResult result = PickerSimulation(deployment, it, Seed).run();
      print(it, result);
    }
  }
}

void bench::benchOverload() {
  constexpr double Capacity = 150;
  const Method shipped{"shipped", Method::Kind::Shipped, 3, true,
                       PickerWeights()};
  Deployment base = makeCurrentDeployment();
  base.Span = seconds(40);
  base.BurstFactor = 1;
  base.SlowFactor = 1;
  base.Workspaces = 10;
  base.Deadline = seconds(8);
  std::printf("16 endpoints, deadline 8 s, by offered load\n");
  for (double factor : {0.5, 0.8, 1.0, 1.5, 2.0, 3.0, 4.0}) {
    Deployment it = base;
    it.Rate = factor * Capacity;
    PickerResult result = PickerSimulation(it, shipped, Seed).run();
    double span = std::chrono::duration<double>(it.Span).count();
    std::printf(
        "offered %4.0f/s: complete %5.1f/s, first token p50 %5.0f p99 "
        "%5.0f ms, refused %5.1f/s after p50 %5.0f p99 %5.0f ms, cut "
        "%.1f/s\n",
        it.Rate, double(result.Completed) / span,
        percentile(result.FirstMs, 0.5), percentile(result.FirstMs, 0.99),
        double(result.Refused) / span, percentile(result.RefusedMs, 0.5),
        percentile(result.RefusedMs, 0.99), double(result.Truncated) / span);
  }
  std::printf("other workspaces at %.0f/s beside a flood of one workspace\n",
              Capacity / 2);
  for (double flood : {0.0, 1.0, 2.0, 4.0}) {
    Deployment it = base;
    it.Rate = Capacity / 2;
    it.FloodRate = flood * Capacity;
    PickerResult result = PickerSimulation(it, shipped, Seed).run();
    std::printf("flood %4.0f/s: others' first token p50 %5.0f p95 %5.0f p99 "
                "%5.0f ms, refused %zu of %zu\n",
                it.FloodRate, percentile(result.FirstMs, 0.5),
                percentile(result.FirstMs, 0.95),
                percentile(result.FirstMs, 0.99), result.Refused,
                result.Refused + result.FirstMs.size());
  }
}
