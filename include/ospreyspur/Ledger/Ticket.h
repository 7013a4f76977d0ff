//===- Ticket.h - permission to run one request once ------------*- C++ -*-===//
//
// A ticket names the one agent incarnation that may run a request. The agent
// seals it, so that a caller can neither extend nor forge one.
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
  /// On the issuing agent's monotonic clock; meaningless elsewhere.
  TimePoint Expires;
  WorkspaceId Workspace;
  /// Keyed hash over all other fields, by the issuer.
  std::string Mac;

  friend bool operator==(const Ticket &, const Ticket &) = default;
};

/// \p ticket as text for headers and for the platform's service.
std::string formatTicket(const Ticket &ticket);

/// Reads formatTicket()'s text. Errors: BadTicket. Checks form, not the seal.
Result<Ticket> parseTicket(std::string_view text);

} // namespace ospreyspur

#endif // OSPREYSPUR_LEDGER_TICKET_H
