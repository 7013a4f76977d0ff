//===- EntryNode.cpp - the life cycle of a call ---------------------------===//
//
// Probes, dispatches and ends calls. EntryClaims.cpp handles idempotency keys,
// EntryMessages.cpp agents' messages and EntryCrashes.cpp suspect requests.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Routing/EntryNode.h"

#include <algorithm>
#include <cassert>
#include <utility>

using namespace ospreyspur;

static constexpr unsigned MaxProbeRounds = 3;
static constexpr unsigned MaxDispatchTries = 2;
static constexpr unsigned MaxResolveBackoff = 8;

EntryNode::EntryNode(DataCentreId dataCentre, EntryLimits limits,
                     std::uint64_t seed, std::string digestKey)
    : DataCentre(std::move(dataCentre)), Limits(limits),
      Picker(limits.Probes, limits.Weights, DataCentre),
      Retries(limits.RetryRatio, limits.RetryReserve), Random(seed),
      Snapshot(std::make_shared<RoutingSnapshot>()),
      DigestKey(std::move(digestKey)), Name(std::to_string(Random())),
      Crashes(Random(), limits.Crashes, limits.Parts) {}

EntryActions EntryNode::onCall(CallerRequest request, TimePoint now) {
  CallId id = request.Id;
  assert(!Calls.contains(id) && "a call's id must be new");
  Call &call = Calls[id];
  call.Request = std::move(request);
  call.Deadline = now + call.Request.Deadline;
  if (LatestDeadline)
    call.Deadline = std::min(call.Deadline, *LatestDeadline);
  call.Timer = call.Deadline;
  Timers.emplace(call.Timer, id);
  if (Calls.size() > Limits.MaxCalls) {
    finishWith(call, ResultCode::TooManyCalls);
    return takeActions();
  }
  updateCrashVerdicts(now);
  const CallerRequest &stored = call.Request;
  call.Subject.Service = stored.Service;
  call.Subject.Request = digestRequest(
      DigestKey, {stored.Method, stored.Service.get(), stored.Target,
                  stored.Workspace.get(), stored.Body});
  for (const std::string &it : stored.PromptParts)
    call.Subject.Parts.push_back(digestPromptPart(DigestKey, it));
  Crashes.onReceived(call.Subject, now);
  if (ResultCode code = Crashes.codeOf(call.Subject); code != ResultCode::Ok) {
    finishWith(call, code);
    return takeActions();
  }
  Retries.earn(call.Request.Workspace);
  if (call.Request.CallerTicket) {
    bind(call, *call.Request.CallerTicket);
    if (!Snapshot->findEndpoint(call.Permit->Endpoint))
      finishWith(call, ResultCode::IncarnationGone);
    else
      resume(call, now);
    return takeActions();
  }
  if (!findService(call))
    finishWith(call, ResultCode::UnknownService);
  else if (call.Request.IdempotencyKey && !call.Request.WantsTicket)
    readClaim(call, now);
  else
    startProbing(call, now);
  return takeActions();
}

EntryActions EntryNode::limitDeadlines(TimePoint latest) {
  LatestDeadline = latest;
  for (auto &[id, call] : Calls) {
    call.Deadline = std::min(call.Deadline, latest);
    Timers.erase({call.Timer, id});
    call.Timer = std::min(call.Timer, call.Deadline);
    Timers.emplace(call.Timer, id);
  }
  return takeActions();
}

