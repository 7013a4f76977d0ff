//===- MapSwitch.cpp - brings a new map into force on a group -------------===//
//
// See MapSwitch.h for the order of events.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/MapSwitch.h"

#include <algorithm>
#include <cmath>
#include <utility>

using namespace ospreyspur;

/// Room for the orders of one lease holder below its number in a token.
static constexpr unsigned OrderBits = 20;

void MapSwitch::lead(std::uint64_t lease) {
  // Whoever was refused for a higher token never leads under that lease again.
  if (Lease == lease)
    return;
  IsLeading = true;
  Lease = lease;
  LastOrder = 0;
  // What a predecessor left shows in the ranks' next statuses.
  Phase = SwitchPhase::Idle;
  SurveySince.reset();
  Orders.clear();
}

void MapSwitch::resign() {
  IsLeading = false;
  Phase = SwitchPhase::Idle;
  Orders.clear();
}

SwitchActions MapSwitch::onStatus(unsigned rank, const RankStatus &status,
                                  TimePoint seen, TimePoint now) {
  noteStep(status, seen);
  Ranks[rank] = status;
  SeenAt[rank] = seen;
  std::erase_if(Ranks, [&](const auto &it) { return it.first >= status.Size; });
  advance(now);
  return takeActions();
}

/// Measures how fast the group steps.
void MapSwitch::noteStep(const RankStatus &status, TimePoint now) {
  if (status.Formation != StepFormation || status.Step < LastStep) {
    StepFormation = status.Formation;
    LastStep = status.Step;
    LastStepAt = now;
    return;
  }
  Duration elapsed = now - LastStepAt;
  if (elapsed < Limits.StepWindow)
    return;
  StepsPerSecond = double(status.Step.get() - LastStep.get()) /
                   std::chrono::duration<double>(elapsed).count();
  LastStep = status.Step;
  LastStepAt = now;
}

SwitchActions MapSwitch::onReply(unsigned rank, const MapOrderReply &reply,
                                 TimePoint now) {
  auto it = Orders.find(rank);
  if (it == Orders.end() || it->second.Order.Id != reply.Id)
    return takeActions();
  switch (reply.Result) {
  case MapOrderResult::Unanswered:
    // Sent again by the timer.
    return takeActions();
  case MapOrderResult::Fenced:
    resign();
    return takeActions();
  case MapOrderResult::Done:
    Orders.erase(it);
    break;
  case MapOrderResult::Refused: {
    unsigned tries = it->second.Tries;
    SwitchPhase before = Phase;
    Orders.erase(it);
    onRefused(tries, now);
    if (Phase != before || !Orders.empty())
      return takeActions();
    break;
  }
  }
  if (Orders.empty())
    onPhaseDone(now);
  return takeActions();
}

/// A refusal after an earlier copy of the order got no answer may only say that
/// the earlier one was taken.
void MapSwitch::onRefused(unsigned tries, TimePoint now) {
  switch (Phase) {
  case SwitchPhase::Preparing:
    if (tries == 0)
      enterIdle(now);
    break;
  case SwitchPhase::Holding:
    holdNext(now);
    break;
  case SwitchPhase::Arming:
    takeBack(now);
    break;
  case SwitchPhase::Freezing:
    // The step has begun: what was armed is in force by now.
    enterIdle(now);
    break;
  case SwitchPhase::Idle:
  case SwitchPhase::Releasing:
  case SwitchPhase::Confirming:
  case SwitchPhase::Disarming:
    break;
  }
}

SwitchActions MapSwitch::onTimer(TimePoint now) {
  if (!IsLeading)
    return takeActions();
  std::vector<std::pair<unsigned, Pending>> late;
  for (const auto &[rank, pending] : Orders)
    if (now - pending.SentAt >= Limits.Resend)
      late.emplace_back(rank, pending);
  for (const auto &[rank, pending] : late)
    send(rank, pending.Order, pending.Tries + 1, now);
  advance(now);
  return takeActions();
}

std::optional<TimePoint> MapSwitch::nextTimer() const {
  std::optional<TimePoint> next;
  for (const auto &[rank, pending] : Orders) {
    TimePoint due = pending.SentAt + Limits.Resend;
    next = next ? std::min(*next, due) : due;
  }
  return next;
}

