//===- PickerSimulation.h - simulation of a deployment ----------*- C++ -*-===//
//
// The shipped EntryNodes and AgentNodes on virtual time, in front of a simple
// model of engines: ranks of a group step together, a step lasts as long as its
// busiest rank needs, and a prompt with a cached prefix needs less prefill.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_BENCH_PICKERSIMULATION_H
#define OSPREYSPUR_BENCH_PICKERSIMULATION_H

#include "RandomScheduler.h"

#include "ospreyspur/Routing/AgentNode.h"
#include "ospreyspur/Routing/EntryNode.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace ospreyspur::bench {

/// A deployment and its load.
struct Deployment {
  const char *Name = "";
  std::size_t Entries = 0;
  std::size_t Endpoints = 0;
  std::size_t GroupSize = 0;
  std::size_t DataCentres = 0;
  std::size_t Slots = 0;
  /// Requests per second; BurstFactor times as many from BurstAt for BurstFor.
  double Rate = 0;
  double BurstFactor = 1;
  /// Additional requests per second, all of one workspace.
  double FloodRate = 0;
  /// Number of workspaces that the other requests belong to.
  std::size_t Workspaces = 1;
  /// How long a caller waits for the complete response.
  Duration Deadline = std::chrono::seconds(60);
  Duration Span{};
  Duration BurstAt{};
  Duration BurstFor{};
  std::size_t Tokens = 0;
  std::size_t PromptTokens = 0;
  std::size_t PrefixTokens = 0;
  std::size_t Prefixes = 0;
  std::size_t CachedPrefixes = 0;
  /// Duration of an engine's step: StepBase, plus StepPerRequest for each
  /// request on the busiest rank.
  Duration StepBase{};
  Duration StepPerRequest{};
  /// Prompt tokens processed per millisecond.
  double PrefillPerMs = 75;
  /// After SlowAt, steps of group 0 take SlowFactor times as long.
  Duration SlowAt{};
  double SlowFactor = 1;
};

/// A method of picking an endpoint. Shipped is the entry's own picker, with
/// \c Probes and \c UsesPrefix. The other methods pick an endpoint outside the
/// entry, which then knows only this endpoint.
struct Method {
  enum class Kind { Shipped, RoundRobin, LeastKnown, FreeCapacityWalk };
  const char *Name = "";
  Kind Strategy = Kind::Shipped;
  std::size_t Probes = 1;
  bool UsesPrefix = false;
  PickerWeights Weights;
  /// Interval between load reports, for LeastKnown.
  Duration ReportEvery = std::chrono::seconds(1);
  /// Messages per pick in addition to the entry's own.
  std::size_t ExtraMessages = 0;
};

/// Results of a run. Times and refusals exclude the flood.
struct PickerResult {
  std::vector<double> FirstMs;
  std::vector<double> BetweenMs;
  std::size_t Refused = 0;
  /// Responses that were complete before their deadline, including the flood's.
  std::size_t Completed = 0;
  /// Calls whose response started but did not complete.
  std::size_t Truncated = 0;
  std::vector<double> RefusedMs;
  std::size_t Hits = 0;
  std::size_t Runs = 0;
  std::size_t Messages = 0;
  double SkewSum = 0;
  std::size_t Steps = 0;
};

/// Simulates one run of one method.
class PickerSimulation {
public:
  PickerSimulation(const Deployment &deployment, const Method &method,
                   std::uint64_t seed);

  /// Runs until no more calls arrive and all calls have ended.
  PickerResult run();

private:
  /// A request that an engine is processing.
  struct Job {
    RequestId Id;
    std::size_t TokensLeft = 0;
    std::size_t Prefill = 0;
    bool HasStarted = false;
  };
  struct Endpoint {
    EndpointId Id;
    std::unique_ptr<AgentNode> Agent;
    std::vector<Job> Jobs;
    std::deque<std::uint64_t> Cached;
    std::size_t KnownLoad = 0;
    std::shared_ptr<const RoutingSnapshot> SingleEndpoint;
  };
  struct Call {
    TimePoint Began;
    TimePoint FirstToken;
    bool IsFlood = false;
  };
  struct Entry {
    std::unique_ptr<EntryNode> Node;
    std::map<CallId, Call> Calls;
    std::size_t NextRoundRobin = 0;
  };

  void arrive(bool isFlood);
  void sendCall(bool isFlood);
  std::size_t pickEndpoint(Entry &entry);
  std::uint64_t drawPrefix();
  Duration delay(std::size_t entry, std::size_t endpoint) const;
  void apply(std::size_t i, const EntryActions &actions);
  void apply(std::size_t i, const AgentActions &actions);
  void onEntryAction(std::size_t i, const EntryAction &action);
  void startRun(std::size_t i, const StartRun &run);
  void step(std::size_t group);
  void endStep(std::size_t group);
  void setTimer(std::size_t i);
  void report();

  Deployment Plan;
  Method Picking;
  test::RandomScheduler Scheduler;
  std::mt19937_64 Random;
  TimePoint Began;
  std::shared_ptr<RoutingSnapshot> AllEndpoints;
  std::vector<Endpoint> Endpoints;
  std::vector<Entry> Entries;
  std::vector<bool> IsStepping;
  std::vector<double> PrefixWeights;
  std::size_t OpenCalls = 0;
  std::uint64_t LastCall = 0;
  bool HasAllArrived = false;
  PickerResult Totals;
};

} // namespace ospreyspur::bench

#endif // OSPREYSPUR_BENCH_PICKERSIMULATION_H
