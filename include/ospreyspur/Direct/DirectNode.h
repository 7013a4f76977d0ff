//===- DirectNode.h - takes requests straight to endpoints ------*- C++ -*-===//
//
// The state machine of an entry's requests on the direct path. For each request
// it picks an endpoint, queues the request until one has capacity or refuses
// it, and decides how to proceed after a failed attempt. A request is reported
// as not run only if nothing was sent or the endpoint said that it did not run
// it. The class does no I/O: inputs and the current time go in, actions come
// out.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_DIRECTNODE_H
#define OSPREYSPUR_DIRECT_DIRECTNODE_H

#include "ospreyspur/Direct/EndpointPicker.h"
#include "ospreyspur/Direct/FleetSize.h"
#include "ospreyspur/Pushback/Pushback.h"
#include "ospreyspur/Quarantine/CrashQuarantine.h"

#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace ospreyspur {

/// Schedules, retries and migrates the requests of one entry.
class DirectNode {
public:
  /// \p seed seeds the random choices between equally good endpoints and
  /// between the services of a route. \p name identifies this entry among the
  /// others.
  DirectNode(DataCentreId dataCentre, DirectLimits limits, std::uint64_t seed,
             std::string name = "");
  DirectNode(const DirectNode &) = delete;
  DirectNode &operator=(const DirectNode &) = delete;

  // Commands: each takes one input and returns the actions that follow.