void EntryNode::startProbing(Call &call, TimePoint now) {
  if (mustDefer(call, now)) {
    defer(call, now);
    return;
  }
  call.Stage = CallStage::Probing;
  call.Offers.clear();
  call.ProbesOut = 0;
  const ServiceView *service = findService(call);
  std::vector<EndpointId> candidates;
  std::set<IncarnationDigest> suspectEndpoints = endpointsOfSuspects(call, now);
  if (service) {
    auto isExcluded = [&](const EndpointId &id) {
      auto unresponsive = UnresponsiveUntil.find(id);
      bool isUnresponsive = !call.ProbesUnresponsive &&
                            unresponsive != UnresponsiveUntil.end() &&
                            unresponsive->second > now;
      return isUnresponsive || KnownLeaving.contains(id) ||
             call.Tried.contains(id) ||
             (!suspectEndpoints.empty() &&
              suspectEndpoints.contains(digestIncarnation(id)));
    };
    candidates = Picker.pickCandidates(*service, call.Request.Prefix,
                                       isExcluded, Random);
  }
  if (candidates.empty() && !suspectEndpoints.empty()) {
    defer(call, now);
    return;
  }
  if (candidates.empty()) {
    finishWith(call, call.LastRefusal);
    return;
  }
  Probe probe{call.Request.Id,       call.Request.Workspace,
              Limits.TicketValidity, call.Request.Prefix,
              call.Request.Priority, call.Deadline - now};
  if (call.Request.WantsTicket)
    probe.ValidFor = Limits.CallerTicketValidity;
  for (const EndpointId &it : candidates) {
    call.Tried.insert(it);
    send(it, probe);
    ++call.ProbesOut;
  }
  setStageTimer(call, Limits.ProbeTimeout, now);
}

void EntryNode::chooseOffer(Call &call, TimePoint now) {
  const ServiceView *service = findService(call);
  // An endpoint that announced its leaving after its offer must get no new
  // request: LeavingSeen has confirmed this to its agent.
  std::erase_if(call.Offers, [this](const ProbeOffer &it) {
    return KnownLeaving.contains(it.Endpoint);
  });
  std::optional<std::size_t> best;
  if (service)
    best = Picker.pickOffer(call.Offers, *service, call.Request.Prefix);
  if (!best) {
    for (const ProbeOffer &it : call.Offers) {
      call.LastRefusal = it.Reply.Code;
      call.RetryAfter = std::max(call.RetryAfter, it.Reply.RetryAfter);
    }
    if (call.Offers.empty()) {
      // No endpoint replied. Probe the same endpoints again, as their replies
      // may only be late.
      call.Tried.clear();
      call.ProbesUnresponsive = true;
    }
    if (++call.Tries < MaxProbeRounds)
      startProbing(call, now);
    else
      finishWith(call, call.LastRefusal);
    return;
  }
  // The endpoints that were not chosen may be used by a retry.
  for (const ProbeOffer &it : call.Offers)
    call.Tried.erase(it.Endpoint);
  if (mustDefer(call, now)) {
    defer(call, now);
    return;
  }
  const ProbeOffer offer = call.Offers[*best];
  call.Tried.insert(offer.Endpoint);
  if (call.Request.WantsTicket) {
    Out.push_back(ReturnTicket{call.Request.Id, offer.Reply.Permit});
    erase(call);
    return;
  }
  call.Tries = 0;
  bind(call, offer.Reply.Permit);
  if (call.Request.IdempotencyKey)
    claim(call, now);
  else
    dispatch(call, now);
}

void EntryNode::dispatch(Call &call, TimePoint now) {
  if (ResultCode code = Crashes.codeOf(call.Subject); code != ResultCode::Ok) {
    finishWith(call, code);
    return;
  }
  ++call.Dispatches;
  call.SentAt = now;
  call.FirstDataAt.reset();
  call.HasProgressed = false;
  call.Tries = 0;
  LastAttempt = AttemptNumber(LastAttempt.get() + 1);
  call.Attempt = LastAttempt;
  call.Response.beginAttempt(call.Attempt);
  call.Stage = CallStage::Dispatched;
  sendDispatch(call, now);
  if (isSuspect(call))
    Reporter.onChange(now);
}

void EntryNode::sendDispatch(Call &call, TimePoint now) {
  Dispatch message;
  message.Permit = *call.Permit;
  message.Attempt = call.Attempt;
  message.ResumeFrom = call.Response.nextOffset();
  message.Deadline =
      std::max(Duration::zero(), call.Deadline - now - Limits.DeadlineMargin);
  message.Priority = call.Request.Priority;
  message.Repeatable = call.Request.IsRetryable;
  message.Method = call.Request.Method;
  message.Target = call.Request.Target;
  message.ContentType = call.Request.ContentType;
  message.Body = call.Request.Body;
  send(call.Permit->Endpoint, std::move(message));
  setStageTimer(call, Limits.AcceptTimeout, now);
}

