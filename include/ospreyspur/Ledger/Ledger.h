//===- Ledger.h - what ran at an endpoint, and what never will --*- C++ -*-===//
//
// The agent's in-memory record of requests. It decides whether a ticket may
// start a run, and it is the only place that may say "did not run". A ticket is
// good for one agent incarnation, so a ledger needs no storage and no peers.
//
// A record is never dropped while its absence could be misread:
//  - a withdrawn ticket's record stays until the ticket expires; after that the
//    expiry alone keeps it from starting;
//  - a started request's record stays for the retention after both its end and
//    its ticket's expiry; after that the answer is "cannot tell".
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_LEDGER_LEDGER_H
#define OSPREYSPUR_LEDGER_LEDGER_H

#include "ospreyspur/Ledger/StoredAnswer.h"
#include "ospreyspur/Ledger/Ticket.h"
#include "ospreyspur/Ledger/TicketOffice.h"

#include <cstddef>
#include <map>
#include <queue>
#include <vector>

namespace ospreyspur {

/// Bounds of a ledger.
struct LedgerLimits {
  /// Records of any kind.
  std::size_t MaxRecords = 100000;
  /// Bytes of kept answers.
  std::size_t MaxAnswerBytes = 64U << 20U;
  /// How long the record of a started request is kept after its end.
  Duration Retention = std::chrono::minutes(10);
  /// How long the answer to a repeatable request is kept after its end.
  Duration RepeatableAnswerRetention = std::chrono::seconds(30);
};

/// Decides, for each ticket, whether it may start a run.
class Ledger {
public:
  /// What to do with a dispatch.
  enum class Decision {
    /// First sight: a record was made, run it.
    Start,
    /// Known: attach to the running or kept answer.
    Attach,
    /// Do not run; the code says why and whether it may have run.
    Refuse,
  };

  /// A decision and, for Refuse, its reason.
  struct Verdict {
    Decision What = Decision::Refuse;
    ResultCode Code = ResultCode::Ok;
  };

  /// \p office must outlive the ledger.
  Ledger(const TicketOffice &office, LedgerLimits limits);

  /// Decides about a dispatch of \p ticket; makes a record for Start.
  Verdict admit(const Ticket &ticket, bool repeatable, TimePoint now);

  /// Refuses \p ticket for good, unless it is known already.
  Verdict refuseIfNew(const Ticket &ticket, ResultCode reason, TimePoint now);

  /// Withdraws a record made by admit() whose run has not begun. After this the
  /// ticket can never start.
  void withdraw(RequestId id, ResultCode reason, TimePoint now);

  /// Marks the run's end; the answer stays for attaching.
  void finish(RequestId id, ResultCode code, TimePoint now);

  /// Appends to the answer of a running request. Errors: AnswerTooLarge when
  /// the ledger's bytes are used up; the data is not appended then.
  ResultCode append(RequestId id, std::string_view data);

  /// Drops what \p now allows to be dropped.
  void expire(TimePoint now);

  /// The answer of a started request, or null.
  StoredAnswer *findAnswer(RequestId id);

  /// Number of records held.
  std::size_t size() const { return Records.size(); }
  /// Bytes of answers held.
  std::size_t answerBytes() const { return AnswerBytes; }

private:
  enum class State { Admitted, Finished, Void };

  struct Record {
    State Now = State::Admitted;
    ResultCode Reason = ResultCode::Ok;
    bool Repeatable = false;
    TimePoint Expires;
    TimePoint KeepUntil;
    TimePoint DropAnswerAt;
    StoredAnswer Answer;
  };

  struct Expiry {
    TimePoint At;
    TicketSequence Sequence;
    friend auto operator<=>(const Expiry &, const Expiry &) = default;
  };

  Verdict judgeUnknown(const Ticket &ticket, TimePoint now) const;
  bool isFull() const;
  void addVoid(const Ticket &ticket, ResultCode reason);
  void schedule(TicketSequence sequence, TimePoint at);
  void dropAnswer(Record &record);
  Record *find(RequestId id);

  const TicketOffice &Office;
  LedgerLimits Limits;
  std::map<TicketSequence, Record> Records;
  /// Tickets up to this number that have no record are void. Raised when there
  /// is no room to remember a refusal by itself.
  TicketSequence VoidThrough{0};
  std::size_t AnswerBytes = 0;
  std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> Expiries;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_LEDGER_LEDGER_H
