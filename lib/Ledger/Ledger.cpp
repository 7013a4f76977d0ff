//===- Ledger.cpp - decides which tickets may start a run -----------------===//
//
// Ledger.h describes the rules by which records are kept.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Ledger/Ledger.h"

#include <algorithm>
#include <cassert>

using namespace ospreyspur;

Ledger::Ledger(const TicketOffice &office, LedgerLimits limits)
    : Office(office), Limits(limits) {}

Ledger::Verdict Ledger::admit(const Ticket &ticket, bool repeatable,
                              TimePoint now) {
  if (const Record *it = find(ticket.Id)) {
    if (it->Now == State::Void)
      return {Decision::Refuse, it->Reason};
    return {Decision::Attach, ResultCode::Ok};
  }
  Verdict verdict = judgeUnknown(ticket, now);
  if (verdict.What != Decision::Start)
    return verdict;
  if (isFull()) {
    // This refusal must be permanent, but the full ledger cannot record it:
    // void every issued ticket that has no record.
    VoidThrough = Office.lastIssued();
    return {Decision::Refuse, ResultCode::LedgerFull};
  }
  Record record;
  record.Repeatable = repeatable;
  record.Expires = ticket.Expires;
  Records.emplace(ticket.Id.Sequence, std::move(record));
  return verdict;
}

Ledger::Verdict Ledger::refuseIfNew(const Ticket &ticket, ResultCode reason,
                                    TimePoint now) {
  if (const Record *it = find(ticket.Id)) {
    if (it->Now == State::Void)
      return {Decision::Refuse, it->Reason};
    return {Decision::Attach, ResultCode::Ok};
  }
  Verdict verdict = judgeUnknown(ticket, now);
  if (verdict.What != Decision::Start)
    return verdict;
  addVoid(ticket, reason);
  return {Decision::Refuse, reason};
}

Ledger::Verdict Ledger::judgeUnknown(const Ticket &ticket,
                                     TimePoint now) const {
  if (ticket.Id.Issuer != Office.incarnation())
    return {Decision::Refuse, ResultCode::IncarnationGone};
  if (!Office.isGenuine(ticket))
    return {Decision::Refuse, ResultCode::BadTicket};
  if (now > ticket.Expires + Limits.Retention)
    return {Decision::Refuse, ResultCode::AnswerForgotten};
  if (now > ticket.Expires)
    return {Decision::Refuse, ResultCode::TicketExpired};
  if (ticket.Id.Sequence <= VoidThrough)
    return {Decision::Refuse, ResultCode::TicketVoid};
  return {Decision::Start, ResultCode::Ok};
}

bool Ledger::isFull() const {
  return Records.size() >= Limits.MaxRecords ||
         AnswerBytes >= Limits.MaxAnswerBytes;
}

void Ledger::addVoid(const Ticket &ticket, ResultCode reason) {
  if (Records.size() >= Limits.MaxRecords) {
    VoidThrough = Office.lastIssued();
    return;
  }
  Record record;
  record.Now = State::Void;
  record.Reason = reason;
  record.Expires = ticket.Expires;
  record.KeepUntil = ticket.Expires;
  Records.emplace(ticket.Id.Sequence, std::move(record));
  schedule(ticket.Id.Sequence, ticket.Expires);
}

void Ledger::withdraw(RequestId id, ResultCode reason, TimePoint now) {
  Record *it = find(id);
  assert(it && it->Now == State::Admitted &&
         "only an admitted run can be withdrawn");
  it->Now = State::Void;
  it->Reason = reason;
  it->KeepUntil = std::max(now, it->Expires);
  schedule(id.Sequence, it->KeepUntil);
}

ResultCode Ledger::append(RequestId id, std::string_view data) {
  Record *it = find(id);
  assert(it && it->Now == State::Admitted && "only a running request has data");
  if (AnswerBytes + data.size() > Limits.MaxAnswerBytes)
    return ResultCode::AnswerTooLarge;
  it->Answer.Body.append(data);
  AnswerBytes += data.size();
  return ResultCode::Ok;
}

void Ledger::finish(RequestId id, ResultCode code, TimePoint now) {
  Record *it = find(id);
  assert(it && it->Now == State::Admitted && "only a running request ends");
  it->Now = State::Finished;
  it->Answer.Finished = true;
  it->Answer.Code = code;
  TimePoint last = std::max(now, it->Expires);
  it->KeepUntil = last + Limits.Retention;
  it->DropAnswerAt = it->KeepUntil;
  if (it->Repeatable)
    it->DropAnswerAt = now + Limits.RepeatableAnswerRetention;
  schedule(id.Sequence, it->DropAnswerAt);
}

void Ledger::expire(TimePoint now) {
  while (!Expiries.empty() && Expiries.top().At < now) {
    TicketSequence sequence = Expiries.top().Sequence;
    Expiries.pop();
    auto it = Records.find(sequence);
    if (it == Records.end())
      continue;
    Record &record = it->second;
    if (record.Now == State::Finished)
      dropAnswer(record);
    if (record.KeepUntil < now)
      Records.erase(it);
    else
      schedule(sequence, record.KeepUntil);
  }
}

StoredAnswer *Ledger::findAnswer(RequestId id) {
  Record *it = find(id);
  if (!it || it->Now == State::Void)
    return nullptr;
  return &it->Answer;
}

void Ledger::schedule(TicketSequence sequence, TimePoint at) {
  Expiries.push({at, sequence});
}

void Ledger::dropAnswer(Record &record) {
  AnswerBytes -= record.Answer.Body.size();
  record.Answer.Dropped = true;
  record.Answer.Body = std::string();
}

Ledger::Record *Ledger::find(RequestId id) {
  if (id.Issuer != Office.incarnation())
    return nullptr;
  auto it = Records.find(id.Sequence);
  return it == Records.end() ? nullptr : &it->second;
}
