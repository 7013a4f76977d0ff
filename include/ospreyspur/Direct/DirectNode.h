//===- DirectNode.h - takes requests straight to endpoints ------*- C++ -*-===//
//
// The state machine of an entry's traffic on the direct path. For each request
// it picks an endpoint, waits for room or refuses, and decides what follows a
// failed attempt. "Not run" is only said when nothing was sent or the endpoint
// said so. It does no I/O: inputs and the time go in, actions come out.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_DIRECTNODE_H
#define OSPREYSPUR_DIRECT_DIRECTNODE_H

#include "ospreyspur/Direct/EndpointPicker.h"
#include "ospreyspur/Direct/FleetSize.h"
#include "ospreyspur/Pushback/Pushback.h"
#include "ospreyspur/Quarantine/CrashNote.h"
#include "ospreyspur/Quarantine/CrashTracker.h"

#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace ospreyspur {

/// Decides for the requests of one entry.
class DirectNode {
public:
  /// \p seed feeds ties and splits between services; \p name is this entry's
  /// among the others.
  DirectNode(DataCentreId dataCentre, DirectLimits limits, std::uint64_t seed,
             std::string name = "");
  DirectNode(const DirectNode &) = delete;
  DirectNode &operator=(const DirectNode &) = delete;

  // Commands: each takes one input and gives the actions that follow.

  void setEndpoints(const std::vector<ListedEndpoint> &endpoints) {
    Book.setEndpoints(endpoints);
  }
  void setPeerLoad(const std::string &peer,
                   const std::vector<EndpointLoad> &loads, TimePoint now) {
    Fleet.onHeard(peer, now);
    Book.setPeerLoad(peer, loads, now);
  }
  /// The process begins at \p now. From then on the bounds on repeats are kept
  /// together with processes that ended before, and with entries that are
  /// listed but not heard of.
  void beginLife(TimePoint now) {
    MustKnowFleet = true;
    Begin = now;
    Retries.setBegin(now);
  }
  /// The replaced endpoints to report to the other entries now.
  std::vector<LifeDigest> takeReplacedReport() {
    return Book.takeReplacedReport();
  }
  /// Endpoints that another entry reported as replaced.
  void mergeReplaced(const std::vector<LifeDigest> &lives, TimePoint now) {
    Book.mergeReplaced(lives, now);
  }
  /// The store lists the entries \p names, apart from this one.
  void setListedEntries(std::set<std::string> names, TimePoint now) {
    Fleet.setListed(std::move(names), now);
  }
  void setRetries(const RetryBounds &bounds) { Retries.setBounds(bounds); }
  /// A new request. Its id must be new.
  DirectActions onCall(DirectRequest request, TimePoint now);
  /// The first byte of the answer came.
  DirectActions onFirstByte(CallId id, TimePoint now);
  /// Events of the answer came; onFirstByte() came before.
  DirectActions onEvents(CallId id, TimePoint now);
  /// The attempt under way has said nothing for the silence it was given. It
  /// is stopped if the call can go on elsewhere at once; else it may go on.
  DirectActions onSilent(CallId id, TimePoint now);
  /// The attempt under way has ended.
  DirectActions onAttemptEnded(CallId id, AttemptEnd end, TimePoint now,
                               ConnectionEnd connection = ConnectionEnd::Ours);
  /// The answer to CheckEndpoint.
  DirectActions onChecked(const EndpointId &id, EndpointFate fate,
                          TimePoint now);
  /// What the entry \p peer knows of requests under which endpoints ended.
  DirectActions onCrashReport(const std::string &peer,
                              const CrashReport &report, TimePoint now);
  /// Requests that had been quarantined before this process began.
  DirectActions restoreQuarantine(const std::vector<RequestDigest> &requests,
                                  TimePoint now);
  /// What to tell the other entries of such requests now.
  CrashReport takeCrashReport(TimePoint now);
  /// The head of an answer of the endpoint \p id came. \p sentAt is when its
  /// request was sent; nothing if that is not known or the answer may not be
  /// the endpoint's own: it then lifts nothing.
  DirectActions onPushback(const EndpointId &id, const Pushback &asked,
                           std::optional<TimePoint> sentAt, TimePoint now);
  /// Another entry told of rates that endpoints named.
  DirectActions onRateLimits(const std::vector<RateLimitRow> &rows,
                             TimePoint now);
  /// The entry \p peer, whose load setPeerLoad() was told, has no callers.
  void onIdlePeer(const std::string &peer, TimePoint now) {
    Fleet.onIdle(peer, now);
  }
  /// Another entry has begun and asks for what is known.
  void onPeerBegun(TimePoint now) { Rates.tellAgain(now); }
  /// Whether this entry asks the others so.
  bool isNew(TimePoint now) const;
  /// Whether this entry has no callers: others may send its part of what
  /// endpoints take.
  bool isIdle(TimePoint now) const;
  /// The rates to tell the other entries now.
  std::vector<RateLimitRow> takeRateReport(TimePoint now) {
    return Rates.takeReport(now);
  }
  /// Lives of endpoints that said that they leave, to tell the other entries
  /// now.
  std::vector<LifeDigest> takeLeavingReport() {
    return Closed.takeLeavingReport();
  }
  /// Another entry told of such lives.
  DirectActions onLeaving(const std::vector<LifeDigest> &lives, TimePoint now);
  /// Whether the request of the attempt under way may be written now. Time has
  /// passed since its endpoint was picked, and the endpoint may have asked for
  /// less meanwhile.
  bool maySend(CallId id, TimePoint now);
  /// Whether the endpoint \p id may be asked beside its requests.
  bool takesQuestions(const EndpointId &id, TimePoint now) const {
    const EndpointState *state = Book.find(id);
    return !state || (!Rates.isLimited(state->Life) && !isClosed(*state, now));
  }
  /// What an endpoint told that was asked; nothing if it did not answer.
  DirectActions onTold(const EndpointId &id,
                       const std::optional<EndpointCondition> &condition,
                       TimePoint now);
  /// The caller hung up, or its answer was given; the call is forgotten.
  DirectActions onCallGone(CallId id, TimePoint now);
  /// Does what is due at \p now.
  DirectActions onTimer(TimePoint now);

