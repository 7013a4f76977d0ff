//===- DirectMigrations.cpp - migration of requests -----------------------===//
//
// The part of DirectNode that migrates requests away from endpoints that are
// silent or too slow. An attempt is stopped only once the capacity for its
// successor is reserved.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/DirectNode.h"

#include <algorithm>
#include <utility>
#include <vector>

using namespace ospreyspur;

DirectActions DirectNode::onSilent(CallId id, TimePoint now) {
  auto it = Calls.find(id);
  if (it == Calls.end() || !it->second.Current)
    return takeActions();
  CallState &call = it->second;
  bool isNew = !std::exchange(call.IsSilent, true);
  if (isNew) {
    Silent.insert(id);
    Table.onFailure(*call.Current, now);
  }
  if (!tryMigrate(call, StopReason::Silent, now) && isNew)
    recordWait(call, now);
  return takeActions();
}

/// Whether a resumable stream cannot complete before its deadline at its
/// current endpoint.
bool DirectNode::isTooSlow(const CallState &call, TimePoint now) const {
  const ServiceRule *service = call.Request.Config->findService(call.Service);
  const EndpointState *state = Table.find(*call.Current);
  return call.Request.Route->canResume() && service && service->Engine &&
         state && !Picker.canFinish(*state, call, now);
}

bool DirectNode::isOnSlowRank(const CallState &call) const {
  const EndpointState *state =
      call.Current ? Table.find(*call.Current) : nullptr;
  return state && Slow.isToBeEmptied(*state);
}

/// Migrates this entry's requests away from slow ranks, those with the most
/// events to come first: they would keep a rank busy longest.
void DirectNode::emptySlowRanks(TimePoint now) {
  if (Slow.slow().empty())
    return;
  std::vector<CallState *> leaving;
  for (auto &[id, call] : Calls)
    if (isOnSlowRank(call))
      leaving.push_back(&call);
  std::sort(leaving.begin(), leaving.end(),
            [](const CallState *a, const CallState *b) {
              return a->ReceivedParts < b->ReceivedParts;
            });
  for (CallState *it : leaving)
    tryMigrate(*it, StopReason::SlowRank, now);
}

/// Stops the current attempt if the call is certain to continue at another
/// endpoint: a slot there and a retry from the budget are reserved first.
/// Otherwise many streams would be stopped for the same slot, and those that
/// find the slot taken would be ended.
bool DirectNode::tryMigrate(CallState &call, StopReason reason, TimePoint now) {
  if (!Rates.isEmpty() || !Cold.isEmpty())
    refreshMembers(now);
  const RouteRule &route = *call.Request.Route;
  std::size_t entries = countSharingEntries(now);
  bool mayMigrate =
      route.canResume() || (route.isRepeatable() && !call.HasBegun);
  if (!mayMigrate || call.IsStopping || isSuspect(call) ||
      !mayAttempt(call, now) || !Retries.canSpend(call.Service, entries, now))
    return false;
  const EndpointState *state = Picker.pick(call, now);
  if (!state || Picker.isLastChoice(*state, now))
    return false;
  Retries.spend(call.Service, entries, now);
  call.IsNextCharged = isLimited(*state);
  takeTokens(*state, now);
  call.Next = state->Record;
  call.IsStopping = true;
  Table.onStarted(state->Record.Id, call.Request.Tokens.Prompt);
  const EndpointState *current = Table.find(*call.Current);
  Out.emplace_back(StopAttempt{
      call.Request.Id, reason,
      current ? Table.gapOf(*current, now) : Duration(), call.Deadline - now});
  return true;
}

/// Starts the next attempt at the endpoint where a slot is reserved for the
/// call. Returns false if no slot is reserved, the endpoint no longer accepts
/// requests, or the deadline has passed.
bool DirectNode::startNext(CallState &call, TimePoint now) {
  if (!call.Next)
    return false;
  const EndpointState *state = Table.find(call.Next->Id);
  if (!state || isExcluded(*state, now) || now >= call.Deadline) {
    releaseNext(call);
    return false;
  }
  EndpointRecord next = *std::exchange(call.Next, std::nullopt);
  call.IsCharged = call.IsNextCharged;
  startAttempt(call, next, now);
  return true;
}

void DirectNode::releaseNext(CallState &call) {
  if (!call.Next)
    return;
  Table.dropPendingPrompt(call.Next->Id, call.Request.Tokens.Prompt);
  Table.onEnded(call.Next->Id, false);
  Retries.refund(call.Service);
  call.Next.reset();
}
