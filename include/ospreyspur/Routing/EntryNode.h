//===- EntryNode.h - routes callers' requests to endpoints ------*- C++ -*-===//
//
// The state machine of an entry's traffic side. For each request the node
// probes endpoints, claims the idempotency key if there is one, dispatches,
// reassembles the response, and asks the agent about a dispatch whose outcome
// is unknown. The node does no I/O: it takes inputs and the current time and
// returns actions.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_ROUTING_ENTRYNODE_H
#define OSPREYSPUR_ROUTING_ENTRYNODE_H

#include "ospreyspur/Quarantine/CrashQuarantine.h"
#include "ospreyspur/Quarantine/CrashReporter.h"
#include "ospreyspur/Routing/Call.h"
#include "ospreyspur/Routing/EntryActions.h"
#include "ospreyspur/Routing/ProbePicker.h"
#include "ospreyspur/Routing/RetryBudget.h"
#include "ospreyspur/Routing/RoutingSnapshot.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ospreyspur {

/// Limits and timeouts of an entry.
struct EntryLimits {
  std::size_t MaxCalls = 4096;
  std::size_t MaxEarlyBytes = 1U << 20U;
  unsigned MaxDispatches = 4;
  std::size_t Probes = 3;
  PickerWeights Weights;
  Duration ProbeTimeout = std::chrono::milliseconds(60);
  Duration AcceptTimeout = std::chrono::milliseconds(300);
  /// Inactivity of a response after which contact with its agent counts as
  /// lost.
  Duration StallTimeout = std::chrono::seconds(5);
  Duration ResolveInterval = std::chrono::milliseconds(150);
  Duration ClaimTimeout = std::chrono::milliseconds(500);
  /// Time reserved before the deadline for the agent's final message.
  Duration DeadlineMargin = std::chrono::milliseconds(60);
  /// Validity of a ticket that the entry uses itself. Bounds how long after a
  /// dispatch an agent that was frozen may still start the run.
  Duration TicketValidity = std::chrono::seconds(4);
  /// Validity of a ticket given to a caller.
  Duration CallerTicketValidity = std::chrono::minutes(5);
  /// How long an idempotency key stays bound. Must exceed TicketValidity and
  /// must not exceed the agents' ledger retention.
  Duration ClaimLease = std::chrono::minutes(10);
  /// How long an endpoint that did not reply is excluded from probing.
  Duration UnresponsiveTime = std::chrono::seconds(1);
  double RetryRatio = 0.2;
  double RetryReserve = 10.0;
  /// How long a suspect request may be deferred.
  Duration MaxDefer = std::chrono::milliseconds(1500);
  /// How often a deferred request checks whether it may run.
  Duration DeferPollInterval = std::chrono::milliseconds(20);
  CrashLimits Crashes = makeRelayedLimits(CrashLimits());
  PartLimits Parts = makeRelayedPartLimits();

  /// Links are reliable and relays keep all records, so each record needs few
  /// announcements.
  static CrashLimits makeRelayedLimits(CrashLimits limits) {
    limits.Announcements = 1;
    limits.RefreshEvery = std::chrono::seconds(1);
    return limits;
  }
  static PartLimits makeRelayedPartLimits() {
    PartLimits limits;
    limits.Crashes = makeRelayedLimits(limits.Crashes);
    return limits;
  }
};

/// The traffic side of an entry.
class EntryNode {
public:
  /// \p seed feeds the random choices; \p digestKey keys the digests of
  /// requests and must be the same at all entries.
  EntryNode(DataCentreId dataCentre, EntryLimits limits, std::uint64_t seed,
            std::string digestKey = "");

  // Commands: each takes one input and returns the resulting actions.

  /// A request arrived. Its id must be new.
  EntryActions onCall(CallerRequest request, TimePoint now);
  /// From now on no request, new or known, has a deadline after \p latest.
  EntryActions limitDeadlines(TimePoint latest);
  /// The caller disconnected.
  EntryActions onCallerGone(CallId id, TimePoint now);
  /// A message arrived from the agent of \p from.
  EntryActions onMessage(const EndpointId &from, const Message &message,
                         TimePoint now);
  /// The connection to the agent of \p to was lost; messages sent on it may or
  /// may not have arrived.
  EntryActions onLinkDown(const EndpointId &to, TimePoint now);
  /// The key-value store replied to the CallKeyValueStore action \p id.
  EntryActions onKvReply(KvCallId id, const KvReply &reply, TimePoint now);
  /// Restores requests and prompt parts that were quarantined before this
  /// process started.
  EntryActions restoreQuarantine(const std::vector<RequestDigest> &requests,
                                 TimePoint now);
  /// Replaces the view of the fleet; call onTimer() next.
  void setSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot);
  /// Handles all timers that are due at \p now.
  EntryActions onTimer(TimePoint now);
  /// Returns the log records of endpoint crashes that were attributed to
  /// requests, and of quarantined requests, since the last call.
  std::vector<CrashLogRecord> takeCrashLogRecords() {
    return Crashes.takeLogRecords();
  }

  // Queries.

  /// When onTimer() is next needed, if at all.
  std::optional<TimePoint> nextTimer() const;
  const CrashQuarantine &crashes() const { return Crashes; }
  /// Number of known entries, this one included.
  std::size_t entryCount(TimePoint now) const {
    return Reporter.entryCount(now);
  }
  /// Number of calls without a final response.
  std::size_t callCount() const { return Calls.size(); }

