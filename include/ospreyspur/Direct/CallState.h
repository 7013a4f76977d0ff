//===- CallState.h - one request at a DirectNode ----------------*- C++ -*-===//
//
// What the direct path's state machine holds of a request between its arrival
// and its final answer.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_CALLSTATE_H
#define OSPREYSPUR_DIRECT_CALLSTATE_H

#include "ospreyspur/Direct/DirectActions.h"
#include "ospreyspur/Support/Time.h"

#include <optional>
#include <set>

namespace ospreyspur {

/// One request.
struct CallState {
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
  /// Whether the attempt under way has been told to stop.
  bool IsStopping = false;
  /// Whether the attempt under way says nothing for longer than it may.
  bool IsSilent = false;
  /// Silence after which the attempt is moved if it can be.
  Duration Silence{};
  bool HasFirstByte = false;
  /// Whether a part of the answer has come in any attempt.
  bool HasBegun = false;
  /// Whether an endpoint said that it was full: the next attempt is only for
  /// one that is known to serve.
  bool WasTurnedAway = false;
  /// Whether an attempt was sent whose fate is unknown.
  bool MayHaveRun = false;
  /// From when on a suspect request may start, drawn once it could.
  std::optional<TimePoint> TurnAt;
  std::set<EndpointId> Tried;
  std::optional<EndpointId> Current;
  /// Whether the request under way, or the one to come at Next, was taken from
  /// the rate that its endpoint named.
  bool IsCounted = false;
  bool IsNextCounted = false;
  /// Where it goes on once the attempt under way has stopped; a place there and
  /// a repeat are taken already.
  std::optional<EndpointRecord> Next;

  /// Until when it may wait for an endpoint. How long the caller of a stream
  /// that has begun bears silence only the caller knows; it hangs up then.
  TimePoint waitLimit() const { return HasBegun ? Deadline : WaitUntil; }
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_CALLSTATE_H