void EntryNode::startResolving(Call &call, TimePoint now) {
  call.Stage = CallStage::Resolving;
  call.Tries = 0;
  send(call.Permit->Endpoint, Resolve{*call.Permit});
  setStageTimer(call, Limits.ResolveInterval, now);
}

/// Whether the call may run at another endpoint although its current dispatch
/// may have run.
bool EntryNode::mayRunElsewhere(const Call &call) const {
  if (!call.Request.IsRetryable || call.Request.CallerTicket ||
      call.Request.IdempotencyKey)
    return false;
  // A response that has begun can move to another endpoint only if it can be
  // resumed there. A plain HTTP endpoint would start over, perhaps with a
  // different response.
  const ServiceView *service = findService(call);
  return !call.HasHead || (service && service->Kind == ServiceKind::Model);
}

/// Retries the call at another endpoint. The caller of this function ensures
/// that the current dispatch never starts, or that the request may run again.
void EntryNode::retryElsewhere(Call &call, ResultCode reason, TimePoint now) {
  call.LastRefusal = reason;
  bool isTied = call.Request.CallerTicket.has_value();
  if (isTied || call.Dispatches >= Limits.MaxDispatches ||
      now + Limits.DeadlineMargin >= call.Deadline) {
    finishWith(call, reason);
    return;
  }
  if (!Retries.spend(call.Request.Workspace)) {
    finishWith(call, reason);
    return;
  }
  unbind(call);
  call.Tries = 0;
  call.DeferUntil.reset();
  startProbing(call, now);
}

/// Handles the loss of contact with the agent, after which the outcome of the
/// dispatch is unknown: retries the call if it may run again, otherwise
/// resolves the dispatch.
void EntryNode::loseContact(Call &call, TimePoint now) {
  UnresponsiveUntil[call.Permit->Endpoint] = now + Limits.UnresponsiveTime;
  if (!mayRunElsewhere(call)) {
    startResolving(call, now);
    return;
  }
  send(call.Permit->Endpoint, Cancel{call.Permit->Id, call.Attempt});
  call.MayHaveRun = true;
  retryElsewhere(call, ResultCode::ContactLost, now);
}

EntryActions EntryNode::onLinkDown(const EndpointId &to, TimePoint now) {
  // The agent may have been replaced. An agent that is still leaving announces
  // this on the new link.
  KnownLeaving.erase(to);
  Reporter.onLinkDown(to, now);
  UnresponsiveUntil[to] = now + Limits.UnresponsiveTime;
  std::vector<CallId> affected;
  for (auto &[id, call] : Calls)
    if (call.Permit && call.Permit->Endpoint == to)
      affected.push_back(id);
  for (CallId id : affected) {
    Call &call = Calls.at(id);
    bool isInFlight = call.Stage == CallStage::Dispatched ||
                      call.Stage == CallStage::Accepted;
    if (isInFlight)
      loseContact(call, now);
  }
  return takeActions();
}

EntryActions EntryNode::onCallerGone(CallId id, TimePoint /*now*/) {
  auto it = Calls.find(id);
  if (it == Calls.end())
    return takeActions();
  if (it->second.Permit)
    send(it->second.Permit->Endpoint,
         Cancel{it->second.Permit->Id, it->second.Attempt});
  erase(it->second);
  return takeActions();
}

void EntryNode::setSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot) {
  assert(snapshot && "a snapshot must not be null");
  Snapshot = std::move(snapshot);
  Reporter.setRelays(chooseRelays(*Snapshot));
}

EntryActions EntryNode::onTimer(TimePoint now) {
  updateCrashVerdicts(now);
  sendReports(now);
  while (!Timers.empty() && Timers.begin()->first <= now) {
    Call &call = Calls.at(Timers.begin()->second);
    if (call.Deadline <= now)
      onDeadline(call);
    else
      onStageTimer(call, now);
  }
  return takeActions();
}

