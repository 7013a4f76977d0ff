//===- RequestSimulation.h - a simulated deployment with faults -*- C++ -*-===//
//
// Connects real EntryNodes and AgentNodes through a RandomScheduler that loses,
// duplicates and reorders messages. Kills and freezes nodes, makes the
// key-value store fail, and records the results that callers received and the
// runs at the endpoints.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_UNITTESTS_ROUTING_REQUESTSIMULATION_H
#define OSPREYSPUR_UNITTESTS_ROUTING_REQUESTSIMULATION_H

#include "FakeKeyValueStore.h"
#include "RandomScheduler.h"

#include "ospreyspur/Routing/AgentNode.h"
#include "ospreyspur/Routing/EntryNode.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace ospreyspur::test {

/// One call of a caller.
struct CallRecord {
  std::string Name;
  TimePoint Began;
  TimePoint Deadline;
  std::optional<TimePoint> Ended;
  /// Whether the entry that held the call was killed.
  bool IsAborted = false;
  ResultCode Code = ResultCode::Ok;
  std::string Body;
  std::optional<Ticket> IssuedTicket;
};

/// One run at an endpoint.
struct RunRecord {
  std::string Name;
  TimePoint Began;
};

/// Probabilities of faults, in percent.
struct FaultRates {
  unsigned Message = 5;
  unsigned Platform = 15;
  unsigned Endpoint = 5;
  /// Events that are delayed much longer than others.
  unsigned Late = 5;
};

/// A small deployment with virtual time.
class RequestSimulation {
public:
  RequestSimulation(std::uint64_t seed, FaultRates rates, std::size_t entries,
                    std::size_t agents,
                    Duration claimLease = EntryLimits().ClaimLease,
                    std::size_t ledgerRecords = 6);

  RandomScheduler Scheduler;
  /// Records are only ever added, so their addresses are stable.
  std::vector<std::unique_ptr<CallRecord>> Calls;
  std::vector<RunRecord> Runs;
  /// Runs that an agent started more than LeavingGrace after the host list
  /// marked its endpoint as leaving.
  std::size_t LateStarts = 0;

  /// Sends the request \p name to \p entry. Returns its record in Calls.
  CallRecord &sendRequest(std::size_t entry, const std::string &name,
                          const std::function<void(CallerRequest &)> &change);

  void killEntry(std::size_t i);
  void killAgent(std::size_t i);
  void freezeAgent(std::size_t i, Duration span);
  void freezeEntry(std::size_t i, Duration span);
  /// Marks the endpoint as leaving in the host list, or removes the mark. The
  /// agent learns of the change after a delay, entries only from the agent.
  void setLeaving(std::size_t i, bool leaving);
  void cutLink(std::size_t entry, std::size_t agent);
  /// From now on each engine that runs a request whose name starts with
  /// \p prefix crashes.
  void setCrashingRequests(const std::string &prefix) {
    CrashingPrefix = prefix;
  }
  /// Crashes the engine of endpoint \p i with all its runs. The engine restarts
  /// after EngineDowntime; the agent keeps running and detects the crash.
  void crashEngine(std::size_t i);
  /// When crashing requests crashed engines.
  const std::vector<TimePoint> &crashTimes() const { return CrashTimes; }
  unsigned crashCount() const { return unsigned(CrashTimes.size()); }
  void setOutage(Duration span) { OutageUntil = Scheduler.now() + span; }

  /// Returns the complete response to \p name.
  static std::string expectedBody(const std::string &name);

private:
  struct Entry {
    std::unique_ptr<EntryNode> Node;
    std::uint64_t ProcessIncarnation = 0;
    std::uint64_t LastCall = 0;
    std::map<CallId, CallRecord *> OpenCalls;
    TimePoint FrozenUntil;
  };
  struct Agent {
    EndpointId Id;
    std::unique_ptr<AgentNode> Node;
    std::uint64_t ProcessIncarnation = 0;
    TimePoint FrozenUntil;
    std::optional<TimePoint> LeavingSince;
    /// The engine's incarnation, its runs, and the end of its downtime.
    std::uint64_t Engine = 0;
    std::set<RequestId> Runs;
    TimePoint DownUntil;
  };
  void startEntry(std::size_t i);
  void startAgent(std::size_t i);
  std::size_t agentOf(const EndpointId &id) const;
  LinkId linkOf(std::size_t entry, std::uint64_t incarnation) const;
  void deliverToEntry(std::size_t i, std::uint64_t incarnation,
                      const std::function<EntryActions(EntryNode &)> &input);
  void deliverToAgent(std::size_t i, std::uint64_t incarnation,
                      const std::function<AgentActions(AgentNode &)> &input);
  template <typename Nodes>
  void setTimer(Nodes &nodes, std::size_t i, TimePoint due);
  void apply(std::size_t i, const EntryActions &actions);
  void apply(std::size_t i, const AgentActions &actions);
  void perform(std::size_t i, const SendToAgent &action);
  void perform(std::size_t i, const CallKeyValueStore &action);
  void perform(std::size_t i, const ResponseHead &action);
  void perform(std::size_t i, const ResponseData &action);
  void perform(std::size_t i, const ResponseEnd &action);
  void perform(std::size_t i, const ResponseError &action);
  void perform(std::size_t i, const ReturnTicket &action);
  void perform(std::size_t i, const SendToLink &action);
  void perform(std::size_t i, const StartRun &action);
  void perform(std::size_t i, const StopRun &action);
  void end(std::size_t i, CallId id, ResultCode code);
  void continueRun(std::size_t agent, std::uint64_t incarnation,
                   std::uint64_t engine, RequestId id, const std::string &rest);
  KvReply callKv(const KvCall &call);

  FaultRates Rates;
  Duration ClaimLease;
  std::size_t LedgerRecords;
  std::shared_ptr<RoutingSnapshot> Snapshot;
  std::vector<Entry> Entries;
  std::vector<Agent> Agents;
  FakeKeyValueStore Kv;
  std::uint64_t LastIncarnation = 0;
  TimePoint OutageUntil;
  std::string CrashingPrefix;
  std::vector<TimePoint> CrashTimes;
};

} // namespace ospreyspur::test

#endif // OSPREYSPUR_UNITTESTS_ROUTING_REQUESTSIMULATION_H
