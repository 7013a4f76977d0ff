//===- CallerApi.h - what callers send and get ------------------*- C++ -*-===//
//
// Turns an HTTP request into a CallerRequest and results into HTTP answers.
// Pure functions; docs/API.md describes the same for callers.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_HTTP_CALLERAPI_H
#define OSPREYSPUR_HTTP_CALLERAPI_H

#include "ospreyspur/Http/HttpTypes.h"
#include "ospreyspur/Routing/EntryActions.h"
#include "ospreyspur/Routing/RoutingSnapshot.h"
#include "ospreyspur/Support/Result.h"

#include <string>

namespace ospreyspur {

inline constexpr char DeadlineHeader[] = "Ospreyspur-Deadline-Ms";
inline constexpr char TicketHeader[] = "Ospreyspur-Ticket";
inline constexpr char OutcomeHeader[] = "Ospreyspur-Outcome";
inline constexpr char IdempotencyHeader[] = "Idempotency-Key";

/// Reads a caller's request; the id is left for the caller of this function.
/// Errors: Unauthorized, NotFound, BadRequest, BadTicket, UnknownService.
Result<CallerRequest> parseCallerRequest(const HttpRequest &request,
                                         const RoutingSnapshot &snapshot,
                                         Duration defaultDeadline);

/// The body that says \p code to a caller.
std::string formatErrorBody(ResultCode code);

/// The whole response that says \p code; Retry-After if \p retryAfter is set.
HttpResponse makeErrorResponse(ResultCode code, Duration retryAfter);

/// The response that hands out \p ticket.
HttpResponse makeTicketResponse(const Ticket &ticket);

} // namespace ospreyspur

#endif // OSPREYSPUR_HTTP_CALLERAPI_H
