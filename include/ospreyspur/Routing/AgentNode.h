//===- AgentNode.h - the authority at one endpoint --------------*- C++ -*-===//
//
// The state machine of an agent's traffic side: gate, ledger, fair queue and
// the answers in progress. It does no I/O: inputs and the time go in, actions
// come out, and the same inputs give the same actions.
//
// Entries may hold stale views of the endpoint; what is decided here holds.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_ROUTING_AGENTNODE_H
#define OSPREYSPUR_ROUTING_AGENTNODE_H

#include "ospreyspur/Ledger/Ledger.h"
#include "ospreyspur/Ledger/TicketOffice.h"
#include "ospreyspur/Pushback/ClosedEndpoints.h"
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

/// The bounds an agent keeps at its endpoint.
struct AgentLimits {
  /// Requests that run at the endpoint at one time.
  std::size_t Slots = 16;
  /// Requests that may wait.
  std::size_t MaxQueue = 256;
  /// Refuse when the expected wait is longer than this.
  Duration MaxWait = std::chrono::milliseconds(600);
  LedgerLimits Ledger;
};

/// Shares of the endpoint by workspace; workspaces not listed weigh 1.
using WorkspaceWeights = std::unordered_map<WorkspaceId, std::uint32_t>;

/// The traffic side of an agent.
class AgentNode {
public:
  /// \p seed feeds the spread of Retry-After; \p key seals tickets.
  AgentNode(EndpointId self, Incarnation incarnation, std::string key,
            AgentLimits limits, std::uint64_t seed);

  // Commands: each takes one input and gives the actions that follow.

  /// A message from the entry behind \p from.
  AgentActions onMessage(LinkId from, const Message &message, TimePoint now);
  /// The link is gone; nothing more arrives on it or can be sent.
  AgentActions onLinkDown(LinkId link, TimePoint now);
  /// The endpoint's answer begins.
  AgentActions onRunHead(RequestId id, std::uint32_t status,
                         std::string contentType, TimePoint now);
  /// What the endpoint asks for in the head of the answer to \p id.
  AgentActions onPushback(RequestId id, const Pushback &asked, TimePoint now);
  /// The endpoint's answer goes on.
  AgentActions onRunData(RequestId id, std::string_view data, TimePoint now);
  /// The run ended: Ok (whole answer), EndpointUnreachable (no byte of the
  /// request left this host), EndpointFailed (the endpoint's process has ended)
  /// or AnswerBroken (anything else).
  AgentActions onRunEnd(RequestId id, ResultCode code, TimePoint now);
  /// The host list says whether the endpoint leaves: opens or closes the gate
  /// for new work and tells the entries. Until the first call the gate is
  /// closed, as the endpoint may be leaving.
  AgentActions setLeaving(bool leaving, TimePoint now);
  /// The endpoint's process was found to have ended while nothing ran: what it
  /// had asked for is over.
  AgentActions onEndpointEnded(TimePoint now);
  /// Takes over shares from the configuration.
  void setWeights(std::shared_ptr<const WorkspaceWeights> weights);
  /// Does what is due at \p now.
  AgentActions onTimer(TimePoint now);

  /// The changes of the rate that the endpoint named since the last call, for
  /// the log.
  std::vector<RateLimitNote> takeRateNotes() { return Rates.takeNotes(); }
  /// Whether it said since the last call that it leaves, for the log.
  std::vector<LifeDigest> takeLeavingNotes() {
    return Closed.takeLeavingNotes();
  }
  /// Whether the endpoint itself said that it leaves.
  bool saidLeaving() const { return Closed.isLeaving(currentLife()); }
  /// The pauses that it asked for since the last call, for the log.
  std::vector<RestNote> takeRestNotes() { return Closed.takeNotes(); }

  // Queries.

