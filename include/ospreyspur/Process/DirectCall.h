//===- DirectCall.h - one caller's request on the direct path ---*- C++ -*-===//
//
// The state that DirectTraffic keeps of a request between its arrival and its
// final response.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_DIRECTCALL_H
#define OSPREYSPUR_PROCESS_DIRECTCALL_H

#include "ospreyspur/Direct/DirectActions.h"
#include "ospreyspur/Direct/EventSplitter.h"
#include "ospreyspur/Http/EndpointPool.h"
#include "ospreyspur/Http/Mailbox.h"
#include "ospreyspur/Pushback/Pushback.h"

#include <optional>
#include <string>

namespace ospreyspur {

/// The caller has closed its connection.
struct CallerGone {
  CallId Call;
};

/// An event that resumes the coroutine of a request.
using DirectEvent =
    std::variant<StartAttempt, EndCall, ForwardResponse, CallerGone>;

/// The state of one request in DirectTraffic.
struct DirectCall {
  DirectCall(boost::asio::io_context &ioc, DirectRequest request,
             TimePoint arrived)
      : Request(std::move(request)), Arrived(arrived), Inbox(ioc) {}

  DirectRequest Request;
  TimePoint Arrived;
  Mailbox<DirectEvent> Inbox;
  /// The connection of the running attempt; null between attempts.
  EndpointConnection *Connection = nullptr;
  bool IsCallerGone = false;
  /// Whether an attempt was lost. The next ones use new connections: if kept
  /// connections have fallen silent, each further attempt would be lost, too.
  bool HasLostAttempt = false;
  EventSplitter Events;
  /// Whether the complete response has been sent. Status does not show this: a
  /// response that reports a failed run sets it, too, and is held back while
  /// other endpoints are tried.
  bool IsResponseSent = false;
  /// A response that reports a failed run; sent if no other attempt succeeds.
  std::optional<HttpResponse> FailedResponse;
  /// The endpoints tried so far, separated by commas; for the log.
  std::string Endpoints;
  unsigned Status = 0;
  /// The rate limit and backoff in the last response's head.
  Pushback LastPushback;
  std::optional<TimePoint> FirstByte;
  /// The quarantined part of its prompt for which the request was rejected.
  RequestDigest QuarantinedPart{};
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_DIRECTCALL_H
