//===- CallerApi.h - requests and responses of callers ----------*- C++ -*-===//
//
// Converts HTTP requests to CallerRequests, and result codes and tickets to
// HTTP responses. The functions have no side effects; docs/API.md documents the
// same interface for callers.
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

/// Parses a caller's request, except for the id, which the caller of this
/// function sets.
/// Errors: Unauthorized, NotFound, BadRequest, BadTicket, UnknownService.
Result<CallerRequest> parseCallerRequest(const HttpRequest &request,
                                         const RoutingSnapshot &snapshot,
                                         Duration defaultDeadline);

/// Returns the JSON body that reports \p code to a caller.
std::string formatErrorBody(ResultCode code);

/// The complete response for \p code. If the request did not run or the claim
/// is unchecked, Retry-After is \p retryAfter in whole seconds, at least 1 s.
HttpResponse makeErrorResponse(ResultCode code, Duration retryAfter);

/// Returns the response that carries \p ticket.
HttpResponse makeTicketResponse(const Ticket &ticket);

} // namespace ospreyspur

#endif // OSPREYSPUR_HTTP_CALLERAPI_H
