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

/// Weight of the latest sample in the running mean of the time to first byte.
static constexpr double FirstByteWeight = 0.1;
/// Minimum interval between checks for due queries that events trigger; a slow
/// group delivers hundreds of events per second.
static constexpr Duration EventQueryInterval = std::chrono::milliseconds(50);

DirectNode::DirectNode(DataCentreId dataCentre, DirectLimits limits,
                       std::uint64_t seed, std::string name)
    : DataCentre(std::move(dataCentre)), Limits(limits), Random(seed),
      Slow(Table), Name(std::move(name)), NameDigest(digest64(Name)),
      Picker(Table, Limits, DataCentre, Arrivals, Rates, Cold, Excluded, Slow,
             Random),
      Retries(limits.Retries), Crashes(seed) {}

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
  if (LatestDeadline)
    left = std::min(left, *LatestDeadline - now);
  call.Deadline = now + left;
  call.OnTimeUntil = now + partOf(route.Target, Limits.OnTimePart);
  call.WaitUntil =
      now + std::min(Limits.MaxWait, partOf(left, Limits.MaxWaitPart));
  call.Request = std::move(request);
  Slow.setConfig(call.Request.Config);
  Slow.update(now);
  Retries.onRequest(call.Service, now);
  call.Subject = {call.Request.Digest, call.Request.Parts, call.Service};
  Crashes.onReceived(call.Subject, now);
  if (ResultCode code = Crashes.codeOf(call.Subject); code != ResultCode::Ok) {
    end(call, code, Duration::zero());
    return takeActions();
  }
  Arrivals.onRequest(call.Service, now);
  // An endpoint would get no time for it either.
  if (left <= Duration::zero()) {
    end(call, ResultCode::DeadlineBeforeStart, Duration::zero());
    return takeActions();
  }
  startOrWait(call, now);
  return takeActions();
}

DirectActions DirectNode::limitDeadlines(TimePoint latest) {
  LatestDeadline = latest;
  for (auto &[id, call] : Calls) {
    call.Deadline = std::min(call.Deadline, latest);
    call.WaitUntil = std::min(call.WaitUntil, latest);
  }
  return takeActions();
}

DirectActions DirectNode::onFirstByte(CallId id, TimePoint now) {
  auto it = Calls.find(id);
  if (it == Calls.end() || !it->second.Current || it->second.HasFirstByte)
    return takeActions();
  it->second.HasFirstByte = true;
  it->second.HasBegun = true;
  it->second.FirstByteAt = now;
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
  recordProgress(call, now);
  if (gap > Duration::zero())
    Table.onEvents(*call.Current, gap, now);
  if (isOnSlowRank(call))
    tryMigrate(call, StopReason::SlowRank, now);
  else if (isTooSlow(call, now))
    tryMigrate(call, StopReason::TooSlow, now);
  // The first long gaps are noticed here. Without this check, the queries would
  // wait until a request ends.
  const EndpointState *state = Table.find(*call.Current);
  if (state && now - EventQueryAt >= EventQueryInterval &&
      Table.gapOf(*state, now) >= EndpointTable::SlowdownQueryGap) {
    EventQueryAt = now;
    sendStatusQueries(now);
  }
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
  else if (hasOutlastedStart(call, now))
    Crashes.onProgress(call.Subject, now);
  if (end == AttemptEnd::Complete || end == AttemptEnd::Failed)
    Crashes.onComplete(call.Subject, end == AttemptEnd::Complete, now);
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
  Slow.update(now);
  sendStatusQueries(now);
  startWaiting(now);
  std::vector<CallId> late;
  for (const auto &[priority, arrived, id] : Waiting)
    if (Calls.at(id).waitLimit() <= now)
      late.push_back(id);
  for (CallId id : late)
    endNotRun(Calls.at(id), ResultCode::NoEndpoint, now);
  // A drain may have left waiting calls without any endpoint.
  if (std::exchange(HasNewList, false))
    endUnservable(now);
  return takeActions();
}

std::optional<TimePoint> DirectNode::nextTimer() const {
  std::optional<TimePoint> next = Table.nextStatusQuery();
  auto include = [&next](std::optional<TimePoint> due) {
    if (due && (!next || *due < *next))
      next = due;
  };
  include(Table.nextSlowdownQuery());
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