SwitchActions MapSwitch::begin(const GroupPlacement &placement, TimePoint now) {
  if (!canBegin(now))
    return takeActions();
  // No other coordinator can have given this number to another map.
  ++LastOrder;
  Version = MapVersion((Lease << OrderBits) + LastOrder);
  Wanted = placement;
  Formation = Ranks.begin()->second.Formation;
  BeganAt = now;
  enter(SwitchPhase::Preparing, now);
  orderAll(MapOrderKind::Prepare, now);
  return takeActions();
}

bool MapSwitch::canBegin(TimePoint now) const {
  if (!IsLeading || Phase != SwitchPhase::Idle || !isComplete(now) ||
      !isSurveyed())
    return false;
  MapVersion map = Ranks.begin()->second.Map;
  return allRanks([map](const RankStatus &it) {
    return it.Map == map && !it.Armed && !it.Held;
  });
}

GroupPlacement MapSwitch::placement() const {
  GroupPlacement out;
  for (const auto &[rank, status] : Ranks)
    out.push_back(status.Placement);
  return out;
}

bool MapSwitch::isComplete(TimePoint now) const {
  if (Ranks.empty() || Ranks.size() != Ranks.begin()->second.Size)
    return false;
  FormationEpoch formation = Ranks.begin()->second.Formation;
  return std::all_of(Ranks.begin(), Ranks.end(), [&](const auto &it) {
    return it.second.Formation == formation && it.second.IsOpen &&
           now - SeenAt.at(it.first) < Limits.StatusAge;
  });
}

/// Whether every rank has reported since the last phase ended.
bool MapSwitch::isSurveyed() const {
  return !SurveySince ||
         std::all_of(SeenAt.begin(), SeenAt.end(), [this](const auto &it) {
           return !Ranks.contains(it.first) || it.second > *SurveySince;
         });
}

bool MapSwitch::allRanks(
    const std::function<bool(const RankStatus &)> &test) const {
  return std::all_of(Ranks.begin(), Ranks.end(),
                     [&](const auto &it) { return test(it.second); });
}

void MapSwitch::enter(SwitchPhase phase, TimePoint now) {
  Phase = phase;
  PhaseAt = now;
  Orders.clear();
}

void MapSwitch::enterIdle(TimePoint now) {
  enter(SwitchPhase::Idle, now);
  SurveySince = now;
}

void MapSwitch::advance(TimePoint now) {
  if (!IsLeading)
    return;
  bool isReformed =
      Phase != SwitchPhase::Idle &&
      !allRanks([this](const auto &it) { return it.Formation == Formation; });
  if (isReformed) {
    // All that was prepared, armed or held went with the formation.
    enterIdle(now);
    return;
  }
  Duration age = now - PhaseAt;
  switch (Phase) {
  case SwitchPhase::Idle:
    advanceIdle(now);
    break;
  case SwitchPhase::Preparing:
    if (allRanks([this](const auto &it) { return it.Prepared == Version; })) {
      Orders.clear();
      HoldTries = 0;
      holdNext(now);
    } else if (age > Limits.PrepareTime) {
      enterIdle(now);
    }
    break;
  case SwitchPhase::Holding:
  case SwitchPhase::Arming:
    if (age > Limits.PhaseTime)
      takeBack(now);
    break;
  case SwitchPhase::Freezing:
    if (Orders.empty())
      advanceFrozen(now);
    break;
  case SwitchPhase::Confirming:
    advanceConfirming(now);
    break;
  case SwitchPhase::Releasing:
  case SwitchPhase::Disarming:
    // Orders are sent until they are answered.
    break;
  }
}

/// Looks for what an earlier coordinator left.
void MapSwitch::advanceIdle(TimePoint now) {
  if (!isComplete(now) || !isSurveyed())
    return;
  std::optional<StepNumber> armed;
  std::set<StepNumber> held;
  for (const auto &[rank, status] : Ranks) {
    if (status.Armed)
      armed = armed ? std::min(*armed, status.Armed->Step) : status.Armed->Step;
    if (status.Held)
      held.insert(*status.Held);
  }
  if (!armed && held.empty())
    return;
  Formation = Ranks.begin()->second.Formation;
  BeganAt = now;
  Step = armed ? *armed : *held.begin();
  // A rank holds one step only: others make way for the one that matters.
  held.erase(Step);
  if (!held.empty()) {
    releaseOthers(now);
    return;
  }
  enter(SwitchPhase::Freezing, now);
  orderAll(MapOrderKind::Hold, now);
}

