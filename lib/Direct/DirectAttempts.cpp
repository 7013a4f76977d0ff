//===- DirectAttempts.cpp - start, retry and end of attempts --------------===//
//
// The part of DirectNode that starts attempts or lets calls wait for them, and
// that retries or ends calls after an attempt.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/DirectNode.h"

#include <algorithm>
#include <utility>

using namespace ospreyspur;

/// How long a request whose endpoint closed the connection early may wait for
/// the endpoint's liveness to be known, regardless of how long it has waited.
/// The check takes at most 0.3 s and the evaluation 0.1 s.
static constexpr Duration LivenessCheckWait = std::chrono::milliseconds(500);

/// Starts an attempt if there is capacity; otherwise the call waits or is
/// ended.
void DirectNode::startOrWait(CallState &call, TimePoint now) {
  if (tryStart(call, now))
    return;
  bool isQueueFull = !call.HasBegun && Waiting.size() >= Limits.MaxWaiting;
  if (now >= call.waitLimit() || isQueueFull) {
    endNotRun(call, ResultCode::NoEndpoint, now);
    return;
  }
  if (isUnservable(call, now)) {
    endNotRun(call, ResultCode::NoEndpoint, now);
    return;
  }
  wait(call, now);
}

void DirectNode::wait(const CallState &call, TimePoint now) {
  Waiting.emplace(call.Request.Priority, call.Arrived, call.Request.Id);
  recordWait(call, now);
}

void DirectNode::recordWait(const CallState &call, TimePoint now) {
  bool hasRetry = call.Sends == 0 ||
                  Retries.canSpend(call.Service, countSharingEntries(now), now);
  unsigned attempts = call.Request.Route->Attempts;
  unsigned left = attempts - std::min(attempts, call.Attempts);
  WaitLogRecords.push_back({call.Request.Id, call.Sends, left, call.IsSilent,
                            hasRetry, countSharingEntries(now),
                            Picker.countObstacles(call, now)});
}

bool DirectNode::tryStart(CallState &call, TimePoint now) {
  if (!Rates.isEmpty() || !Cold.isEmpty())
    refreshMembers(now);
  if (mustDefer(call, now)) {
    call.CopyStartAt.reset();
    return false;
  }
  const EndpointState *state =
      isSuspect(call) ? pickForSuspect(call, now) : Picker.pick(call, now);
  bool needsOutside = !state || Picker.isLastChoice(*state, now);
  if (Table.hasOutside() && needsOutside)
    Table.requestOutside(now);
  if (!state)
    return false;
  bool isRetry = call.Sends > 0;
  if (isRetry && !Retries.spend(call.Service, countSharingEntries(now), now))
    return false;
  call.IsCharged = isLimited(*state);
  takeTokens(*state, now);
  Table.onStarted(state->Record.Id, call.Request.Tokens.Prompt);
  startAttempt(call, state->Record, now);
  return true;
}

/// Returns the number of entries that share the retry allowance; 0 while their
/// number is unknown.
std::size_t DirectNode::countSharingEntries(TimePoint now) const {
  if (MustKnowFleet && !Fleet.hasList())
    return 0;
  return Fleet.count(Retries.limits().Window, now);
}

/// Sends the request to \p endpoint, where a slot is reserved for it.
void DirectNode::startAttempt(CallState &call, const EndpointRecord &endpoint,
                              TimePoint now) {
  ++call.Attempts;
  ++call.Sends;
  call.Current = endpoint.Id;
  call.IsStopping = false;
  call.HasProgressed = false;
  call.SentAt = now;
  call.ReceivedAt = now;
  call.MaxIdleTime = allowedSilence(call);
  call.Tried.insert(endpoint.Id);
  Out.emplace_back(StartAttempt{call.Request.Id, endpoint, call.Deadline,
                                call.Attempts, call.MaxIdleTime});
}

/// Assigns freed capacity. Streams on slow ranks go first, as each of them
/// makes all others of its group late, then waiting calls that can still be
/// within their latency target, then calls to be migrated from silent
/// endpoints, then the rest. In a backlog, serving strictly in order of arrival
/// would make every call late.
void DirectNode::startWaiting(TimePoint now) {
  Slow.update(now);
  emptySlowRanks(now);
  startWaiting(true, now);
  for (CallId id : std::vector<CallId>(Silent.begin(), Silent.end()))
    tryMigrate(Calls.at(id), StopReason::Silent, now);
  startWaiting(false, now);
}

