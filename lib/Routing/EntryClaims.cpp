//===- EntryClaims.cpp - idempotency keys at an entry ---------------------===//
//
// A key is bound to a ticket by one create-if-absent in the platform's service.
// Whoever finds the key bound attaches to the same ticket, and the agent's
// ledger sees to it that the ticket runs once.
//
// Once a claim was sent, another entry may have read it and run the ticket. A
// call may then say "not run" only after the agent has voided the ticket.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Routing/Claim.h"
#include "ospreyspur/Routing/EntryNode.h"

#include <cassert>

using namespace ospreyspur;

static constexpr unsigned MaxClaimReads = 3;

void EntryNode::claim(Call &call, TimePoint now) {
  call.Stage = CallStage::Claiming;
  call.Tries = 0;
  Claim value{fingerprint(call.Request), *call.Permit};
  callPlatform(
      call,
      KvPut{claimKey(call.Request.Workspace, *call.Request.IdempotencyKey),
            formatClaim(value), call.ClaimAt, Limits.ClaimLease});
  touch(call, Limits.ClaimTimeout, now);
}

void EntryNode::readClaim(Call &call, TimePoint now) {
  call.Stage = CallStage::ReadingClaim;
  callPlatform(call, KvGet{claimKey(call.Request.Workspace,
                                    *call.Request.IdempotencyKey)});
  touch(call, Limits.ClaimTimeout, now);
}

EntryActions EntryNode::onKvReply(KvCallId id, const KvReply &reply,
                                  TimePoint now) {
  auto it = CallsByKv.find(id);
  if (it == CallsByKv.end())
    return takeActions();
  Call &call = Calls.at(it->second);
  CallsByKv.erase(it);
  if (call.Stage == CallStage::Claiming)
    onClaimWritten(call, reply, now);
  else if (call.Stage == CallStage::ReadingClaim)
    onClaimRead(call, reply, now);
  return takeActions();
}

void EntryNode::onClaimWritten(Call &call, const KvReply &reply,
                               TimePoint now) {
  if (reply.Code == ResultCode::Ok) {
    call.ClaimAt = reply.At;
    dispatch(call, now);
    return;
  }
  if (reply.Code == ResultCode::PlatformConflict) {
    adoptClaim(call, reply, now);
    return;
  }
  // The write may have taken effect, also later: read back.
  readClaim(call, now);
}

void EntryNode::onClaimRead(Call &call, const KvReply &reply, TimePoint now) {
  if (reply.Code == ResultCode::Ok) {
    adoptClaim(call, reply, now);
    return;
  }
  if (reply.Code != ResultCode::NotFound) {
    abandonClaim(call, now);
    return;
  }
  call.ClaimAt = Revision(0);
  if (++call.Tries < MaxClaimReads)
    claim(call, now);
  else
    abandonClaim(call, now);
}

/// The key is bound as \p reply says, by us or by another entry.
void EntryNode::adoptClaim(Call &call, const KvReply &reply, TimePoint now) {
  if (reply.At.get() == 0) {
    // The claim that we meant to replace has lapsed meanwhile.
    call.ClaimAt = Revision(0);
    readClaim(call, now);
    return;
  }
  Result<Claim> claim = parseClaim(reply.Value);
  if (!claim) {
    abandonClaim(call, now);
    return;
  }
  if (claim.value().Fingerprint != fingerprint(call.Request)) {
    finishWith(call, ResultCode::KeyReused);
    return;
  }
  call.ClaimAt = reply.At;
  bind(call, claim.value().Permit);
  dispatch(call, now);
}

/// The platform does not answer. Nothing was dispatched from here, but the
/// claim may stand, so the ticket is voided before the caller hears "not run".
void EntryNode::abandonClaim(Call &call, TimePoint now) {
  call.GiveUp = ResultCode::PlatformUnavailable;
  call.RetryAfter = std::chrono::seconds(2);
  startResolving(call, now);
}

void EntryNode::callPlatform(Call &call, KvCall body) {
  CallsByKv.erase(call.PendingKv);
  call.PendingKv = KvCallId(++LastKvCall);
  CallsByKv[call.PendingKv] = call.Request.Id;
  Out.push_back(CallPlatform{{call.PendingKv, std::move(body)}});
}
