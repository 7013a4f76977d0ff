//===- AgentNode.cpp - the traffic side of an agent -----------------------===//
//
// Admission control, the queue and timers. AgentRuns.cpp handles admitted
// requests. Before a refusal of a dispatch that says "not run" is sent, the
// ledger voids the ticket, unless it is invalid or expired, so that the request
// cannot run afterwards.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Routing/AgentNode.h"

#include <algorithm>
#include <cassert>
#include <utility>

using namespace ospreyspur;

static constexpr Duration InitialServiceTime = std::chrono::milliseconds(200);
static constexpr Duration ExpiryInterval = std::chrono::seconds(5);
static constexpr Duration MinRetryAfter = std::chrono::milliseconds(500);
static constexpr Duration MaxTicketValidity = std::chrono::minutes(5);
static constexpr std::size_t BytesPerCost = 1024;
static constexpr Duration PauseCheckInterval = std::chrono::milliseconds(500);
static constexpr Duration PauseLimit = std::chrono::seconds(2);

AgentNode::AgentNode(EndpointId self, Incarnation incarnation, std::string key,
                     AgentLimits limits, std::uint64_t seed)
    : Self(std::move(self)), Limits(limits),
      Tickets(Self, incarnation, std::move(key)),
      RequestLedger(Tickets, limits.Ledger), Drain(InitialServiceTime),
      Weights(std::make_shared<WorkspaceWeights>()), Random(seed) {}

AgentActions AgentNode::onMessage(LinkId from, const Message &message,
                                  TimePoint now) {
  detectPause(now);
  std::visit([&](const auto &it) { handle(from, it, now); }, message);
  return takeActions();
}

/// Updates the time of the latest input. If this process was paused, refuses
/// all queued requests: the endpoint may have left long ago, and the callers
/// have waited too long already.
void AgentNode::detectPause(TimePoint now) {
  bool wasPaused = now - LastInput > PauseLimit;
  LastInput = now;
  if (!wasPaused)
    return;
  for (const QueuedRequest &it : Queue.drain())
    withdrawJob(it.Id, ResultCode::EndpointPaused, now);
}

template <typename T>
void AgentNode::handle(LinkId /*from*/, const T & /*other*/,
                       TimePoint /*now*/) {
  // Messages for other roles are ignored.
}

/// Registers the link of an entry at its first Probe or Dispatch. A leaving
/// agent then sends Leaving before its reply.
void AgentNode::registerEntry(LinkId link) {
  if (!Entries.insert(link).second || !IsLeaving)
    return;
  UnconfirmedEntries.insert(link);
  send(link, Leaving{true});
}

void AgentNode::handle(LinkId from, const LeavingSeen & /*seen*/,
                       TimePoint /*now*/) {
  UnconfirmedEntries.erase(from);
}

void AgentNode::handle(LinkId from, const CrashUpdate &update, TimePoint now) {
  for (CrashRelay::Delivery &it : Relay.onUpdate(from, update, now))
    send(it.To, std::move(it.Update));
}

void AgentNode::handle(LinkId from, const Probe &probe, TimePoint now) {
  registerEntry(from);
  ProbeReply reply;
  reply.Call = probe.Call;
  reply.Wait = estimateWait(probe.Workspace, probe.Priority);
  reply.Load = static_cast<std::uint32_t>(Queue.size() + Running.size());
  reply.Code = findRefusalReason(reply.Wait, probe.Deadline);
  if (reply.Code == ResultCode::Ok)
    reply.Permit = Tickets.issue(
        probe.Workspace, std::min(probe.ValidFor, MaxTicketValidity), now);
  else
    reply.RetryAfter = computeRetryAfter();
  send(from, reply);
}

