//===- TicketIssuer.h - issues and verifies tickets -------------*- C++ -*-===//
//
// Numbers tickets and signs them with a MAC key that exists only as long as the
// agent's incarnation. Issued tickets are not stored: the MAC proves that a
// ticket was issued here.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_LEDGER_TICKETISSUER_H
#define OSPREYSPUR_LEDGER_TICKETISSUER_H

#include "ospreyspur/Ledger/Ticket.h"

namespace ospreyspur {

/// Issues the tickets of one agent incarnation.
class TicketIssuer {
public:
  /// \p key, the MAC key, should hold at least 16 random bytes.
  TicketIssuer(EndpointId endpoint, Incarnation incarnation, std::string key);

  /// Issues a ticket for \p workspace that may start until \p now +
  /// \p validFor.
  Ticket issue(const WorkspaceId &workspace, Duration validFor, TimePoint now);

  /// Whether \p ticket was issued here and not altered since.
  bool isGenuine(const Ticket &ticket) const;

  /// The sequence number of the latest ticket issued.
  TicketSequence lastIssued() const { return Last; }

  /// The agent's incarnation whose tickets are issued here.
  Incarnation incarnation() const { return Self; }

private:
  std::string computeMac(const Ticket &ticket) const;

  EndpointId Endpoint;
  Incarnation Self;
  std::string Key;
  TicketSequence Last{0};
};

} // namespace ospreyspur

#endif // OSPREYSPUR_LEDGER_TICKETISSUER_H
