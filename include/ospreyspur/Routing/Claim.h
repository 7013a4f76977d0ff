//===- Claim.h - binds an idempotency key to a ticket -----------*- C++ -*-===//
//
// The value that an entry keeps in the platform's service for a caller's
// Idempotency-Key: which request it belongs to and the ticket it runs under.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_ROUTING_CLAIM_H
#define OSPREYSPUR_ROUTING_CLAIM_H

#include "ospreyspur/Ledger/Ticket.h"
#include "ospreyspur/Routing/EntryActions.h"
#include "ospreyspur/Support/Result.h"

#include <string>

namespace ospreyspur {

/// A ticket, and the fingerprint of the request that may use it.
struct Claim {
  std::string Fingerprint;
  Ticket Permit;
};

/// The platform's key for \p key of \p workspace.
std::string claimKey(const WorkspaceId &workspace, const std::string &key);

/// Tells two requests under one key apart.
std::string fingerprint(const CallerRequest &request);

/// \p claim as the platform's value.
std::string formatClaim(const Claim &claim);

/// Reads formatClaim()'s text. Errors: PlatformBadAnswer.
Result<Claim> parseClaim(const std::string &text);

} // namespace ospreyspur

#endif // OSPREYSPUR_ROUTING_CLAIM_H