private:
  void startProbing(Call &call, TimePoint now);
  void chooseOffer(Call &call, TimePoint now);
  void claim(Call &call, TimePoint now);
  void readClaim(Call &call, TimePoint now);
  void onClaimWritten(Call &call, const KvReply &reply, TimePoint now);
  void onClaimRead(Call &call, const KvReply &reply, TimePoint now);
  void retryClaim(Call &call, TimePoint now);
  void adoptClaim(Call &call, const KvReply &reply, TimePoint now);
  void abandonClaim(Call &call);
  void dispatch(Call &call, TimePoint now);
  void sendDispatch(Call &call, TimePoint now);
  void startResolving(Call &call, TimePoint now);
  void retryElsewhere(Call &call, ResultCode reason, TimePoint now);
  void loseContact(Call &call, TimePoint now);
  void onRunFailed(Call &call, const Finish &msg, TimePoint now);
  void noteCrash(const Call &call, const Finish &msg, TimePoint now);
  void updateCrashVerdicts(TimePoint now);
  void endQuarantined();
  bool isSuspect(const Call &call) const;
  void recordProgress(Call &call, TimePoint now);
  bool mustDefer(Call &call, TimePoint now);
  void defer(Call &call, TimePoint now);
  void resume(Call &call, TimePoint now);
  std::set<IncarnationDigest> endpointsOfSuspects(const Call &call,
                                                  TimePoint now) const;
  std::vector<SuspectAttempt> suspectRuns() const;
  void sendReports(TimePoint now);
  void onStageTimer(Call &call, TimePoint now);
  void onDeadline(Call &call);
  void forwardResponse(Call &call, TimePoint now);

  template <typename T>
  void handle(const EndpointId &from, const T &other, TimePoint now);
  void handle(const EndpointId &from, const ProbeReply &reply, TimePoint now);
  void handle(const EndpointId &from, const Accepted &msg, TimePoint now);
  void handle(const EndpointId &from, const Refused &msg, TimePoint now);
  void handle(const EndpointId &from, const Head &msg, TimePoint now);
  void handle(const EndpointId &from, const Chunk &msg, TimePoint now);
  void handle(const EndpointId &from, const Finish &msg, TimePoint now);
  void handle(const EndpointId &from, const ResolveReply &msg, TimePoint now);
  void handle(const EndpointId &from, const Leaving &msg, TimePoint now);
  void handle(const EndpointId &from, const CrashUpdate &msg, TimePoint now);

  Call *findCurrent(RequestId id, AttemptNumber attempt);
  Call *findByRequest(RequestId id);
  const ServiceView *findService(const Call &call) const;
  bool mayRunElsewhere(const Call &call) const;
  void setStageTimer(Call &call, Duration wait, TimePoint now);
  void bind(Call &call, const Ticket &ticket);
  void unbind(Call &call);
  void finishComplete(Call &call, TimePoint now);
  void finishWith(Call &call, ResultCode code);
  void erase(Call &call);
  void callKeyValueStore(Call &call, KvCall body);
  void send(const EndpointId &to, Message message);
  EntryActions takeActions();

  DataCentreId DataCentre;
  EntryLimits Limits;
  ProbePicker Picker;
  RetryBudget Retries;
  std::mt19937_64 Random;
  std::shared_ptr<const RoutingSnapshot> Snapshot;
  std::uint64_t LastKvCall = 0;
  /// Attempt numbers are unique across all calls, as several calls of this
  /// entry may attach to one request.
  AttemptNumber LastAttempt{0};
  std::map<CallId, Call> Calls;
  std::optional<TimePoint> LatestDeadline;
  /// Several calls may attach to one request.
  std::multimap<RequestId, CallId> CallsByRequest;
  std::unordered_map<KvCallId, CallId> CallsByKv;
  std::set<std::pair<TimePoint, CallId>> Timers;
  std::unordered_map<EndpointId, TimePoint> UnresponsiveUntil;
  std::set<EndpointId> KnownLeaving;
  std::string DigestKey;
  /// The random name that identifies this entry to other entries.
  std::string Name;
  CrashQuarantine Crashes;
  CrashReporter Reporter;
  EntryActions Out;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_ROUTING_ENTRYNODE_H