  void setEndpoints(const std::vector<ListedEndpoint> &endpoints) {
    Table.setEndpoints(endpoints);
    HasNewList = true;
  }
  /// Takes the endpoint list of setEndpoints() to find the cold endpoints of
  /// services that state what such endpoints bear.
  void setColdEndpoints(const std::vector<ListedEndpoint> &endpoints,
                        const FleetConfig &config, TimePoint now);
  void setPeerLoad(const std::string &peer,
                   const std::vector<EndpointLoad> &loads, TimePoint now) {
    Fleet.onReport(peer, now);
    Table.setPeerLoad(peer, loads, now);
    Slow.update(now);
  }
  /// Takes the report of an entry that does not share this entry's subset and
  /// therefore left its load out.
  void onOutsideReport(const std::string &peer, TimePoint now) {
    Fleet.onReport(peer, now);
  }
  /// Sets the other entries that share this entry's subset; unset if the subset
  /// is all endpoints.
  void setSharing(std::optional<std::set<std::string>> names) {
    Sharing = std::move(names);
    MembersAt.reset();
  }
  /// The process starts at \p now. From then on the retry budget accounts for
  /// retries that earlier incarnations of this process may have sent, and for
  /// entries that are listed but have not sent a report.
  void onProcessStarted(TimePoint now) {
    MustKnowFleet = true;
    Begin = now;
    Retries.setBegin(now);
  }
  /// Returns the replaced endpoints to report to the other entries now.
  std::vector<IncarnationDigest> takeReplacedReport() {
    return Table.takeReplacedReport();
  }
  /// Takes the endpoints that another entry reported as replaced.
  void mergeReplaced(const std::vector<IncarnationDigest> &incarnations,
                     TimePoint now) {
    Table.mergeReplaced(incarnations, now);
  }
  /// The key-value store lists the entries \p names, apart from this one.
  void setListedEntries(std::set<std::string> names, TimePoint now) {
    Fleet.setListed(std::move(names), now);
  }
  void setRetries(const RetryLimits &limits) { Retries.setLimits(limits); }
  /// Takes a new request, whose id must be unused.
  DirectActions onCall(DirectRequest request, TimePoint now);
  /// From now on no request, new or known, has a deadline after \p latest.
  DirectActions limitDeadlines(TimePoint latest);
  /// The first byte of the response arrived.
  DirectActions onFirstByte(CallId id, TimePoint now);
  /// Events of the response arrived after onFirstByte().
  DirectActions onEvents(CallId id, TimePoint now);
  /// The current attempt has been silent for the period that StartAttempt gave.
  /// It is stopped if the call can continue at another endpoint at once;
  /// otherwise it goes on.
  DirectActions onSilent(CallId id, TimePoint now);
  /// The current attempt has ended.
  DirectActions onAttemptEnded(CallId id, AttemptEnd end, TimePoint now,
                               ConnectionEnd connection = ConnectionEnd::Ours);
  /// Takes the result of CheckEndpoint.
  DirectActions onChecked(const EndpointId &id, EndpointLiveness liveness,
                          TimePoint now);
  /// Merges the crash report of the entry \p peer.
  DirectActions onCrashReport(const std::string &peer,
                              const CrashReport &report, TimePoint now);
  /// Restores the requests and prompt parts that were quarantined before this
  /// process started.
  DirectActions restoreQuarantine(const std::vector<RequestDigest> &requests,
                                  TimePoint now);
  /// Returns the crash report to send to the other entries now.
  CrashReport takeCrashReport(TimePoint now);
  /// The response headers of the endpoint \p id arrived. \p sentAt is when its
  /// request was sent. \p sentAt is unset if that time is unknown or the
  /// response may not be the endpoint's own; such a response never raises or
  /// removes a limit.
  DirectActions onPushback(const EndpointId &id, const Pushback &pushback,
                           std::optional<TimePoint> sentAt, TimePoint now);
  /// Takes the rate limits that endpoints advertised, as reported by another
  /// entry.
  DirectActions onRateLimits(const std::vector<RateLimitRecord> &records,
                             TimePoint now);
  /// The entry \p peer, whose load was passed to setPeerLoad(), has no callers.
  void onIdlePeer(const std::string &peer, TimePoint now) {
    Fleet.onIdle(peer, now);
  }
  /// Another entry has started and requests the known rate limits.
  void onPeerStarted(TimePoint now) { Rates.announceToNewEntry(now); }
  /// Whether this entry has just started and asks the others for their known
  /// rate limits.
  bool isNew(TimePoint now) const;
  /// Whether this entry has no callers. The other entries may then use its
  /// share of the advertised rate limits.
  bool isIdle(TimePoint now) const;
  /// Returns the rate limits to report to the other entries now.
  std::vector<RateLimitRecord> takeRateReport(TimePoint now) {
    return Rates.takeReport(now);
  }
  /// Returns the incarnations that announced that they are draining, to report
  /// to the other entries now.
  std::vector<IncarnationDigest> takeLeavingReport() {
    return Excluded.takeLeavingReport();
  }
  /// Takes the draining incarnations that another entry reported.
  DirectActions onLeaving(const std::vector<IncarnationDigest> &incarnations,
                          TimePoint now);
  /// Whether the request of the current attempt may be written now. The
  /// endpoint may have lowered its limits since it was picked.
  bool maySend(CallId id, TimePoint now);
  /// Whether the endpoint \p id may be sent status queries in addition to its
  /// requests.
  bool acceptsStatusQueries(const EndpointId &id, TimePoint now) const {
    const EndpointState *state = Table.find(id);
    return !state ||
           (!Rates.isLimited(state->Incarnation) && !isExcluded(*state, now));
  }
  /// Takes an endpoint's status report; \p status is unset if the endpoint
  /// did not respond to the query.
  DirectActions onStatusReport(const EndpointId &id,
                               const std::optional<EndpointStatus> &status,
                               TimePoint now);
  /// The caller hung up or has its response; the call is forgotten.
  DirectActions onCallClosed(CallId id, TimePoint now);
  /// Handles everything that is due at \p now.
  DirectActions onTimer(TimePoint now);