  /// When onTimer() is next needed, if at all.
  std::optional<TimePoint> nextTimer() const;
  /// Whether nothing runs or waits.
  bool isIdle() const { return Running.empty() && Queue.size() == 0; }
  bool isLeaving() const { return IsLeaving; }
  const RateLimits &rates() const { return Rates; }
  const ClosedEndpoints &closed() const { return Closed; }
  /// Whether every entry with a link has confirmed that this endpoint leaves.
  bool isLeavingSeen() const { return IsLeaving && Unaware.empty(); }
  std::size_t runningCount() const { return Running.size(); }
  std::size_t queuedCount() const { return Queue.size(); }
  const Ledger &ledger() const { return Book; }
  /// What this agent relays between entries.
  const CrashRelay &relay() const { return Relay; }

private:
  /// An entry that wants a request's answer.
  struct Subscriber {
    LinkId Link;
    AttemptNumber Attempt;
  };

  /// A request that waits or runs.
  struct Job {
    Dispatch Order;
    TimePoint Deadline;
    std::optional<TimePoint> Started;
    std::vector<Subscriber> Subscribers;
    /// The endpoint's life when it started.
    EngineLife Life;
  };

  void handle(LinkId from, const Probe &probe, TimePoint now);
  void handle(LinkId from, const Dispatch &dispatch, TimePoint now);
  void handle(LinkId from, const Resolve &resolve, TimePoint now);
  void handle(LinkId from, const Cancel &cancel, TimePoint now);
  void handle(LinkId from, const LeavingSeen &seen, TimePoint now);
  void handle(LinkId from, const CrashUpdate &update, TimePoint now);
  template <typename T> void handle(LinkId from, const T &other, TimePoint now);

  ResultCode whyNotAccepting(Duration wait, Duration timeLeft) const;
  void updateLeaving(TimePoint now);
  void noticeTime(TimePoint now);
  Duration estimateWait(const WorkspaceId &workspace,
                        std::uint32_t priority) const;
  LifeDigest currentLife() const { return LifeDigest(Life.get()); }
  Duration rateWait() const;
  Duration restLeft() const;
  std::uint32_t weightOf(const WorkspaceId &workspace) const;
  Duration spreadRetryAfter();
  Duration draw(Duration least, Duration most);
  void meetEntry(LinkId link);
  void enqueue(LinkId from, const Dispatch &dispatch, TimePoint now);
  void attach(LinkId from, const Dispatch &dispatch, TimePoint now);
  void sendStored(LinkId from, const Dispatch &dispatch,
                  const StoredAnswer &answer);
  void refuse(LinkId from, RequestId id, AttemptNumber attempt,
              ResultCode code);
  void startWaiting(TimePoint now);
  void withdrawQueued(RequestId id, ResultCode reason, TimePoint now);
  void endRun(RequestId id, ResultCode code, TimePoint now);
  ResultCode noteEngineEnd(EngineLife life, TimePoint now);
  void stopIfUnwanted(RequestId id, TimePoint now);
  void send(LinkId to, Message message);
  AgentActions takeActions();

  EndpointId Self;
  AgentLimits Limits;
  TicketOffice Office;
  Ledger Book;
  FairQueue Queue;
  DrainEstimator Drain;
  std::shared_ptr<const WorkspaceWeights> Weights;
  std::mt19937_64 Random;
  bool HasGate = false;
  bool IsLeaving = false;
  /// What the host list says.
  bool IsListedLeaving = false;
  /// Links on which work has come; other agents' links are not among them.
  std::set<LinkId> Entries;
  /// Entries that have not confirmed yet that this endpoint leaves.
  std::set<LinkId> Unaware;
  std::map<RequestId, Job> Jobs;
  std::set<RequestId> Running;
  std::set<std::pair<TimePoint, RequestId>> Deadlines;
  std::optional<TimePoint> NextExpiry;
  /// Lives of the endpoint that have ended under a run.
  EngineLife Life;
  /// The endpoint was found down: nothing is accepted until then.
  TimePoint DownUntil;
  /// The rate that the endpoint named: all work passes here, so that this agent
  /// is its only sender.
  RateLimits Rates;
  ClosedEndpoints Closed;
  CrashRelay Relay;
  /// Time of the latest input; while requests wait there is one every
  /// PauseCheckInterval, unless the process is paused.
  TimePoint LastInput;
  AgentActions Out;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_ROUTING_AGENTNODE_H
