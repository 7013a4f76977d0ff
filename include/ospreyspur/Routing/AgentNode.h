//===- AgentNode.h - admission and runs at one endpoint ---------*- C++ -*-===//
//
// The state machine of an agent's traffic side: admission control, ledger, fair
// queue and the responses in progress. The state machine does no I/O: it takes
// inputs and the current time and returns actions, and the same inputs give the
// same actions.
//
// Entries may hold stale views of the endpoint; the agent's decision is final.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_ROUTING_AGENTNODE_H
#define OSPREYSPUR_ROUTING_AGENTNODE_H

#include "ospreyspur/Ledger/Ledger.h"
#include "ospreyspur/Ledger/TicketIssuer.h"
#include "ospreyspur/Pushback/ExcludedEndpoints.h"
#include "ospreyspur/Pushback/Pushback.h"
#include "ospreyspur/Pushback/RateLimits.h"
#include "ospreyspur/Quarantine/CrashRelay.h"
#include "ospreyspur/Routing/AgentActions.h"
#include "ospreyspur/Routing/DrainEstimator.h"
#include "ospreyspur/Routing/FairQueue.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>

namespace ospreyspur {

/// The limits that an agent enforces at its endpoint.
struct AgentLimits {
  /// Requests that may run at the endpoint concurrently.
  std::size_t Slots = 16;
  /// Requests that may be queued.
  std::size_t MaxQueue = 256;
  /// Requests with a longer expected wait are refused.
  Duration MaxWait = std::chrono::milliseconds(600);
  LedgerLimits Ledger;
};

/// Fair-queueing weights by workspace; unlisted workspaces have weight 1.
using WorkspaceWeights = std::unordered_map<WorkspaceId, std::uint32_t>;

/// The traffic side of an agent.
class AgentNode {
public:
  /// \p seed feeds the jitter of Retry-After; \p key is the MAC key of tickets.
  AgentNode(EndpointId self, Incarnation incarnation, std::string key,
            AgentLimits limits, std::uint64_t seed);

  // Commands: each takes one input and returns the resulting actions.

  /// A message arrived on the link \p from.
  AgentActions onMessage(LinkId from, const Message &message, TimePoint now);
  /// The link was closed; nothing more can be received or sent on it.
  AgentActions onLinkDown(LinkId link, TimePoint now);
  /// The endpoint's response began.
  AgentActions onRunHead(RequestId id, std::uint32_t status,
                         std::string contentType, TimePoint now);
  /// The head of the response to \p id carried the pushback \p pushback.
  AgentActions onPushback(RequestId id, const Pushback &pushback,
                          TimePoint now);
  /// More of the endpoint's response arrived.
  AgentActions onRunData(RequestId id, std::string_view data, TimePoint now);
  /// The run ended: Ok (complete response), EndpointUnreachable (no byte of the
  /// request left this host), EndpointFailed (the endpoint's process exited) or
  /// AnswerBroken (anything else).
  AgentActions onRunEnd(RequestId id, ResultCode code, TimePoint now);
  /// Sets whether the host list marks the endpoint as leaving. The agent stops
  /// or resumes admission and notifies the entries. Before the first call the
  /// agent admits nothing, as the endpoint may be leaving.
  AgentActions setLeaving(bool leaving, TimePoint now);
  /// The endpoint's process was found to have exited while nothing ran. The
  /// pushback of that incarnation no longer applies.
  AgentActions onEndpointExited(TimePoint now);
  /// Replaces the fair-queueing weights, which come from the configuration.
  void setWeights(std::shared_ptr<const WorkspaceWeights> weights);
  /// Handles all timers that are due at \p now.
  AgentActions onTimer(TimePoint now);

  /// Returns the log records of changes to the endpoint's advertised rate limit
  /// since the last call.
  std::vector<RateLimitLogRecord> takeRateLimitLogRecords() {
    return Rates.takeLogRecords();
  }
  /// Returns the incarnations of the endpoint that announced since the last
  /// call that they are leaving, for the log.
  std::vector<IncarnationDigest> takeLeavingLogRecords() {
    return Excluded.takeLeavingLogRecords();
  }
  /// Whether the endpoint itself announced that it is leaving.
  bool hasAnnouncedLeaving() const {
    return Excluded.isLeaving(currentIncarnation());
  }
  /// Returns the log records of the backoffs that the endpoint requested since
  /// the last call.
  std::vector<BackoffLogRecord> takeBackoffLogRecords() {
    return Excluded.takeLogRecords();
  }

  // Queries.

