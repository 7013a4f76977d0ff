//===- Ledger.h - records which requests ran at an endpoint -----*- C++ -*-===//
//
// The agent's in-memory record of requests. The ledger decides whether a ticket
// may start a run, and only the ledger may declare that a request did not run.
// A ticket is valid for one agent incarnation, so a ledger needs neither
// persistent storage nor replication.
//
// A record is kept as long as its absence could be misinterpreted:
//  - the record of a withdrawn ticket is kept until the ticket expires; after
//    that the expiry alone prevents a start;
//  - the record of a started request is kept for the retention time after both
//    the request's end and the ticket's expiry; after that the ledger reports
//    that it cannot tell whether the request ran.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_LEDGER_LEDGER_H
#define OSPREYSPUR_LEDGER_LEDGER_H

#include "ospreyspur/Ledger/StoredResponse.h"
#include "ospreyspur/Ledger/Ticket.h"
#include "ospreyspur/Ledger/TicketIssuer.h"

#include <cstddef>
#include <map>
#include <queue>
#include <vector>

namespace ospreyspur {

/// Limits of a ledger.
struct LedgerLimits {
  /// Maximum number of records of any kind.
  std::size_t MaxRecords = 100000;
  /// Maximum size of all stored responses, in bytes.
  std::size_t MaxResponseBytes = 64U << 20U;
  /// How long the record of a started request is kept after its end or its
  /// ticket's expiry, whichever is later.
  Duration Retention = std::chrono::minutes(10);
  /// How long the response to a repeatable request is kept after its end.
  Duration RepeatableResponseRetention = std::chrono::seconds(30);
};

/// Decides, for each ticket, whether it may start a run.
class Ledger {
public:
  /// What to do with a dispatch.
  enum class Decision {
    /// The ticket is new and was recorded: run the request.
    Start,
    /// The ticket is known: attach to the running or stored response.
    Attach,
    /// Do not run; the code says why, and whether the request may have run.
    Refuse,
  };

  /// A decision and, for Refuse, the reason.
  struct AdmissionResult {
    Decision Action = Decision::Refuse;
    ResultCode Code = ResultCode::Ok;
  };

  /// \p tickets must outlive the ledger.
  Ledger(const TicketIssuer &tickets, LedgerLimits limits);

  /// Decides on a dispatch of \p ticket; adds a record for Start.
  AdmissionResult admit(const Ticket &ticket, bool repeatable, TimePoint now);

  /// Refuses \p ticket permanently, unless the ticket is already known.
  AdmissionResult refuseIfNew(const Ticket &ticket, ResultCode reason,
                              TimePoint now);

  /// Withdraws a ticket admitted by admit() whose run has not begun. The ticket
  /// can never start afterwards.
  void withdraw(RequestId id, ResultCode reason, TimePoint now);

  /// Records the end of the run; the response remains available for attaching
  /// unless it was too large.
  void finish(RequestId id, ResultCode code, TimePoint now);

  /// Appends to the response of a running request. Errors: AnswerTooLarge if
  /// the data would exceed MaxResponseBytes; the data is not appended then.
  ResultCode append(RequestId id, std::string_view data);

  /// Drops records and responses whose retention has ended at \p now.
  void expire(TimePoint now);

  /// Returns the response of an admitted or finished request, or null.
  StoredResponse *findResponse(RequestId id);

  /// Number of records held.
  std::size_t size() const { return Records.size(); }
  /// Bytes of responses held.
  std::size_t responseBytes() const { return ResponseBytes; }

private:
  enum class State { Admitted, Finished, Void };

  struct Record {
    State Status = State::Admitted;
    ResultCode Reason = ResultCode::Ok;
    bool Repeatable = false;
    TimePoint Expires;
    TimePoint KeepUntil;
    TimePoint DropResponseAt;
    StoredResponse Response;
  };

  struct Expiry {
    TimePoint At;
    TicketSequence Sequence;
    friend auto operator<=>(const Expiry &, const Expiry &) = default;
  };

  AdmissionResult checkUnknownTicket(const Ticket &ticket, TimePoint now) const;
  bool isAtCapacity() const;
  void addVoid(const Ticket &ticket, ResultCode reason);
  void schedule(TicketSequence sequence, TimePoint at);
  void dropResponse(Record &record);
  Record *find(RequestId id);

  const TicketIssuer &Tickets;
  LedgerLimits Limits;
  std::map<TicketSequence, Record> Records;
  /// Tickets up to this sequence number that have no record are void. Raised
  /// when the ledger has no capacity for the record of a single refusal.
  TicketSequence VoidThrough{0};
  std::size_t ResponseBytes = 0;
  std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> Expiries;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_LEDGER_LEDGER_H
