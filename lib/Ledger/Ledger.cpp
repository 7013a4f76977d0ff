//===- Ledger.cpp - decides which tickets may start a run -----------------===//
//
// Ledger.h describes the rules by which records are kept.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Ledger/Ledger.h"

#include <algorithm>
#include <cassert>

using namespace ospreyspur;

Ledger::Ledger(const TicketIssuer &tickets, LedgerLimits limits)
    : Tickets(tickets), Limits(limits) {}

Ledger::AdmissionResult Ledger::admit(const Ticket &ticket, bool repeatable,
                                      TimePoint now) {
  if (const Record *it = find(ticket.Id)) {
    if (it->Status == State::Void)
      return {Decision::Refuse, it->Reason};
    return {Decision::Attach, ResultCode::Ok};
  }
  AdmissionResult admission = checkUnknownTicket(ticket, now);
  if (admission.Action != Decision::Start)
    return admission;
  if (isAtCapacity()) {
    // This refusal must be permanent, but the full ledger cannot record it:
    // void every issued ticket that has no record.
    VoidThrough = Tickets.lastIssued();
    return {Decision::Refuse, ResultCode::LedgerFull};
  }
  Record record;
  record.Repeatable = repeatable;
  record.Expires = ticket.Expires;
  Records.emplace(ticket.Id.Sequence, std::move(record));
  return admission;
}

Ledger::AdmissionResult Ledger::refuseIfNew(const Ticket &ticket,
                                            ResultCode reason, TimePoint now) {
  if (const Record *it = find(ticket.Id)) {
    if (it->Status == State::Void)
      return {Decision::Refuse, it->Reason};
    return {Decision::Attach, ResultCode::Ok};
  }
  AdmissionResult admission = checkUnknownTicket(ticket, now);
  if (admission.Action != Decision::Start)
    return admission;
  addVoid(ticket, reason);
  return {Decision::Refuse, reason};
}

Ledger::AdmissionResult Ledger::checkUnknownTicket(const Ticket &ticket,
                                                   TimePoint now) const {
  if (ticket.Id.Issuer != Tickets.incarnation())
    return {Decision::Refuse, ResultCode::IncarnationGone};
  if (!Tickets.isGenuine(ticket))
    return {Decision::Refuse, ResultCode::BadTicket};
  if (now > ticket.Expires + Limits.Retention)
    return {Decision::Refuse, ResultCode::AnswerForgotten};
  if (now > ticket.Expires)
    return {Decision::Refuse, ResultCode::TicketExpired};
  if (ticket.Id.Sequence <= VoidThrough)
    return {Decision::Refuse, ResultCode::TicketVoid};
  return {Decision::Start, ResultCode::Ok};
}

bool Ledger::isAtCapacity() const {
  return Records.size() >= Limits.MaxRecords ||
         ResponseBytes >= Limits.MaxResponseBytes;
}

void Ledger::addVoid(const Ticket &ticket, ResultCode reason) {
  if (Records.size() >= Limits.MaxRecords) {
    VoidThrough = Tickets.lastIssued();
    return;
  }
  Record record;
  record.Status = State::Void;
  record.Reason = reason;
  record.Expires = ticket.Expires;
  record.KeepUntil = ticket.Expires;
  Records.emplace(ticket.Id.Sequence, std::move(record));
  schedule(ticket.Id.Sequence, ticket.Expires);
}

void Ledger::withdraw(RequestId id, ResultCode reason, TimePoint now) {
  Record *it = find(id);
  assert(it && it->Status == State::Admitted &&
         "only an admitted run can be withdrawn");
  it->Status = State::Void;
  it->Reason = reason;
  it->KeepUntil = std::max(now, it->Expires);
  schedule(id.Sequence, it->KeepUntil);
}

ResultCode Ledger::append(RequestId id, std::string_view data) {
  Record *it = find(id);
  assert(it && it->Status == State::Admitted &&
         "only a running request has data");
  if (ResponseBytes + data.size() > Limits.MaxResponseBytes)
    return ResultCode::AnswerTooLarge;
  it->Response.Body.append(data);
  ResponseBytes += data.size();
  return ResultCode::Ok;
}

void Ledger::finish(RequestId id, ResultCode code, TimePoint now) {
  Record *it = find(id);
  assert(it && it->Status == State::Admitted && "only a running request ends");
  it->Status = State::Finished;
  it->Response.Finished = true;
  it->Response.Code = code;
  TimePoint last = std::max(now, it->Expires);
  it->KeepUntil = last + Limits.Retention;
  it->DropResponseAt = it->KeepUntil;
  if (it->Repeatable)
    it->DropResponseAt = now + Limits.RepeatableResponseRetention;
  schedule(id.Sequence, it->DropResponseAt);
  // A part of a response serves nobody, and this one leaves no room for others.
  if (code == ResultCode::AnswerTooLarge)
    dropResponse(*it);
}

void Ledger::expire(TimePoint now) {
  while (!Expiries.empty() && Expiries.top().At < now) {
    TicketSequence sequence = Expiries.top().Sequence;
    Expiries.pop();
    auto it = Records.find(sequence);
    if (it == Records.end())
      continue;
    Record &record = it->second;
    if (record.Status == State::Finished)
      dropResponse(record);
    if (record.KeepUntil < now)
      Records.erase(it);
    else
      schedule(sequence, record.KeepUntil);
  }
}

StoredResponse *Ledger::findResponse(RequestId id) {
  Record *it = find(id);
  if (!it || it->Status == State::Void)
    return nullptr;
  return &it->Response;
}

void Ledger::schedule(TicketSequence sequence, TimePoint at) {
  Expiries.push({at, sequence});
}

void Ledger::dropResponse(Record &record) {
  ResponseBytes -= record.Response.Body.size();
  record.Response.Dropped = true;
  record.Response.Body = std::string();
}

Ledger::Record *Ledger::find(RequestId id) {
  if (id.Issuer != Tickets.incarnation())
    return nullptr;
  auto it = Records.find(id.Sequence);
  return it == Records.end() ? nullptr : &it->second;
}
