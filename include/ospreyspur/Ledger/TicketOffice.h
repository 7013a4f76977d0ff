//===- TicketOffice.h - issues and checks an agent's tickets ----*- C++ -*-===//
//
// Numbers and seals tickets with a key that lives as long as the agent
// incarnation. It remembers no ticket: the seal proves that one was issued.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_LEDGER_TICKETOFFICE_H
#define OSPREYSPUR_LEDGER_TICKETOFFICE_H

#include "ospreyspur/Ledger/Ticket.h"

namespace ospreyspur {

/// Issues the tickets of one agent incarnation.
class TicketOffice {
public:
  /// \p key should hold at least 16 random bytes.
  TicketOffice(EndpointId endpoint, Incarnation incarnation, std::string key);

  /// A new ticket for \p workspace that may start until \p now + \p validFor.
  Ticket issue(const WorkspaceId &workspace, Duration validFor, TimePoint now);

  /// Whether this office issued \p ticket, unchanged.
  bool isGenuine(const Ticket &ticket) const;

  /// The number of the latest ticket issued.
  TicketSequence lastIssued() const { return Last; }

  /// The incarnation that this office belongs to.
  Incarnation incarnation() const { return Self; }

private:
  std::string seal(const Ticket &ticket) const;

  EndpointId Endpoint;
  Incarnation Self;
  std::string Key;
  TicketSequence Last{0};
};

} // namespace ospreyspur

#endif // OSPREYSPUR_LEDGER_TICKETOFFICE_H