void AgentNode::handle(LinkId from, const Dispatch &dispatch, TimePoint now) {
  registerEntry(from);
  const Ticket &ticket = dispatch.Permit;
  Duration wait = estimateWait(ticket.Workspace, dispatch.Priority);
  ResultCode reason = findRefusalReason(wait, dispatch.Deadline);
  Ledger::AdmissionResult admission =
      reason == ResultCode::Ok
          ? RequestLedger.admit(ticket, dispatch.Repeatable, now)
          : RequestLedger.refuseIfNew(ticket, reason, now);
  switch (admission.Action) {
  case Ledger::Decision::Start:
    enqueue(from, dispatch, now);
    startQueued(now);
    return;
  case Ledger::Decision::Attach:
    attach(from, dispatch, now);
    return;
  case Ledger::Decision::Refuse:
    refuse(from, ticket.Id, dispatch.Attempt, admission.Code);
    return;
  }
}

void AgentNode::handle(LinkId from, const Resolve &resolve, TimePoint now) {
  const Ticket &ticket = resolve.Permit;
  Ledger::AdmissionResult admission =
      RequestLedger.refuseIfNew(ticket, ResultCode::TicketVoid, now);
  ResolveReply reply{ticket.Id, RunState::Known};
  if (admission.Action == Ledger::Decision::Refuse) {
    bool isSure = describe(admission.Code).Kind == Outcome::NotRun;
    reply.State = isSure ? RunState::NeverStarts : RunState::CannotTell;
  }
  send(from, reply);
}

void AgentNode::handle(LinkId from, const Cancel &cancel, TimePoint now) {
  auto it = Jobs.find(cancel.Id);
  if (it == Jobs.end())
    return;
  std::erase_if(it->second.Subscribers, [&](const Subscriber &sub) {
    return sub.Link == from && sub.Attempt == cancel.Attempt;
  });
  stopIfUnsubscribed(cancel.Id, now);
  startQueued(now);
}

ResultCode AgentNode::findRefusalReason(Duration wait,
                                        Duration timeLeft) const {
  if (!IsLeavingKnown)
    return ResultCode::EndpointStarting;
  if (IsLeaving)
    return ResultCode::EndpointLeaving;
  if (LastInput < DownUntil)
    return ResultCode::EndpointUnreachable;
  if (remainingBackoff() > Limits.MaxWait)
    return ResultCode::EndpointsResting;
  if (rateLimitWait() > Limits.MaxWait)
    return ResultCode::RateLimited;
  if (Queue.size() >= Limits.MaxQueue || wait > Limits.MaxWait)
    return ResultCode::QueueFull;
  // A response that would be truncated at its deadline only uses up capacity
  // that other requests need.
  bool isUnservable = wait + Drain.meanServiceTime() > timeLeft;
  if (wait > Duration::zero() && timeLeft > Duration::zero() && isUnservable)
    return ResultCode::QueueFull;
  return ResultCode::Ok;
}

std::uint32_t AgentNode::weightOf(const WorkspaceId &workspace) const {
  auto it = Weights->find(workspace);
  return it == Weights->end() ? 1 : std::max(1U, it->second);
}

Duration AgentNode::estimateWait(const WorkspaceId &workspace,
                                 std::uint32_t priority) const {
  std::size_t ahead =
      Queue.countAhead(workspace, weightOf(workspace), priority);
  Duration drained = Drain.estimateWait(ahead, Running.size(), Limits.Slots);
  return std::max({drained, rateLimitWait(), remainingBackoff()});
}

Duration AgentNode::computeRetryAfter() {
  // Random, so that callers refused at the same time do not retry at the same
  // time: 0.5 to 1.5 times the expected wait, or the endpoint's backoff plus a
  // random part.
  Duration toDrain =
      Drain.estimateWait(Queue.size(), Running.size(), Limits.Slots);
  Duration base = std::max({toDrain, rateLimitWait(), MinRetryAfter});
  if (Duration backoff = remainingBackoff(); backoff > Duration::zero())
    return backoff + draw(Duration::zero(), std::max(base, backoff / 4));
  return draw(base / 2, base * 3 / 2);
}

Duration AgentNode::draw(Duration least, Duration most) {
  std::uniform_int_distribution<Duration::rep> spread(least.count(),
                                                      most.count());
  return Duration(spread(Random));
}

