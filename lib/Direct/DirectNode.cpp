//===- DirectNode.cpp - takes requests straight to endpoints --------------===//
//
// See DirectNode.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/DirectNode.h"

#include <algorithm>
#include <numeric>
#include <utility>

using namespace ospreyspur;

/// How long a request whose endpoint closed the connection early may wait for
/// the endpoint's liveness to be known, regardless of how long it has waited.
/// The check takes at most 0.3 s and the evaluation 0.1 s.
static constexpr Duration LivenessCheckWait = std::chrono::milliseconds(500);

/// Weight of the latest sample in the running mean of the time to first byte.
static constexpr double FirstByteWeight = 0.1;

DirectNode::DirectNode(DataCentreId dataCentre, DirectLimits limits,
                       std::uint64_t seed, std::string name)
    : DataCentre(std::move(dataCentre)), Limits(limits), Random(seed),
      Name(std::move(name)), Picker(Table, Limits, DataCentre, Arrivals, Rates,
                                    Cold, Excluded, Random),
      Retries(limits.Retries) {}

static Duration partOf(Duration whole, double part) {
  return std::chrono::duration_cast<Duration>(whole * part);
}

DirectActions DirectNode::onCall(DirectRequest request, TimePoint now) {
  Table.expirePeerLoads(now);
  CallId id = request.Id;
  const RouteRule &route = *request.Route;
  if (isIdle(now))
    ActiveSince = now;
  LastCallAt = now;
  CallState &call = Calls[id];
  call.Service = pickService(route);
  call.Arrived = now;
  Duration left =
      std::min(request.TimeLeft.value_or(route.Timeout), route.Timeout);
  call.Deadline = now + left;
  call.OnTimeUntil = now + partOf(route.Target, Limits.OnTimePart);
  call.WaitUntil =
      now + std::min(Limits.MaxWait, partOf(left, Limits.MaxWaitPart));
  call.Request = std::move(request);
  Retries.onRequest(call.Service, now);
  Crashes.onReceived(call.Request.Digest, now);
  if (Crashes.verdictOf(call.Request.Digest) == CrashVerdict::Quarantined) {
    end(call, ResultCode::RequestQuarantined, Duration::zero());
    return takeActions();
  }
  Arrivals.onRequest(call.Service, now);
  startOrWait(call, now);
  return takeActions();
}

DirectActions DirectNode::onFirstByte(CallId id, TimePoint now) {
  auto it = Calls.find(id);
  if (it == Calls.end() || !it->second.Current || it->second.HasFirstByte)
    return takeActions();
  it->second.HasFirstByte = true;
  it->second.HasBegun = true;
  recordReceived(it->second, now);
  recordFirstByte(it->second, now);
  Table.onFirstByte(*it->second.Current, it->second.Request.Tokens.Prompt, now);
  startWaiting(now);
  return takeActions();
}

DirectActions DirectNode::onEvents(CallId id, TimePoint now) {
  auto it = Calls.find(id);
  if (it == Calls.end() || !it->second.Current)
    return takeActions();
  CallState &call = it->second;
  ++call.ReceivedParts;
  Duration gap = now - call.ReceivedAt;
  recordReceived(call, now);
  if (gap > Duration::zero())
    Table.onEvents(*call.Current, gap, now);
  if (isTooSlow(call, now))
    tryMigrate(call, StopReason::TooSlow, now);
  return takeActions();
}

void DirectNode::recordReceived(CallState &call, TimePoint now) {
  call.ReceivedAt = now;
  if (std::exchange(call.IsSilent, false))
    Silent.erase(call.Request.Id);
}

void DirectNode::recordFirstByte(const CallState &call, TimePoint now) {
  Duration taken = now - call.SentAt;
  auto [it, isFirst] = FirstByteTimes.try_emplace(call.Service, taken);
  it->second += partOf(taken - it->second, FirstByteWeight);
}

Duration DirectNode::allowedSilence(const CallState &call) const {
  auto it = FirstByteTimes.find(call.Service);
  if (it == FirstByteTimes.end())
    return Limits.MaxSilence;
  return std::clamp(partOf(it->second, Limits.SilenceFactor), Limits.MinSilence,
                    Limits.MaxSilence);
}

