//===- Claim.h - binds an idempotency key to a ticket -----------*- C++ -*-===//
//
// The value that an entry keeps in the key-value store for a caller's
// Idempotency-Key: the request that uses the key and the ticket of its run.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_ROUTING_CLAIM_H
#define OSPREYSPUR_ROUTING_CLAIM_H

#include "ospreyspur/Ledger/Ticket.h"
#include "ospreyspur/Routing/EntryActions.h"
#include "ospreyspur/Support/Result.h"

#include <string>

namespace ospreyspur {

/// A ticket and the fingerprint of the request that may use it.
struct Claim {
  std::string Fingerprint;
  Ticket Permit;
};

/// Returns the store's key for the idempotency key \p key of \p workspace.
std::string claimKey(const WorkspaceId &workspace, const std::string &key);

/// Returns a hash that differs for different requests under one key.
std::string fingerprint(const CallerRequest &request);

/// Returns \p claim as the value to store.
std::string formatClaim(const Claim &claim);

/// Parses the text written by formatClaim(). Errors: PlatformBadAnswer.
Result<Claim> parseClaim(const std::string &text);

} // namespace ospreyspur

#endif // OSPREYSPUR_ROUTING_CLAIM_H