  /// The requests that began to wait since the last call, for the log.
  std::vector<WaitNote> takeWaitNotes() { return std::exchange(Notes, {}); }
  /// The ends of endpoints that were put down to requests since the last call,
  /// for the log.
  std::vector<CrashNote> takeCrashNotes() {
    return std::exchange(CrashNotes, {});
  }
  /// The changes of rates that endpoints named since the last call, for the
  /// log.
  std::vector<RateLimitNote> takeRateNotes() { return Rates.takeNotes(); }
  /// The pauses that endpoints asked for since the last call, for the log.
  std::vector<RestNote> takeRestNotes() { return Closed.takeNotes(); }
  /// The lives that said that they leave since the last call, for the log.
  std::vector<LifeDigest> takeLeavingNotes() {
    return Closed.takeLeavingNotes();
  }

  // Queries.

  std::optional<TimePoint> nextTimer() const;
  const EndpointBook &book() const { return Book; }
  const CrashTracker &crashes() const { return Crashes; }
  const RateLimits &rates() const { return Rates; }
  const ClosedEndpoints &closed() const { return Closed; }
  /// Whether the call still has no final answer.
  bool isKnown(CallId id) const { return Calls.contains(id); }
  std::size_t callCount() const { return Calls.size(); }
  std::size_t waitingCount() const { return Waiting.size(); }

private:
  /// A request that was cut, until its endpoint's fate is known.
  struct CutRun {
    RequestDigest Request;
    std::string Label;
    ServiceId Service;
    Duration Ran{};
  };

  /// Suspects under way in a report: one a place of this entry's at most.
  static constexpr std::size_t MaxToldRuns = 64;