  /// Returns the requests that started to wait since the last call, for the
  /// log.
  std::vector<WaitLogRecord> takeWaitLogRecords() {
    return std::exchange(WaitLogRecords, {});
  }
  /// Returns the endpoint crashes that were attributed to requests since the
  /// last call, for the log.
  std::vector<CrashLogRecord> takeCrashLogRecords() {
    return Crashes.takeLogRecords();
  }
  /// Returns the changes of advertised rate limits since the last call, for the
  /// log.
  std::vector<RateLimitLogRecord> takeRateLimitLogRecords() {
    return Rates.takeLogRecords();
  }
  /// Returns the ranks that began or ceased to be slow since the last call, for
  /// the log.
  std::vector<SlowRankLogRecord> takeSlowRankLogRecords() {
    return Slow.takeLogRecords();
  }
  /// Returns the endpoints that became cold since the last call, and for how
  /// long each stays cold, for the log.
  std::vector<std::pair<IncarnationDigest, Duration>> takeColdLogRecords() {
    return Cold.takeLogRecords();
  }
  /// Returns the backoffs that endpoints asked for since the last call, for the
  /// log.
  std::vector<BackoffLogRecord> takeBackoffLogRecords() {
    return Excluded.takeLogRecords();
  }
  /// Returns the incarnations that announced that they are draining since the
  /// last call, for the log.
  std::vector<IncarnationDigest> takeLeavingLogRecords() {
    return Excluded.takeLeavingLogRecords();
  }

  // Queries.

  std::optional<TimePoint> nextTimer() const;
  const EndpointTable &endpointTable() const { return Table; }
  const CrashQuarantine &crashes() const { return Crashes; }
  const RateLimits &rates() const { return Rates; }
  const ExcludedEndpoints &excluded() const { return Excluded; }
  const SlowRanks &slowRanks() const { return Slow; }
  /// Whether the call still lacks its final response.
  bool isKnown(CallId id) const { return Calls.contains(id); }
  std::size_t callCount() const { return Calls.size(); }
  std::size_t waitingCount() const { return Waiting.size(); }

private:
  /// Maximum number of attempts of suspect requests in one report. Each attempt
  /// occupies one of the slots that this entry uses.
  static constexpr std::size_t MaxReportedAttempts = 64;

  void handleClosedConnection(const CallState &call, TimePoint now);
  void recordCrash(const EndpointId &id, const CrashedAttempt &attempt,
                   TimePoint now);
  void evaluateCrashes(TimePoint now);
  void excludeGroupOf(const EndpointId &id, TimePoint now);
  void handleReportedCrashes(const CrashReport &report, TimePoint now);
  void quarantine(RequestDigest request, bool isFromPeer, TimePoint now);
  bool isSuspect(const CallState &call) const;
  const EndpointState *pickForSuspect(CallState &call, TimePoint now);
  bool mustDefer(const CallState &call, TimePoint now) const;
  std::set<IncarnationDigest> incarnationsOfSuspects(const CallState &call,
                                                     TimePoint now) const;
  void quarantinePart(RequestDigest part, bool isFromPeer);
  void endQuarantined(TimePoint now);
  void recordProgress(CallState &call, TimePoint now);
  static bool hasOutlastedStart(const CallState &call, TimePoint now);
  std::size_t countSharingEntries(TimePoint now) const;
  void refreshMembers(TimePoint now);
  void onLimitsChanged(TimePoint now);
  bool isInBackoff(const EndpointId &id, TimePoint now) const;
  bool isExcluded(const EndpointState &state, TimePoint now) const {
    return state.Record.IsLeaving || state.IsDrained ||
           Excluded.isLeaving(state.Incarnation) ||
           Excluded.isInBackoff(state.Incarnation, now);
  }
  bool mayQuery(const EndpointState &state, TimePoint now);
  bool isLimited(const EndpointState &state) const {
    return Rates.isLimited(state.Incarnation) || Cold.isCold(state.Incarnation);
  }
  bool takeTokens(const EndpointState &state, TimePoint now);
  bool hasExclusions() const {
    return Rates.limitedCount() > 0 || !Excluded.isEmpty() ||
           Table.hasDrained();
  }
  ResultCode pushbackReason(const CallState &call, TimePoint now) const;
  bool isUnservable(const CallState &call, TimePoint now) const;
  std::size_t waitingFor(const ServiceId &service) const;
  void endUnservable(TimePoint now);
  Duration expectedCapacityDelay(const CallState &call, TimePoint now);
  Duration expectedBackoffDelay(const CallState &call, TimePoint now);
  Duration drawUniform(Duration least, Duration most);
  void startOrWait(CallState &call, TimePoint now);
  void wait(const CallState &call, TimePoint now);
  void recordWait(const CallState &call, TimePoint now);
  bool tryStart(CallState &call, TimePoint now);
  void recordFirstByte(const CallState &call, TimePoint now);
  Duration allowedSilence(const CallState &call) const;
  void sendStatusQueries(TimePoint now);
  void startWaiting(TimePoint now);
  void startWaiting(bool onTime, TimePoint now);
  void startAttempt(CallState &call, const EndpointRecord &endpoint,
                    TimePoint now);
  void retry(CallState &call, ResultCode reason, TimePoint now);
  bool mayAttempt(const CallState &call, TimePoint now) const;
  bool tryMigrate(CallState &call, StopReason reason, TimePoint now);
  bool isOnSlowRank(const CallState &call) const;
  void emptySlowRanks(TimePoint now);
  bool startNext(CallState &call, TimePoint now);
  void releaseNext(CallState &call);
  void recordReceived(CallState &call, TimePoint now);
  void end(CallState &call, ResultCode code, Duration retryAfter);
  void endNotRun(CallState &call, ResultCode code, TimePoint now);
  void endAttempt(CallState &call);
  void recordOutcome(const CallState &call, AttemptEnd end, TimePoint now);
  bool isTooSlow(const CallState &call, TimePoint now) const;
  ServiceId pickService(const RouteRule &route);
  Duration expectedQueueDelay(const CallState &call, TimePoint now) const;
  DirectActions takeActions();