void AgentNode::enqueue(LinkId from, const Dispatch &dispatch, TimePoint now) {
  RequestId id = dispatch.Permit.Id;
  StoredResponse *response = RequestLedger.findResponse(id);
  assert(response && "an admitted request has a record");
  response->BaseOffset = dispatch.ResumeFrom;

  QueuedRequest request;
  request.Id = id;
  request.Workspace = dispatch.Permit.Workspace;
  request.Priority = dispatch.Priority;
  request.Cost =
      1 + static_cast<std::uint32_t>(dispatch.Body.size() / BytesPerCost);
  request.Weight = weightOf(request.Workspace);
  Queue.push(std::move(request));

  Job job{dispatch, now + dispatch.Deadline, std::nullopt, {}, {}};
  job.Subscribers.push_back({from, dispatch.Attempt});
  Deadlines.emplace(job.Deadline, id);
  Jobs.emplace(id, std::move(job));
  send(from, Accepted{id, dispatch.Attempt});
}

void AgentNode::refuse(LinkId from, RequestId id, AttemptNumber attempt,
                       ResultCode code) {
  send(from, Refused{id, attempt, code, computeRetryAfter()});
}

AgentActions AgentNode::onLinkDown(LinkId link, TimePoint now) {
  detectPause(now);
  Entries.erase(link);
  UnconfirmedEntries.erase(link);
  Relay.onLinkDown(link);
  std::vector<RequestId> affected;
  for (auto &[id, job] : Jobs) {
    auto n = std::erase_if(job.Subscribers, [link](const Subscriber &sub) {
      return sub.Link == link;
    });
    if (n > 0)
      affected.push_back(id);
  }
  for (RequestId id : affected)
    if (Jobs.contains(id))
      stopIfUnsubscribed(id, now);
  return takeActions();
}

AgentActions AgentNode::setLeaving(bool leaving, TimePoint now) {
  detectPause(now);
  IsLeavingKnown = true;
  IsListedLeaving = leaving;
  updateLeaving(now);
  return takeActions();
}

void AgentNode::updateLeaving(TimePoint now) {
  bool leaving = IsListedLeaving || hasAnnouncedLeaving();
  if (leaving == IsLeaving)
    return;
  IsLeaving = leaving;
  UnconfirmedEntries = leaving ? Entries : std::set<LinkId>();
  for (LinkId it : Entries)
    send(it, Leaving{leaving});
  if (!leaving)
    return;
  // Queued requests have not started: refuse them, so that the entries retry
  // them at other endpoints at once.
  for (const QueuedRequest &it : Queue.drain())
    withdrawJob(it.Id, ResultCode::EndpointLeaving, now);
}

void AgentNode::setWeights(std::shared_ptr<const WorkspaceWeights> weights) {
  assert(weights && "weights must not be null");
  Weights = std::move(weights);
}

AgentActions AgentNode::onTimer(TimePoint now) {
  detectPause(now);
  while (!Deadlines.empty() && Deadlines.begin()->first <= now) {
    RequestId id = Deadlines.begin()->second;
    Deadlines.erase(Deadlines.begin());
    Job &job = Jobs.at(id);
    if (!job.Started) {
      Queue.remove(id);
      withdrawJob(id, ResultCode::DeadlineBeforeStart, now);
    } else {
      job.Subscribers.clear();
      stopIfUnsubscribed(id, now);
    }
  }
  if (!NextExpiry || *NextExpiry <= now) {
    RequestLedger.expire(now);
    NextExpiry = now + ExpiryInterval;
  }
  startQueued(now);
  return takeActions();
}

std::optional<TimePoint> AgentNode::nextTimer() const {
  std::optional<TimePoint> next = NextExpiry;
  if (!Deadlines.empty() && (!next || Deadlines.begin()->first < *next))
    next = Deadlines.begin()->first;
  TimePoint check = LastInput + PauseCheckInterval;
  if (Queue.size() > 0 && (!next || check < *next))
    next = check;
  if (Queue.size() == 0)
    return next;
  for (std::optional<TimePoint> it :
       {Rates.nextCapacityAt(LastInput), Excluded.nextBackoffEnd(LastInput)})
    if (it && *it < *next)
      next = it;
  return next;
}

void AgentNode::send(LinkId to, Message message) {
  Out.push_back(SendToLink{to, std::move(message)});
}

AgentActions AgentNode::takeActions() { return std::exchange(Out, {}); }