void MapSwitch::releaseOthers(TimePoint now) {
  enter(SwitchPhase::Releasing, now);
  for (const auto &[rank, status] : Ranks)
    if (status.Held && *status.Held != Step)
      order(rank, MapOrderKind::Release, Version, *status.Held, now);
}

/// Every rank holds the step: nothing can change but by this coordinator.
void MapSwitch::advanceFrozen(TimePoint now) {
  if (!isComplete(now) || !isSurveyed())
    return;
  std::optional<ArmedMap> first = Ranks.begin()->second.Armed;
  bool areAlike =
      allRanks([&](const RankStatus &it) { return it.Armed == first; });
  if (areAlike) {
    if (first)
      Version = first->Version;
    release(now);
    return;
  }
  enter(SwitchPhase::Disarming, now);
  for (const auto &[rank, status] : Ranks)
    if (status.Armed)
      order(rank, MapOrderKind::Disarm, status.Armed->Version, Step, now);
}

void MapSwitch::advanceConfirming(TimePoint now) {
  bool isInForce = allRanks(
      [this](const RankStatus &it) { return it.Map == Version && !it.Armed; });
  // A group without requests makes no steps and stays armed.
  bool isWaiting = allRanks([this](const RankStatus &it) {
    return it.Armed == ArmedMap{Version, Step} && !it.Held;
  });
  if (isInForce || (now - PhaseAt > Limits.PhaseTime && !isWaiting))
    enterIdle(now);
}

/// Holds a step that the group is not likely to have begun.
void MapSwitch::holdNext(TimePoint now) {
  if (HoldTries++ >= Limits.MaxHolds) {
    enterIdle(now);
    return;
  }
  StepNumber last;
  for (const auto &[rank, status] : Ranks) {
    double since = std::chrono::duration<double>(now - SeenAt.at(rank)).count();
    auto passed = static_cast<std::uint64_t>(std::ceil(since * StepsPerSecond));
    last = std::max(last, StepNumber(status.Step.get() + passed));
  }
  Step = StepNumber(last.get() + Limits.StepsAhead * HoldTries);
  enter(SwitchPhase::Holding, now);
  order(Ranks.begin()->first, MapOrderKind::Hold, Version, Step, now);
}

void MapSwitch::orderAll(MapOrderKind kind, TimePoint now) {
  for (const auto &[rank, status] : Ranks)
    order(rank, kind, Version, Step, now);
}

void MapSwitch::order(unsigned rank, MapOrderKind kind, MapVersion version,
                      StepNumber step, TimePoint now) {
  MapOrder out;
  out.Kind = kind;
  out.Formation = Formation;
  out.Version = version;
  out.Step = step;
  if (kind == MapOrderKind::Prepare)
    out.Map = Wanted;
  send(rank, std::move(out), 0, now);
}

void MapSwitch::send(unsigned rank, MapOrder order, unsigned tries,
                     TimePoint now) {
  ++LastOrder;
  order.Id = MapOrderId(LastOrder);
  order.Fence = FencingToken((Lease << OrderBits) + LastOrder);
  Orders[rank] = {order, now, tries};
  Out.push_back({rank, tries, std::move(order)});
}

/// All orders of the phase are done.
void MapSwitch::onPhaseDone(TimePoint now) {
  switch (Phase) {
  case SwitchPhase::Holding:
    enter(SwitchPhase::Arming, now);
    orderAll(MapOrderKind::Arm, now);
    break;
  case SwitchPhase::Arming:
  case SwitchPhase::Disarming:
    release(now);
    break;
  case SwitchPhase::Freezing:
    SurveySince = now;
    break;
  case SwitchPhase::Releasing:
    enter(SwitchPhase::Confirming, now);
    break;
  case SwitchPhase::Idle:
  case SwitchPhase::Preparing:
  case SwitchPhase::Confirming:
    break;
  }
}

/// Disarms every rank while the step is held: all have prepared this
/// coordinator's map, so none can be armed for another. The order also makes
/// void what an earlier order to the same rank might still do.
void MapSwitch::takeBack(TimePoint now) {
  enter(SwitchPhase::Disarming, now);
  orderAll(MapOrderKind::Disarm, now);
}

/// A rank that holds nothing refuses, which does no harm.
void MapSwitch::release(TimePoint now) {
  enter(SwitchPhase::Releasing, now);
  orderAll(MapOrderKind::Release, now);
}

SwitchActions MapSwitch::takeActions() { return std::exchange(Out, {}); }