  DataCentreId DataCentre;
  DirectLimits Limits;
  std::mt19937_64 Random;
  EndpointTable Table;
  ArrivalRate Arrivals;
  RateLimits Rates;
  ColdEndpoints Cold;
  ExcludedEndpoints Excluded;
  SlowRanks Slow;
  /// This entry's name, its digest, and when the members of the fleet were last
  /// counted.
  std::string Name;
  std::uint64_t NameDigest;
  std::optional<TimePoint> MembersAt;
  /// When onTimer() last ran. Everything due by then has been handled.
  TimePoint LastTimer;
  EndpointPicker Picker;
  RetryWindow Retries;
  FleetSize Fleet;
  /// The other entries with the same subset; unset if it is all endpoints.
  std::optional<std::set<std::string>> Sharing;
  /// Whether the shared retry allowance must not be used before the store has
  /// listed the entries once.
  bool MustKnowFleet = false;
  std::optional<TimePoint> Begin;
  /// When the last call arrived, and when the first one arrived after an idle
  /// period.
  std::optional<TimePoint> LastCallAt;
  std::optional<TimePoint> ActiveSince;
  /// Running mean of the time to first byte, by service.
  std::map<ServiceId, Duration> FirstByteTimes;
  std::map<CallId, CallState> Calls;
  std::optional<TimePoint> LatestDeadline;
  /// Calls that wait for an endpoint, most urgent priority first, then oldest
  /// first.
  std::set<std::tuple<unsigned, TimePoint, CallId>> Waiting;
  /// Calls whose current attempt is to be migrated if possible; see
  /// CallState::IsSilent.
  std::set<CallId> Silent;
  /// When events last triggered a check for due queries.
  TimePoint EventQueryAt;
  /// Whether the endpoint list was replaced after onTimer() last ran.
  bool HasNewList = false;
  std::vector<WaitLogRecord> WaitLogRecords;
  CrashQuarantine Crashes;
  /// Attempts whose connections were closed by endpoints whose liveness is
  /// being checked.
  std::map<EndpointId, std::vector<CrashedAttempt>> Checks;
  DirectActions Out;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_DIRECTNODE_H
