//===- CallState.h - state of one request at a DirectNode -------*- C++ -*-===//
//
// The state that a DirectNode keeps for a request from its arrival to its final
// response.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_CALLSTATE_H
#define OSPREYSPUR_DIRECT_CALLSTATE_H

#include "ospreyspur/Direct/DirectActions.h"
#include "ospreyspur/Quarantine/CrashQuarantine.h"
#include "ospreyspur/Support/Time.h"

#include <optional>
#include <set>

namespace ospreyspur {

/// The state of one request.
struct CallState {
  DirectRequest Request;
  ServiceId Service;
  /// What identifies the request as a possible cause of crashes.
  CrashSubject Subject;
  TimePoint Arrived;
  TimePoint Deadline;
  /// A request that has not started by this time can no longer meet its latency
  /// target.
  TimePoint OnTimeUntil;
  TimePoint WaitUntil;
  /// Number of attempts that count toward the limit of the route, the current
  /// one included. An attempt does not count if nothing was sent, if another
  /// incarnation had the address, or if an endpoint rejected a stream that had
  /// begun as full.
  unsigned Attempts = 0;
  /// Number of times the request was sent, including to addresses that another
  /// incarnation had taken over.
  unsigned Sends = 0;
  /// When the current attempt started, and when it last received data.
  TimePoint SentAt;
  TimePoint ReceivedAt;
  /// Number of times that response data arrived.
  unsigned ReceivedParts = 0;
  /// Whether the current attempt is being stopped.
  bool IsStopping = false;
  /// Whether the current attempt is to be migrated if possible: it has been
  /// silent for longer than \c MaxIdleTime, or another rank of its group has
  /// crashed.
  bool IsSilent = false;
  /// Silent period after which the attempt is migrated if possible.
  Duration MaxIdleTime{};
  bool HasFirstByte = false;
  TimePoint FirstByteAt;
  /// Whether the endpoint of the current attempt has been sending its response
  /// for some time.
  bool HasProgressed = false;
  /// Whether any attempt has received part of the response.
  bool HasBegun = false;
  /// Whether an endpoint rejected the request as full. The next attempt then
  /// only goes to an endpoint that is known to serve.
  bool WasRejected = false;
  /// Whether an attempt ran, or was sent and has an unknown outcome.
  bool MayHaveRun = false;
  /// Whether an endpoint responded that its run failed. The response is kept
  /// for the caller.
  bool HasFailedResponse = false;
  /// Earliest start time of a suspect request with more than one crash, drawn
  /// at random once an endpoint is available to it. It is reset when no
  /// endpoint is available or the call must be deferred.
  std::optional<TimePoint> CopyStartAt;
  std::set<EndpointId> Tried;
  std::optional<EndpointId> Current;
  /// Whether the current attempt, or the one that is to follow at \c Next, was
  /// charged to the rate limit that its endpoint advertised.
  bool IsCharged = false;
  bool IsNextCharged = false;
  /// Where the request continues once the current attempt has stopped. A slot
  /// there and a retry from the budget are already reserved.
  std::optional<EndpointRecord> Next;

  /// Returns until when the request may wait for an endpoint. A stream that has
  /// begun may wait until its deadline: only its caller knows how long a silent
  /// period it tolerates, and hangs up after that.
  TimePoint waitLimit() const { return HasBegun ? Deadline : WaitUntil; }
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_CALLSTATE_H
