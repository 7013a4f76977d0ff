//===- EntryClaims.cpp - idempotency keys at an entry ---------------------===//
//
// A key is read first, then bound to a ticket by one compare-and-swap in the
// key-value store, which creates the claim or replaces the revision that the
// call last read. An entry that finds the key bound attaches to the same
// ticket, and the agent's ledger ensures that the ticket runs at most once.
//
// A call under a key ends as "not run" only if, during the call, the key was
// read as free or as bound to a ticket that is now void.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Routing/Claim.h"
#include "ospreyspur/Routing/EntryNode.h"

#include <cassert>

using namespace ospreyspur;

static constexpr unsigned MaxClaimTries = 3;
/// A key may be claimed within ClaimLease / ClaimTimeShare after it was first
/// read; the rest of the lease allows for writes that take effect late.
static constexpr int ClaimTimeShare = 2;
static constexpr Duration PlatformRetryAfter = std::chrono::seconds(2);

void EntryNode::claim(Call &call, TimePoint now) {
  // Since the key was read, another entry's claim may have been written and
  // expired, leaving no trace of its run.
  assert(call.ClaimReadAt && "a key is read before it is claimed");
  if (now - *call.ClaimReadAt >= Limits.ClaimLease / ClaimTimeShare) {
    finishWith(call, ResultCode::ClaimUnchecked);
    return;
  }
  call.Stage = CallStage::Claiming;
  Claim value{fingerprint(call.Request), *call.Permit};
  callKeyValueStore(
      call,
      KvPut{claimKey(call.Request.Workspace, *call.Request.IdempotencyKey),
            formatClaim(value), call.ClaimRevision, Limits.ClaimLease});
  setStageTimer(call, Limits.ClaimTimeout, now);
}

void EntryNode::readClaim(Call &call, TimePoint now) {
  if (!call.ClaimReadAt)
    call.ClaimReadAt = now;
  call.Stage = CallStage::ReadingClaim;
  callKeyValueStore(call, KvGet{claimKey(call.Request.Workspace,
                                         *call.Request.IdempotencyKey)});
  setStageTimer(call, Limits.ClaimTimeout, now);
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
    call.ClaimRevision = reply.At;
    dispatch(call, now);
    return;
  }
  if (reply.Code == ResultCode::PlatformConflict && reply.At.get() > 0) {
    adoptClaim(call, reply, now);
    return;
  }
  // Read the key again: either the claim to replace has expired, or the write
  // may have taken effect or may still do so.
  readClaim(call, now);
}

void EntryNode::onClaimRead(Call &call, const KvReply &reply, TimePoint now) {
  if (reply.Code == ResultCode::Ok) {
    adoptClaim(call, reply, now);
    return;
  }
  if (reply.Code != ResultCode::NotFound) {
    retryClaim(call, now);
    return;
  }
  call.ClaimRevision = Revision(0);
  if (!call.Permit) {
    call.Tries = 0;
    startProbing(call, now);
    return;
  }
  if (++call.Tries < MaxClaimTries)
    claim(call, now);
  else
    abandonClaim(call);
}

void EntryNode::retryClaim(Call &call, TimePoint now) {
  if (++call.Tries < MaxClaimTries)
    readClaim(call, now);
  else
    abandonClaim(call);
}

/// Dispatches under the claim in \p reply, which this or another entry wrote.
void EntryNode::adoptClaim(Call &call, const KvReply &reply, TimePoint now) {
  Result<Claim> claim = parseClaim(reply.Value);
  if (!claim) {
    abandonClaim(call);
    return;
  }
  if (claim.value().Fingerprint != fingerprint(call.Request)) {
    finishWith(call, ResultCode::KeyReused);
    return;
  }
  call.ClaimRevision = reply.At;
  bind(call, claim.value().Permit);
  dispatch(call, now);
}

/// Ends a call whose claim cannot be read or written. If the call holds no
/// ticket, reading the key never gave a usable result and an earlier attempt
/// may have run. If it holds one, the key was read as free or as bound to a
/// void ticket, so no earlier attempt had run by then, and neither has this
/// call; a claim that this call did write is used by the next attempt.
void EntryNode::abandonClaim(Call &call) {
  call.RetryAfter = PlatformRetryAfter;
  finishWith(call, call.Permit ? ResultCode::PlatformUnavailable
                               : ResultCode::ClaimUnchecked);
}

void EntryNode::callKeyValueStore(Call &call, KvCall body) {
  CallsByKv.erase(call.PendingKv);
  call.PendingKv = KvCallId(++LastKvCall);
  CallsByKv[call.PendingKv] = call.Request.Id;
  Out.push_back(CallKeyValueStore{{call.PendingKv, std::move(body)}});
}