void EntryNode::onStageTimer(Call &call, TimePoint now) {
  switch (call.Stage) {
  case CallStage::Deferred:
    resume(call, now);
    return;
  case CallStage::Probing: {
    for (const EndpointId &it : call.Tried) {
      auto isFrom = [&](const ProbeOffer &o) { return o.Endpoint == it; };
      if (std::none_of(call.Offers.begin(), call.Offers.end(), isFrom))
        UnresponsiveUntil[it] = now + Limits.UnresponsiveTime;
    }
    chooseOffer(call, now);
    return;
  }
  case CallStage::Claiming:
    readClaim(call, now);
    return;
  case CallStage::ReadingClaim:
    retryClaim(call, now);
    return;
  case CallStage::Dispatched:
    if (++call.Tries < MaxDispatchTries)
      sendDispatch(call, now);
    else
      loseContact(call, now);
    return;
  case CallStage::Accepted:
    loseContact(call, now);
    return;
  case CallStage::Resolving:
    call.Tries = std::min(call.Tries + 1, MaxResolveBackoff);
    send(call.Permit->Endpoint, Resolve{*call.Permit});
    setStageTimer(call, Limits.ResolveInterval * (call.Tries + 1), now);
    return;
  }
}

/// Ends a call at its deadline. A probing or deferred call did not run, unless
/// it has a caller's ticket, which other entries may know of; the outcome of
/// any other call is unknown, and its dispatch is cancelled.
void EntryNode::onDeadline(Call &call) {
  bool isUndispatched =
      call.Stage == CallStage::Probing || call.Stage == CallStage::Deferred;
  if (isUndispatched && !call.Request.CallerTicket) {
    finishWith(call, ResultCode::DeadlineBeforeStart);
    return;
  }
  if (call.Permit)
    send(call.Permit->Endpoint, Cancel{call.Permit->Id, call.Attempt});
  finishWith(call, ResultCode::DeadlinePassed);
}

std::optional<TimePoint> EntryNode::nextTimer() const {
  std::optional<TimePoint> next = Reporter.nextTimer();
  auto include = [&next](std::optional<TimePoint> due) {
    if (due && (!next || *due < *next))
      next = due;
  };
  include(Crashes.nextVerdictAt());
  if (!Timers.empty())
    include(Timers.begin()->first);
  return next;
}

const ServiceView *EntryNode::findService(const Call &call) const {
  auto it = Snapshot->Services.find(call.Request.Service);
  return it == Snapshot->Services.end() ? nullptr : &it->second;
}

void EntryNode::setStageTimer(Call &call, Duration wait, TimePoint now) {
  Timers.erase({call.Timer, call.Request.Id});
  call.Timer = std::min(now + wait, call.Deadline);
  Timers.emplace(call.Timer, call.Request.Id);
}

void EntryNode::bind(Call &call, const Ticket &ticket) {
  unbind(call);
  call.Permit = ticket;
  CallsByRequest.emplace(ticket.Id, call.Request.Id);
}

void EntryNode::unbind(Call &call) {
  if (!call.Permit)
    return;
  auto [first, last] = CallsByRequest.equal_range(call.Permit->Id);
  for (auto it = first; it != last; ++it) {
    if (it->second != call.Request.Id)
      continue;
    CallsByRequest.erase(it);
    break;
  }
  call.Permit.reset();
}

void EntryNode::finishComplete(Call &call, TimePoint now) {
  if (Crashes.onComplete(call.Subject, true, now))
    Reporter.onChange(now);
  Out.push_back(ResponseEnd{call.Request.Id});
  erase(call);
}

void EntryNode::finishWith(Call &call, ResultCode code) {
  if (call.MayHaveRun && describe(code).Kind == Outcome::NotRun)
    code = ResultCode::ContactLost;
  Out.push_back(ResponseError{call.Request.Id, code, call.RetryAfter});
  erase(call);
}

void EntryNode::erase(Call &call) {
  CallId id = call.Request.Id;
  unbind(call);
  Timers.erase({call.Timer, id});
  CallsByKv.erase(call.PendingKv);
  Calls.erase(id);
}

void EntryNode::send(const EndpointId &to, Message message) {
  Out.push_back(SendToAgent{to, std::move(message)});
}

EntryActions EntryNode::takeActions() { return std::exchange(Out, {}); }
