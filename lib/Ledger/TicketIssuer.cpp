//===- TicketIssuer.cpp - issues and verifies tickets ---------------------===//
//
// The MAC is HMAC-SHA256 over the ticket's other fields, truncated to 16 bytes.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Ledger/TicketIssuer.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <cassert>

using namespace ospreyspur;

static constexpr std::size_t MacBytes = 16;

TicketIssuer::TicketIssuer(EndpointId endpoint, Incarnation incarnation,
                           std::string key)
    : Endpoint(std::move(endpoint)), Self(incarnation), Key(std::move(key)) {
  assert(!Key.empty() && "issuing tickets requires a MAC key");
}

Ticket TicketIssuer::issue(const WorkspaceId &workspace, Duration validFor,
                           TimePoint now) {
  Last = TicketSequence(Last.get() + 1);
  Ticket ticket{Endpoint, {Self, Last}, now + validFor, workspace, {}};
  ticket.Mac = computeMac(ticket);
  return ticket;
}

bool TicketIssuer::isGenuine(const Ticket &ticket) const {
  std::string expected = computeMac(ticket);
  if (ticket.Mac.size() != expected.size())
    return false;
  return CRYPTO_memcmp(ticket.Mac.data(), expected.data(), expected.size()) ==
         0;
}

std::string TicketIssuer::computeMac(const Ticket &ticket) const {
  Ticket withoutMac = ticket;
  withoutMac.Mac.clear();
  std::string text = formatTicket(withoutMac);
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned n = 0;
  const auto *data = reinterpret_cast<const unsigned char *>(text.data());
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()), data,
       text.size(), digest, &n);
  assert(n >= MacBytes && "the digest is shorter than the MAC");
  return {reinterpret_cast<const char *>(digest), MacBytes};
}