void DirectNode::startWaiting(bool onTime, TimePoint now) {
  for (auto it = Waiting.begin(); it != Waiting.end();) {
    CallState &call = Calls.at(std::get<CallId>(*it));
    bool isStarted = now < call.Deadline &&
                     (now < call.OnTimeUntil) == onTime && tryStart(call, now);
    it = isStarted ? Waiting.erase(it) : std::next(it);
  }
}

bool DirectNode::mayAttempt(const CallState &call, TimePoint now) const {
  const RouteRule &route = *call.Request.Route;
  return (!call.MayHaveRun || route.isRepeatable()) &&
         call.Attempts < route.Attempts && call.Sends < Limits.MaxSends &&
         now < call.Deadline;
}

/// Retries a call that did not run or may run again: starts an attempt, waits
/// for an endpoint, or ends the call, with \p reason if no other reason
/// applies. When a group fails, the other endpoints may not have capacity for
/// all of its streams at once. If those streams were ended, their callers would
/// send them again, and each caller may retry only once.
void DirectNode::retry(CallState &call, ResultCode reason, TimePoint now) {
  if (ResultCode code = Crashes.codeOf(call.Subject); code != ResultCode::Ok) {
    end(call, code, Duration::zero());
    return;
  }
  if (startNext(call, now))
    return;
  bool canTry = mayAttempt(call, now);
  if (canTry && mustDefer(call, now))
    call.WaitUntil = std::max(call.WaitUntil,
                              std::min(now + LivenessCheckWait, call.Deadline));
  if (canTry && tryStart(call, now))
    return;
  if (canTry && now < call.waitLimit() && !isUnservable(call, now))
    wait(call, now);
  else if (describe(reason).Kind == Outcome::NotRun)
    endNotRun(call, reason, now);
  else
    end(call, reason, Duration::zero());
}

/// Ends \p call. The result is "not run" only if no attempt may have run. A
/// failed response that an endpoint gave tells the caller more than any other
/// result.
void DirectNode::endNotRun(CallState &call, ResultCode code, TimePoint now) {
  if (call.HasFailedResponse) {
    releaseNext(call);
    Waiting.erase({call.Request.Priority, call.Arrived, call.Request.Id});
    Out.emplace_back(ForwardResponse{call.Request.Id});
  } else if (call.MayHaveRun)
    end(call, ResultCode::ContactLost, Duration::zero());
  else if (ResultCode cause = pushbackReason(call, now);
           cause != ResultCode::Ok)
    end(call, cause, expectedCapacityDelay(call, now));
  else
    end(call, code, expectedQueueDelay(call, now));
}

void DirectNode::end(CallState &call, ResultCode code, Duration retryAfter) {
  CallId id = call.Request.Id;
  releaseNext(call);
  RequestDigest part;
  if (code == ResultCode::PartQuarantined)
    part = Crashes.findPart(call.Subject).value_or(RequestDigest());
  Out.emplace_back(EndCall{id, code, retryAfter, part});
  Waiting.erase({call.Request.Priority, call.Arrived, id});
  Calls.erase(id);
}

void DirectNode::endAttempt(CallState &call) {
  if (!call.Current)
    return;
  if (std::exchange(call.IsSilent, false))
    Silent.erase(call.Request.Id);
  bool wasDecoding = std::exchange(call.HasFirstByte, false);
  if (!wasDecoding)
    Table.dropPendingPrompt(*call.Current, call.Request.Tokens.Prompt);
  Table.onEnded(*call.Current, wasDecoding);
  call.Current.reset();
}

void DirectNode::recordOutcome(const CallState &call, AttemptEnd end,
                               TimePoint now) {
  const EndpointId &id = *call.Current;
  switch (end) {
  case AttemptEnd::Complete:
    Table.onSuccess(id, now);
    break;
  case AttemptEnd::Full:
    // A backoff that the endpoint asked for replaces the guessed interval.
    if (!isInBackoff(id, now))
      Table.onFull(id, now);
    break;
  case AttemptEnd::Failed:
    Table.onFailedResponse(id, now);
    break;
  case AttemptEnd::OtherIncarnation:
    Table.onReplaced(id, now);
    break;
  case AttemptEnd::Withheld:
    break;
  case AttemptEnd::NeverSent:
  case AttemptEnd::Lost:
  case AttemptEnd::BrokeOff:
    // For a silent attempt, onSilent() has already recorded a failure, or the
    // cause is the crash of another rank of the group. An attempt that was
    // stopped here or by its deadline is no sign of a failure.
    if (!call.IsSilent && !call.IsStopping && now < call.Deadline)
      Table.onFailure(id, now);
    if (now - call.ReceivedAt >= call.MaxIdleTime)
      Table.onEndedIdle(id, now - call.ReceivedAt, now);
    break;
  }
}