  void noteCut(const CallState &call, TimePoint now);
  void noteCrash(const EndpointId &id, const CutRun &run, TimePoint now);
  void judgeCrashes(TimePoint now);
  void leaveGroupOf(const EndpointId &id, TimePoint now);
  void noteToldEnds(const CrashReport &report, TimePoint now);
  void quarantine(RequestDigest request, bool isTold, TimePoint now);
  bool isSuspect(const CallState &call) const;
  const EndpointState *pickForSuspect(CallState &call, TimePoint now);
  bool mustStandBack(const CallState &call, TimePoint now) const;
  std::set<LifeDigest> livesOfSuspects(const CallState &call,
                                       TimePoint now) const;
  void endQuarantined(RequestDigest request, TimePoint now);
  std::size_t entriesToShare(TimePoint now) const;
  void refreshMembers(TimePoint now);
  void onLessRoom(TimePoint now);
  bool isResting(const EndpointId &id, TimePoint now) const;
  bool isClosed(const EndpointState &state, TimePoint now) const {
    return state.Record.IsLeaving || Closed.isLeaving(state.Life) ||
           Closed.isResting(state.Life, now);
  }
  bool mayAsk(const EndpointState &state, TimePoint now);
  ResultCode heldBackBy(const CallState &call, TimePoint now) const;
  bool isHopeless(const CallState &call, TimePoint now) const;
  std::size_t waitingFor(const ServiceId &service) const;
  void endHopeless(TimePoint now);
  Duration expectedRoom(const CallState &call, TimePoint now);
  Duration expectedRestEnd(const CallState &call, TimePoint now);
  Duration draw(Duration least, Duration most);
  void startOrWait(CallState &call, TimePoint now);
  void wait(const CallState &call, TimePoint now);
  void noteWait(const CallState &call, TimePoint now);
  bool tryStart(CallState &call, TimePoint now);
  void noteFirstByte(const CallState &call, TimePoint now);
  Duration silenceFor(const CallState &call) const;
  void ask(TimePoint now);
  void startWaiting(TimePoint now);
  void startWaiting(bool onTime, TimePoint now);
  void begin(CallState &call, const EndpointRecord &endpoint, TimePoint now);
  void retry(CallState &call, ResultCode reason, TimePoint now);
  bool mayTry(const CallState &call, TimePoint now) const;
  bool tryMove(CallState &call, MoveReason reason, TimePoint now);
  bool goOn(CallState &call, TimePoint now);
  void releaseNext(CallState &call);
  void noteHeard(CallState &call, TimePoint now);
  void end(CallState &call, ResultCode code, Duration retryAfter);
  void endNotRun(CallState &call, ResultCode code, TimePoint now);
  void endAttempt(CallState &call);
  void noteEvidence(const CallState &call, AttemptEnd end, TimePoint now);
  bool isTooSlow(const CallState &call, TimePoint now) const;
  ServiceId pickService(const RouteRule &route);
  Duration expectedDrain(const CallState &call, TimePoint now) const;
  DirectActions takeActions();

  DataCentreId DataCentre;
  DirectLimits Limits;
  std::mt19937_64 Random;
  EndpointBook Book;
  ArrivalRate Arrivals;
  RateLimits Rates;
  ClosedEndpoints Closed;
  /// This entry's name in the fleet, and when the members were last counted.
  std::string Name;
  std::optional<TimePoint> MembersAt;
  /// When onTimer() ran last: what was due by then has been done.
  TimePoint LastTimer;
  EndpointPicker Picker;
  RetryWindow Retries;
  FleetSize Fleet;
  /// Whether nothing is taken of the allowance before the store has listed the
  /// entries once.
  bool MustKnowFleet = false;
  std::optional<TimePoint> Begin;
  /// When the last call came, and the first one after a time without any.
  std::optional<TimePoint> LastCallAt;
  std::optional<TimePoint> ActiveSince;
  /// What endpoints of a service take to their first byte, as a running mean.
  std::map<ServiceId, Duration> FirstByteTimes;
  std::map<CallId, CallState> Calls;
  /// Calls without an endpoint, the most urgent first, then the oldest.
  std::set<std::tuple<unsigned, TimePoint, CallId>> Waiting;
  /// Calls whose attempt under way is silent.
  std::set<CallId> Silent;
  std::vector<WaitNote> Notes;
  CrashTracker Crashes;
  /// What was cut at endpoints whose fate is being asked.
  std::map<EndpointId, std::vector<CutRun>> Checks;
  std::vector<CrashNote> CrashNotes;
  DirectActions Out;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_DIRECTNODE_H