DirectActions DirectNode::onAttemptEnded(CallId id, AttemptEnd end,
                                         TimePoint now,
                                         ConnectionEnd connection) {
  auto it = Calls.find(id);
  if (it == Calls.end() || !it->second.Current)
    return takeActions();
  CallState &call = it->second;
  const RouteRule &route = *call.Request.Route;
  bool isRepeatable = route.isRepeatable();
  recordOutcome(call, end, now);
  if (connection == ConnectionEnd::Endpoint)
    handleClosedConnection(call, now);
  if (end == AttemptEnd::Complete || end == AttemptEnd::Failed)
    Crashes.onCompleteResponse(call.Request.Digest, now);
  // The endpoint's rate limit, backoff or draining state decides when the
  // request may be sent there again.
  if (end == AttemptEnd::Withheld)
    call.Tried.erase(*call.Current);
  endAttempt(call);
  switch (end) {
  case AttemptEnd::Complete:
    releaseNext(call);
    Calls.erase(it);
    break;
  case AttemptEnd::Full:
    call.WasRejected = true;
    // The request did not run there. A rejection does not count as an attempt
    // of a stream that has begun: when a rank exits, the other ranks of its
    // group reject such streams, and ending those would cost more than the
    // retry that each rejection takes anyway.
    if (call.HasBegun)
      --call.Attempts;
    retry(call, ResultCode::QueueFull, now);
    break;
  case AttemptEnd::OtherIncarnation:
    // The intended endpoint has not received the request.
    --call.Attempts;
    retry(call, ResultCode::EndpointLeaving, now);
    break;
  case AttemptEnd::NeverSent:
  case AttemptEnd::Withheld:
    --call.Attempts;
    // An attempt that was not sent is not a retry.
    if (--call.Sends > 0)
      Retries.refund(call.Service);
    if (!startNext(call, now))
      startOrWait(call, now);
    break;
  case AttemptEnd::Failed:
    call.MayHaveRun = true;
    call.HasFailedResponse = true;
    if (startNext(call, now) ||
        (isRepeatable && call.Attempts < route.Attempts && tryStart(call, now)))
      break;
    if (call.HasBegun && mayAttempt(call, now)) {
      wait(call, now);
      break;
    }
    Out.emplace_back(ForwardResponse{id});
    break;
  case AttemptEnd::Lost:
    call.MayHaveRun = true;
    if (isRepeatable)
      retry(call, ResultCode::ContactLost, now);
    else
      this->end(call, ResultCode::ContactLost, Duration::zero());
    break;
  case AttemptEnd::BrokeOff:
    call.MayHaveRun = true;
    if (route.canResume())
      retry(call, ResultCode::EndpointFailed, now);
    else
      this->end(call, ResultCode::EndpointFailed, Duration::zero());
    break;
  }
  sendStatusQueries(now);
  startWaiting(now);
  return takeActions();
}

DirectActions DirectNode::onCallClosed(CallId id, TimePoint now) {
  auto it = Calls.find(id);
  if (it == Calls.end())
    return takeActions();
  endAttempt(it->second);
  releaseNext(it->second);
  Waiting.erase({it->second.Request.Priority, it->second.Arrived, id});
  Calls.erase(it);
  startWaiting(now);
  return takeActions();
}

DirectActions DirectNode::onTimer(TimePoint now) {
  LastTimer = now;
  Table.expirePeerLoads(now);
  Table.clearExpiredFull(now);
  if (!Cold.isEmpty())
    Cold.onTimer(now);
  evaluateCrashes(now);
  sendStatusQueries(now);
  startWaiting(now);
  std::vector<CallId> late;
  for (const auto &[priority, arrived, id] : Waiting)
    if (Calls.at(id).waitLimit() <= now)
      late.push_back(id);
  for (CallId id : late)
    endNotRun(Calls.at(id), ResultCode::NoEndpoint, now);
  endUnservable(now);
  return takeActions();
}

std::optional<TimePoint> DirectNode::nextTimer() const {
  std::optional<TimePoint> next = Table.nextStatusQuery();
  auto include = [&next](std::optional<TimePoint> due) {
    if (due && (!next || *due < *next))
      next = due;
  };
  include(Crashes.nextVerdictAt());
  include(Cold.nextTimer());
  for (const auto &[priority, arrived, id] : Waiting)
    include(Calls.at(id).waitLimit());
  for (const auto &[priority, arrived, id] : Waiting)
    include(Calls.at(id).CopyStartAt);
  if (!Waiting.empty()) {
    include(Table.nextFree());
    include(Rates.nextCapacityAt(LastTimer));
    include(Cold.nextCapacityAt(LastTimer));
    include(Excluded.nextBackoffEnd(LastTimer));
  }
  return next;
}

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
  call.SentAt = now;
  call.ReceivedAt = now;
  call.MaxIdleTime = allowedSilence(call);
  call.Tried.insert(endpoint.Id);
  Out.emplace_back(StartAttempt{call.Request.Id, endpoint, call.Deadline,
                                call.Attempts, call.MaxIdleTime});
}

/// Assigns freed capacity to waiting calls. Calls that can still be within
/// their latency target go first, then calls to be migrated from silent
/// endpoints, then the rest. In a backlog, serving strictly in order of arrival
/// would make every call late.
void DirectNode::startWaiting(TimePoint now) {
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
  if (Crashes.verdictOf(call.Request.Digest) == CrashVerdict::Quarantined) {
    end(call, ResultCode::RequestQuarantined, Duration::zero());
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
  Out.emplace_back(EndCall{id, code, retryAfter});
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

ServiceId DirectNode::pickService(const RouteRule &route) {
  unsigned total = std::accumulate(
      route.Services.begin(), route.Services.end(), 0U,
      [](unsigned n, const WeightedService &it) { return n + it.Weight; });
  if (total == 0)
    return route.Services.empty() ? ServiceId()
                                  : route.Services.front().Service;
  unsigned n = std::uniform_int_distribution<unsigned>(0, total - 1)(Random);
  for (const WeightedService &it : route.Services) {
    if (n < it.Weight)
      return it.Service;
    n -= it.Weight;
  }
  return route.Services.back().Service;
}

DirectActions DirectNode::takeActions() { return std::exchange(Out, {}); }
