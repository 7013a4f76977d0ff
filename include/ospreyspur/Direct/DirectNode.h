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

#include "ospreyspur/Direct/DirectActions.h"
#include "ospreyspur/Direct/EndpointBook.h"
#include "ospreyspur/Direct/RetryWindow.h"

#include <list>
#include <map>
#include <random>
#include <set>

namespace ospreyspur {

/// Bounds and waits of a DirectNode.
struct DirectLimits {
  /// How long a request may wait for room: a late answer serves its caller
  /// better than none. Callers give a silent stream up after two seconds.
  Duration MaxWait = std::chrono::milliseconds(1500);
  /// The same as a part of the time that its caller still has.
  double MaxWaitPart = 0.4;
  /// Part of the route's target after which a request that still waits cannot
  /// be on time; those that can go first.
  double OnTimePart = 0.6;
  std::size_t MaxWaiting = 256;
  RetryBounds Retries;
  /// Requests sent for one call, those to replaced endpoints included.
  unsigned MaxArrivals = 4;
  /// Silence after which a stream is moved, as a multiple of what endpoints of
  /// its service take to their first event at present, with its bounds. Before
  /// any has answered the longest holds. Callers give up after two seconds.
  double SilenceFactor = 4;
  Duration MinSilence = std::chrono::milliseconds(900);
  Duration MaxSilence = std::chrono::milliseconds(1800);
  /// Pause in a group's streams from which on it is slow: passes of a full
  /// group with a map that does not fit take up to 170 ms on the users'
  /// platform.
  Duration SlowGap = std::chrono::milliseconds(250);
  /// How long an endpoint that answered counts as serving.
  Duration ProvenTime = std::chrono::seconds(2);
  /// Requests that an endpoint of a plain service may have, by its slots.
  double PlainOverload = 2.0;
};

/// Decides for the requests of one entry.
class DirectNode {
public:
  /// \p seed feeds ties and splits between services.
  DirectNode(DataCentreId dataCentre, DirectLimits limits, std::uint64_t seed);

  // Commands: each takes one input and gives the actions that follow.

  void setEndpoints(const std::vector<ListedEndpoint> &endpoints) {
    Book.setEndpoints(endpoints);
  }
  void setPeerLoad(const std::string &peer,
                   const std::vector<EndpointLoad> &loads, TimePoint now) {
    Book.setPeerLoad(peer, loads, now);
  }
  void setRetries(const RetryBounds &bounds) { Retries.setBounds(bounds); }
  /// A new request. Its id must be new.
  DirectActions onCall(DirectRequest request, TimePoint now);
  /// The first byte of the answer came.
  DirectActions onFirstByte(CallId id, TimePoint now);
  /// Events of the answer came; onFirstByte() came before.
  DirectActions onEvents(CallId id, TimePoint now);
  /// The attempt under way has ended.
  DirectActions onAttemptEnded(CallId id, AttemptEnd end, TimePoint now);
  /// What an endpoint told that was asked; nothing if it did not answer.
  DirectActions onTold(const EndpointId &id,
                       const std::optional<EndpointCondition> &condition,
                       TimePoint now);
  /// The caller hung up, or its answer was given; the call is forgotten.
  DirectActions onCallGone(CallId id, TimePoint now);
  /// Does what is due at \p now.
  DirectActions onTimer(TimePoint now);

  // Queries.

  std::optional<TimePoint> nextTimer() const;
  const EndpointBook &book() const { return Book; }
  /// Whether the call still has no final answer.
  bool isKnown(CallId id) const { return Calls.contains(id); }
  std::size_t callCount() const { return Calls.size(); }
  std::size_t waitingCount() const { return Waiting.size(); }

private:
  struct Call {
    DirectRequest Request;
    ServiceId Service;
    TimePoint Arrived;
    TimePoint Deadline;
    /// A request that has not started by then cannot be on time.
    TimePoint OnTimeUntil;
    TimePoint WaitUntil;
    /// Endpoints that may have run it or said that they were full.
    unsigned Attempts = 0;
    /// Requests sent, those to endpoints that were another by then included.
    unsigned Arrivals = 0;
    /// When the attempt under way began, and when it last got something.
    TimePoint SentAt;
    TimePoint HeardAt;
    /// Times that something of the answer came.
    unsigned Parts = 0;
    bool IsStopping = false;
    /// Silence for which the attempt is to be given up.
    Duration Silence{};
    bool HasFirstByte = false;
    /// Whether an endpoint said that it was full: the next attempt is only for
    /// one that is known to serve.
    bool WasTurnedAway = false;
    /// Whether an attempt was sent whose fate is unknown.
    bool MayHaveRun = false;
    std::set<EndpointId> Tried;
    std::optional<EndpointId> Current;
  };

  void startOrWait(Call &call, TimePoint now);
  bool tryStart(Call &call, TimePoint now);
  void noteFirstByte(const Call &call, TimePoint now);
  Duration silenceFor(const Call &call) const;
  void ask(TimePoint now);
  void startWaiting(TimePoint now);
  void startWaiting(bool onTime, TimePoint now);
  void retry(Call &call, ResultCode reason, TimePoint now);
  void resume(Call &call, TimePoint now);
  void end(Call &call, ResultCode code, Duration retryAfter);
  void endNotRun(Call &call, ResultCode code, TimePoint now);
  void endAttempt(Call &call);
  void noteEvidence(const Call &call, AttemptEnd end, TimePoint now);
  const EndpointState *pick(const Call &call, TimePoint now);
  bool hasRoom(const EndpointState &state, const Call &call,
               TimePoint now) const;
  bool canFinish(const EndpointState &state, const Call &call,
                 TimePoint now) const;
  bool shouldMove(const Call &call, TimePoint now);
  double costOf(const EndpointState &state, const Call &call,
                TimePoint now) const;
  ServiceId pickService(const RouteRule &route);
  Duration expectedDrain(const Call &call, TimePoint now) const;
  DirectActions takeActions();

  DataCentreId DataCentre;
  DirectLimits Limits;
  std::mt19937_64 Random;
  EndpointBook Book;
  RetryWindow Retries;
  /// What endpoints of a service take to their first byte, as a running mean.
  std::map<ServiceId, Duration> FirstByteTimes;
  std::map<CallId, Call> Calls;
  /// Calls without an endpoint, the most urgent first, then the oldest.
  std::set<std::tuple<unsigned, TimePoint, CallId>> Waiting;
  DirectActions Out;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_DIRECTNODE_H
