//===- Ticket.h - permission to run one request once ------------*- C++ -*-===//
//
// A ticket names the one agent incarnation that may run a request. The agent
// signs each ticket with a MAC, so that a caller can neither extend nor forge
// one.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_LEDGER_TICKET_H
#define OSPREYSPUR_LEDGER_TICKET_H

#include "ospreyspur/Support/Ids.h"
#include "ospreyspur/Support/Result.h"
#include "ospreyspur/Support/Time.h"

#include <string>
#include <string_view>

namespace ospreyspur {

/// Permission to run one request at one agent incarnation.
struct Ticket {
  EndpointId Endpoint;
  RequestId Id;
  /// Expiry on the issuing agent's monotonic clock; meaningless elsewhere.
  TimePoint Expires;
  WorkspaceId Workspace;
  /// The issuer's message authentication code over all other fields.
  std::string Mac;

  friend bool operator==(const Ticket &, const Ticket &) = default;
};

/// Returns \p ticket as text for HTTP headers and for the key-value store.
std::string formatTicket(const Ticket &ticket);

/// Parses the text written by formatTicket(). Checks the syntax only, not the
/// MAC. Errors: BadTicket.
Result<Ticket> parseTicket(std::string_view text);

} // namespace ospreyspur

#endif // OSPREYSPUR_LEDGER_TICKET_H
