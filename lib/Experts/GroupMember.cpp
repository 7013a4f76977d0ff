//===- GroupMember.cpp - an agent's role in map changes -------------------===//
//
// Orders are handled one at a time; while the engine executes one, later ones
// wait. If the engine does not reply, the member requests its state until it
// does.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/GroupMember.h"

#include <algorithm>
#include <cassert>
#include <utility>

using namespace ospreyspur;

GroupMember::GroupMember(GroupId group, EndpointId self, MemberLimits limits)
    : Group(std::move(group)), Self(std::move(self)), Limits(limits) {}

GroupActions GroupMember::start(TimePoint now) {
  orderRank(RankOrderKind::Report, {}, false, now);
  return takeActions();
}

GroupActions GroupMember::onOrder(const GroupOrder &order, TimePoint now) {
  if (Waiting.size() < Limits.MaxWaiting)
    Waiting.push_back(order);
  processWaiting(now);
  return takeActions();
}

void GroupMember::processWaiting(TimePoint now) {
  while (!InFlight && State && !Waiting.empty()) {
    GroupOrder order = std::move(Waiting.front());
    Waiting.pop_front();
    process(order, now);
  }
}

void GroupMember::process(const GroupOrder &order, TimePoint now) {
  bool isFenced = order.CoordinatorEpoch < State->HighestEpoch;
  switch (order.Kind) {
  case GroupOrderKind::Join:
    isFenced ? reply(order, GroupReplyKind::Fenced) : join(order, now);
    return;
  case GroupOrderKind::Load:
    isFenced ? reply(order, GroupReplyKind::Fenced) : load(order, now);
    return;
  case GroupOrderKind::Arm:
    isFenced ? reply(order, GroupReplyKind::Fenced) : arm(order, now);
    return;
  case GroupOrderKind::Query:
    query(order, now);
    return;
  // Commit and Abort report a decided outcome, so they are accepted from any
  // sender and with any epoch.
  case GroupOrderKind::Commit:
    applyOutcome(order.Attempt, RankOrderKind::Commit, now);
    return;
  case GroupOrderKind::Abort:
    applyOutcome(order.Attempt, RankOrderKind::Abort, now);
    return;
  case GroupOrderKind::Report:
    orderRank(RankOrderKind::Report, order, true, now);
    return;
  }
}

void GroupMember::join(const GroupOrder &order, TimePoint now) {
  if (order.GroupGeneration == State->GroupGeneration)
    reply(order, GroupReplyKind::Joined);
  else if (order.GroupGeneration > State->GroupGeneration)
    orderRank(RankOrderKind::Join, order, true, now);
}

void GroupMember::load(const GroupOrder &order, TimePoint now) {
  if (order.GroupGeneration != State->GroupGeneration) {
    reply(order, GroupReplyKind::State);
    return;
  }
  if (State->Spare == order.Version) {
    reply(order, GroupReplyKind::Loaded);
    return;
  }
  // The spare slots are in use while a switch is under way. The coordinator
  // repeats the order; the engine's report shows when the switch is complete.
  bool isBusy = State->Armed || State->IsSwitching;
  orderRank(isBusy ? RankOrderKind::Report : RankOrderKind::Load, order, true,
            now);
}

/// Returns the outcome of \p attempt according to the engine's state; none if
/// undecided.
std::optional<GroupReplyKind>
GroupMember::knownOutcome(ChangeAttempt attempt) const {
  if (State->Armed && State->Armed->Attempt == attempt)
    return GroupReplyKind::Armed;
  if (State->LastCommitted == attempt)
    return GroupReplyKind::Committed;
  if (attempt <= State->RefusedThrough)
    return GroupReplyKind::Refused;
  return std::nullopt;
}

void GroupMember::arm(const GroupOrder &order, TimePoint now) {
  // An engine of another generation knows nothing about this attempt and must
  // not vote: it may have armed and lost that state.
  if (order.GroupGeneration != State->GroupGeneration) {
    reply(order, GroupReplyKind::State);
    return;
  }
  if (auto known = knownOutcome(order.Attempt)) {
    reply(order, *known);
    return;
  }
  bool canArm = !State->Armed && !State->IsSwitching &&
                State->Spare == order.Version && State->Step < order.Step;
  orderRank(canArm ? RankOrderKind::Arm : RankOrderKind::Refuse, order, true,
            now);
}

void GroupMember::query(const GroupOrder &order, TimePoint now) {
  if (order.GroupGeneration != State->GroupGeneration)
    return;
  if (auto known = knownOutcome(order.Attempt))
    reply(order, *known);
  else
    orderRank(RankOrderKind::Refuse, order, true, now);
}

void GroupMember::applyOutcome(ChangeAttempt attempt, RankOrderKind outcome,
                               TimePoint now) {
  if (!State->Armed || State->Armed->Attempt != attempt)
    return;
  GroupOrder own;
  own.Attempt = attempt;
  own.GroupGeneration = State->GroupGeneration;
  orderRank(outcome, own, false, now);
}

GroupActions GroupMember::onRankReply(RankOrderId id, const RankReply &answer,
                                      TimePoint now) {
  if (!InFlight || InFlight->Id != id)
    return takeActions();
  Pending done = *std::exchange(InFlight, std::nullopt);
  State = answer.State;
  watchArmed(now);
  if (done.Cause)
    finish(*done.Cause, answer.IsDone, now);
  processWaiting(now);
  return takeActions();
}