  /// When onTimer() is next needed, if at all.
  std::optional<TimePoint> nextTimer() const;
  /// Whether no request is running or queued.
  bool isIdle() const { return Running.empty() && Queue.size() == 0; }
  bool isLeaving() const { return IsLeaving; }
  const RateLimits &rates() const { return Rates; }
  const ExcludedEndpoints &excluded() const { return Excluded; }
  /// Whether the endpoint is leaving and every connected entry has confirmed
  /// this.
  bool isLeavingConfirmed() const {
    return IsLeaving && UnconfirmedEntries.empty();
  }
  std::size_t runningCount() const { return Running.size(); }
  std::size_t queuedCount() const { return Queue.size(); }
  const Ledger &ledger() const { return RequestLedger; }
  /// The crash reports that this agent relays between entries.
  const CrashRelay &relay() const { return Relay; }

private:
  /// An entry's attempt that receives the response to a request.
  struct Subscriber {
    LinkId Link;
    AttemptNumber Attempt;
  };

  /// A queued or running request.
  struct Job {
    Dispatch Request;
    TimePoint Deadline;
    std::optional<TimePoint> Started;
    std::vector<Subscriber> Subscribers;
    /// The endpoint's incarnation when the run started.
    EngineIncarnation Engine;
  };

  void handle(LinkId from, const Probe &probe, TimePoint now);
  void handle(LinkId from, const Dispatch &dispatch, TimePoint now);
  void handle(LinkId from, const Resolve &resolve, TimePoint now);
  void handle(LinkId from, const Cancel &cancel, TimePoint now);
  void handle(LinkId from, const LeavingSeen &seen, TimePoint now);
  void handle(LinkId from, const CrashUpdate &update, TimePoint now);
  template <typename T> void handle(LinkId from, const T &other, TimePoint now);

  ResultCode findRefusalReason(Duration wait, Duration timeLeft) const;
  void updateLeaving(TimePoint now);
  void detectPause(TimePoint now);
  Duration estimateWait(const WorkspaceId &workspace,
                        std::uint32_t priority) const;
  IncarnationDigest currentIncarnation() const {
    return IncarnationDigest(Engine.get());
  }
  Duration rateLimitWait() const;
  Duration remainingBackoff() const;
  std::uint32_t weightOf(const WorkspaceId &workspace) const;
  Duration computeRetryAfter();
  Duration draw(Duration least, Duration most);
  void registerEntry(LinkId link);
  void enqueue(LinkId from, const Dispatch &dispatch, TimePoint now);
  void attach(LinkId from, const Dispatch &dispatch, TimePoint now);
  void sendStored(LinkId from, const Dispatch &dispatch,
                  const StoredResponse &response);
  void refuse(LinkId from, RequestId id, AttemptNumber attempt,
              ResultCode code);
  void startQueued(TimePoint now);
  void withdrawJob(RequestId id, ResultCode reason, TimePoint now);
  void endRun(RequestId id, ResultCode code, TimePoint now);
  ResultCode recordEngineExit(EngineIncarnation incarnation, TimePoint now);
  void stopIfUnsubscribed(RequestId id, TimePoint now);
  void send(LinkId to, Message message);
  AgentActions takeActions();

  EndpointId Self;
  AgentLimits Limits;
  TicketIssuer Tickets;
  Ledger RequestLedger;
  FairQueue Queue;
  DrainEstimator Drain;
  std::shared_ptr<const WorkspaceWeights> Weights;
  std::mt19937_64 Random;
  bool IsLeavingKnown = false;
  bool IsLeaving = false;
  /// Whether the host list marks the endpoint as leaving.
  bool IsListedLeaving = false;
  /// Links that have carried a Probe or Dispatch; links from other agents are
  /// not included.
  std::set<LinkId> Entries;
  /// Entries that have not yet confirmed that this endpoint is leaving.
  std::set<LinkId> UnconfirmedEntries;
  std::map<RequestId, Job> Jobs;
  std::set<RequestId> Running;
  std::set<std::pair<TimePoint, RequestId>> Deadlines;
  std::optional<TimePoint> NextExpiry;
  /// The endpoint's current incarnation: the number of exits of its process
  /// that this agent has seen, during runs or between them.
  EngineIncarnation Engine;
  /// Nothing is admitted before this time, as the endpoint was found down.
  TimePoint DownUntil;
  /// The rate limit that the endpoint advertises. All its requests pass through
  /// this agent, so the agent is the endpoint's only sender.
  RateLimits Rates;
  ExcludedEndpoints Excluded;
  CrashRelay Relay;
  /// Time of the latest input. While requests are queued, a timer provides an
  /// input every PauseCheckInterval unless the process is paused.
  TimePoint LastInput;
  AgentActions Out;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_ROUTING_AGENTNODE_H
