//===- DirectCall.h - one caller's request on the direct path ---*- C++ -*-===//
//
// What the shell holds of a request between its arrival and its final answer.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_DIRECTCALL_H
#define OSPREYSPUR_PROCESS_DIRECTCALL_H

#include "ospreyspur/Direct/DirectActions.h"
#include "ospreyspur/Direct/EventCutter.h"
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

/// What the coroutine of a request waits for.
using DirectEvent =
    std::variant<StartAttempt, EndCall, PassOnAnswer, CallerGone>;

/// One request's state in the shell.
struct DirectCall {
  DirectCall(boost::asio::io_context &ioc, DirectRequest request,
             TimePoint arrived)
      : Request(std::move(request)), Arrived(arrived), Inbox(ioc) {}

  DirectRequest Request;
  TimePoint Arrived;
  Mailbox<DirectEvent> Inbox;
  /// The connection of the attempt under way; null between attempts.
  EndpointConnection *Connection = nullptr;
  bool IsCallerGone = false;
  EventCutter Events;
  /// Whether its whole answer has been given. A status alone does not say so:
  /// an answer that says the run failed is kept back while others are tried.
  bool IsAnswered = false;
  /// An answer that says the run failed, should no attempt do better.
  std::optional<HttpResponse> FailedAnswer;
  /// For the log.
  std::string Endpoints;
  unsigned Status = 0;
  /// What the last answer's endpoint asked for.
  Pushback Asked;
  std::optional<TimePoint> FirstByte;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_DIRECTCALL_H