/// Replies to the agent's order that caused an engine order.
void GroupMember::finish(const GroupOrder &cause, bool isDone, TimePoint now) {
  switch (cause.Kind) {
  case GroupOrderKind::Join:
    if (State->GroupGeneration == cause.GroupGeneration)
      reply(cause, GroupReplyKind::Joined);
    return;
  case GroupOrderKind::Load:
    // An engine that has begun to load replies at once; the coordinator repeats
    // the order until the map is loaded.
    if (State->Spare == cause.Version)
      reply(cause, GroupReplyKind::Loaded);
    else if (!isDone && !State->Armed && !State->IsSwitching)
      reply(cause, GroupReplyKind::LoadFailed);
    return;
  case GroupOrderKind::Arm:
  case GroupOrderKind::Query:
    if (cause.GroupGeneration != State->GroupGeneration)
      return;
    if (auto known = knownOutcome(cause.Attempt))
      reply(cause, *known);
    else
      orderRank(RankOrderKind::Refuse, cause, true, now);
    return;
  case GroupOrderKind::Report:
    reply(cause, GroupReplyKind::State);
    return;
  case GroupOrderKind::Commit:
  case GroupOrderKind::Abort:
    return;
  }
}

/// Starts or ends the wait for the outcome of the armed attempt.
void GroupMember::watchArmed(TimePoint now) {
  if (!State->Armed) {
    QueryAt.reset();
    return;
  }
  if (QueryAt && VotesFor == State->Armed->Attempt)
    return;
  VotesFor = State->Armed->Attempt;
  ArmedVotes = {Self};
  QueryAt = now + Limits.QueryDelay;
}

void GroupMember::queryOthers(TimePoint now) {
  QueryAt = now + Limits.QueryDelay;
  sendToOthers(GroupOrderKind::Query);
}

/// Sends a query about the armed attempt, or the attempt's outcome, to all
/// other members.
void GroupMember::sendToOthers(GroupOrderKind kind) {
  GroupOrder order;
  order.Group = Group;
  order.GroupGeneration = State->GroupGeneration;
  order.Attempt = State->Armed->Attempt;
  order.Kind = kind;
  order.Sender = Self;
  for (const EndpointId &it : State->Members)
    if (it != Self)
      Out.push_back(SendGroupOrder{it, order});
}

GroupActions GroupMember::onReply(const GroupReply &answer, TimePoint now) {
  if (!State || !State->Armed || answer.Attempt != State->Armed->Attempt ||
      answer.GroupGeneration != State->GroupGeneration)
    return takeActions();
  GroupOrder outcome;
  outcome.Attempt = answer.Attempt;
  switch (answer.Kind) {
  case GroupReplyKind::Armed:
    ArmedVotes.insert(answer.Member);
    if (ArmedVotes.size() < State->Members.size())
      return takeActions();
    sendToOthers(GroupOrderKind::Commit);
    outcome.Kind = GroupOrderKind::Commit;
    return onOrder(outcome, now);
  case GroupReplyKind::Committed:
    outcome.Kind = GroupOrderKind::Commit;
    return onOrder(outcome, now);
  case GroupReplyKind::Refused:
    sendToOthers(GroupOrderKind::Abort);
    outcome.Kind = GroupOrderKind::Abort;
    return onOrder(outcome, now);
  default:
    return takeActions();
  }
}

GroupActions GroupMember::onTimer(TimePoint now) {
  if (InFlight && InFlight->GiveUpAt <= now) {
    // It is unknown whether the engine executed the order. The engine's state
    // will show it, and the sender of the order repeats the order.
    InFlight.reset();
    orderRank(RankOrderKind::Report, {}, false, now);
  }
  if (QueryAt && *QueryAt <= now && State && State->Armed)
    queryOthers(now);
  return takeActions();
}

std::optional<TimePoint> GroupMember::nextTimer() const {
  std::optional<TimePoint> next = QueryAt;
  if (InFlight && (!next || InFlight->GiveUpAt < *next))
    next = InFlight->GiveUpAt;
  return next;
}

void GroupMember::orderRank(RankOrderKind kind, const GroupOrder &cause,
                            bool isReplyDue, TimePoint now) {
  assert(!InFlight && "an engine gets one order at a time");
  RankOrder order;
  order.Kind = kind;
  order.CoordinatorEpoch = cause.CoordinatorEpoch;
  order.GroupGeneration = cause.GroupGeneration;
  order.Attempt = cause.Attempt;
  order.Version = cause.Version;
  order.Step = cause.Step;
  order.Map = cause.Map;
  order.Members = cause.Members;
  RankOrderId id(++LastRankOrder);
  InFlight = Pending{id, order, std::nullopt, now + Limits.RankTimeout};
  if (isReplyDue)
    InFlight->Cause = cause;
  Out.push_back(OrderRank{id, std::move(order)});
}

void GroupMember::reply(const GroupOrder &to, GroupReplyKind kind) {
  GroupReply answer;
  answer.Group = Group;
  answer.Member = Self;
  answer.CoordinatorEpoch = to.CoordinatorEpoch;
  answer.GroupGeneration = State->GroupGeneration;
  answer.Attempt = to.Attempt;
  answer.Version = State->Running;
  answer.Step = State->Step;
  answer.Kind = kind;
  if (to.Kind == GroupOrderKind::Report)
    answer.SlotTokens = std::exchange(State->SlotTokens, {});
  if (kind == GroupReplyKind::State && State->Armed) {
    answer.Kind = GroupReplyKind::Armed;
    answer.Attempt = State->Armed->Attempt;
  }
  Out.push_back(SendGroupReply{to.Sender, answer});
}

GroupActions GroupMember::takeActions() { return std::exchange(Out, {}); }
