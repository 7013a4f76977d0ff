//===- MapSwitch.cpp - brings a new map into force on a group -------------===//
//
// See MapSwitch.h for the sequence of phases.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/MapSwitch.h"

#include <algorithm>
#include <utility>

using namespace ospreyspur;

void MapSwitch::lead(std::uint64_t lease, unsigned ownRank, TimePoint now) {
  // A coordinator that was refused because of a higher token never leads under
  // that lease again.
  if (Lease == lease && (IsLeading || IsFenced))
    return;
  // Under the same lease, the token numbers continue.
  if (Lease != lease)
    LastOrder = 0;
  OwnRank = ownRank;
  LeadingSince = now;
  IsLeading = true;
  IsFenced = false;
  Lease = lease;
  // The ranks' next statuses show what a predecessor left.
  Phase = SwitchPhase::Idle;
  SurveySince.reset();
  Orders.clear();
  // Reports received under an earlier lease do not show which ranks are
  // reachable now.
  Ranks.clear();
  SeenAt.clear();
  RanksWithToken.clear();
  ArmingTime = Limits.FirstArmingTime;
}

void MapSwitch::resign() {
  IsLeading = false;
  Phase = SwitchPhase::Idle;
  Orders.clear();
}

SwitchActions MapSwitch::onStatus(unsigned rank, const RankStatus &status,
                                  TimePoint seen, TimePoint now) {
  recordStep(status, seen);
  auto before = Ranks.find(rank);
  if (before != Ranks.end() && before->second.Incarnation != status.Incarnation)
    forgetRank(rank, now);
  if (!ChecksFences && IsLeading && isSuperseded(status)) {
    IsFenced = true;
    resign();
    return takeActions();
  }
  RankStatus &known = Ranks[rank];
  bool isSameMap = known.Formation == status.Formation &&
                   known.Map == status.Map && status.Placement.empty();
  RankPlacement placement = isSameMap ? known.Placement : status.Placement;
  known = status;
  known.Placement = std::move(placement);
  SeenAt[rank] = seen;
  std::erase_if(Ranks, [&](const auto &it) { return it.first >= status.Size; });
  advance(now);
  return takeActions();
}

/// Called when the rank has restarted: its orders and reports are no longer
/// valid. A change that counted on the rank is evaluated anew.
void MapSwitch::forgetRank(unsigned rank, TimePoint now) {
  Ranks.erase(rank);
  RanksWithToken.erase(rank);
  if (Phase != SwitchPhase::Idle)
    enterIdle(now);
}

/// Measures the group's step rate. A report of an earlier step is late: a host
/// that was frozen delivers what it had queued. Measured from such a step, the
/// rate was several times too high.
void MapSwitch::recordStep(const RankStatus &status, TimePoint now) {
  if (status.Formation != StepFormation) {
    StepFormation = status.Formation;
    HighestStep = status.Step;
    LastStep = status.Step;
    LastStepAt = now;
    return;
  }
  if (status.Step < HighestStep)
    return;
  HighestStep = status.Step;
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
  bool isInvalidation = Phase == SwitchPhase::Invalidating &&
                        (reply.Result == MapOrderResult::Done ||
                         reply.Result == MapOrderResult::Refused);
  if (isInvalidation) {
    onInvalidationReply(rank, reply.Result, now);
    return takeActions();
  }
  switch (reply.Result) {
  case MapOrderResult::Unanswered:
    // The timer sends the order again.
    return takeActions();
  case MapOrderResult::Fenced:
    IsFenced = true;
    resign();
    return takeActions();
  case MapOrderResult::Done:
    RanksWithToken.insert(rank);
    Orders.erase(it);
    break;
  case MapOrderResult::Refused: {
    // Ranks also raise their token for orders that they refuse.
    RanksWithToken.insert(rank);
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

/// In Preparing, the refusal of a repeated order is ignored: it may only mean
/// that an earlier copy was executed. In Holding and Arming every refusal
/// counts.
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
    rollBack(now);
    break;
  case SwitchPhase::Freezing:
    // The step has begun: the armed map is in force by now.
    enterIdle(now);
    break;
  case SwitchPhase::Idle:
  case SwitchPhase::Claiming:
  case SwitchPhase::Releasing:
  case SwitchPhase::Confirming:
  case SwitchPhase::Disarming:
  case SwitchPhase::Invalidating:
    break;
  }
}

SwitchActions MapSwitch::onTimer(TimePoint now) {
  if (!IsLeading)
    return takeActions();
  std::vector<std::pair<unsigned, Pending>> late;
  for (const auto &[rank, pending] : Orders)
    if (!pending.IsQueued && now - pending.SentAt >= resendAfter())
      late.emplace_back(rank, pending);
  for (const auto &[rank, pending] : late)
    send(rank, pending.Order, pending.Tries + 1, now);
  advance(now);
  return takeActions();
}

std::optional<TimePoint> MapSwitch::nextTimer() const {
  std::optional<TimePoint> next;
  for (const auto &[rank, pending] : Orders) {
    if (pending.IsQueued)
      continue;
    TimePoint due = pending.SentAt + resendAfter();
    next = next ? std::min(*next, due) : due;
  }
  return next;
}

/// Grows with the number of orders without a reply.
Duration MapSwitch::resendAfter() const {
  std::size_t n = Limits.RepeatsPerResend;
  return Limits.Resend * std::max<std::size_t>(1, (Orders.size() + n - 1) / n);
}

bool MapSwitch::isPending(unsigned rank, MapOrderId id) const {
  auto it = Orders.find(rank);
  return it != Orders.end() && it->second.Order.Id == id;
}

void MapSwitch::onQueued(unsigned rank, MapOrderId id) {
  if (isPending(rank, id))
    Orders.at(rank).IsQueued = true;
}

void MapSwitch::onSent(unsigned rank, MapOrderId id, TimePoint now) {
  if (!isPending(rank, id))
    return;
  Pending &it = Orders.at(rank);
  it.IsQueued = false;
  it.SentAt = now;
  // Large maps take long on a narrow link; the ranks' preparation time starts
  // when the last map has been sent.
  if (Phase == SwitchPhase::Preparing)
    PhaseAt = now;
}

SwitchActions MapSwitch::begin(const GroupPlacement &placement, TimePoint now) {
  if (!canBegin(now))
    return takeActions();
  Version = nextVersion();
  PlannedMap = std::make_shared<const GroupPlacement>(placement);
  Formation = Ranks.begin()->second.Formation;
  BeganAt = now;
  enter(SwitchPhase::Preparing, now);
  orderAll(MapOrderKind::Prepare, now);
  return takeActions();
}

/// Returns a version that no other coordinator can have assigned to another
/// map. The order number in the version's low bits, modulo the number of ranks,
/// is the coordinator's own rank.
MapVersion MapSwitch::nextVersion() {
  do {
    ++LastOrder;
  } while (LastOrder % Ranks.size() != OwnRank);
  return MapVersion((Lease << OrderBits) + LastOrder);
}

/// The rank of the coordinator that assigned \p version in a group of \p size
/// ranks.
unsigned MapSwitch::coordinatorOf(MapVersion version, std::size_t size) {
  std::uint64_t order = version.get() & ((1ULL << OrderBits) - 1);
  return static_cast<unsigned>(order % size);
}

bool MapSwitch::canBegin(TimePoint now) const {
  if (!IsLeading || Phase != SwitchPhase::Idle || !isComplete(now) ||
      !isSurveyed())
    return false;
  if (ChecksFences && RanksWithToken.size() < Ranks.size())
    return false;
  MapVersion map = Ranks.begin()->second.Map;
  return allRanks([map](const RankStatus &it) {
    // Agents omit a placement that they have already reported.
    return it.Map == map && !it.Armed && !it.Held && !it.Placement.empty();
  });
}

GroupPlacement MapSwitch::placement() const {
  GroupPlacement out;
  for (const auto &[rank, status] : Ranks)
    out.push_back(status.Placement);
  return out;
}

std::vector<double> MapSwitch::slowdowns() const {
  std::vector<double> out;
  for (const auto &[rank, status] : Ranks)
    out.push_back(status.Slowdown);
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

/// Whether every rank has reported since SurveySince.
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
  Stages.clear();
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
    // Whatever was prepared, armed or held was lost with the formation.
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
    } else if (age > Limits.PrepareTimeout) {
      enterIdle(now);
    }
    break;
  case SwitchPhase::Claiming:
    if (age > Limits.PhaseTimeout)
      enterIdle(now);
    break;
  case SwitchPhase::Holding:
  case SwitchPhase::Arming:
    if (age > Limits.PhaseTimeout)
      rollBack(now);
    break;
  case SwitchPhase::Freezing:
    if (Orders.empty())
      advanceFrozen(now);
    break;
  case SwitchPhase::Confirming:
    advanceConfirming(now);
    break;
  case SwitchPhase::Invalidating:
    advanceInvalidating(now);
    break;
  case SwitchPhase::Releasing:
  case SwitchPhase::Disarming:
    // Orders are repeated until they are answered.
    break;
  }
}

void MapSwitch::advanceConfirming(TimePoint now) {
  bool isInForce = allRanks(
      [this](const RankStatus &it) { return it.Map == Version && !it.Armed; });
  // A group without requests makes no steps and stays armed.
  bool isWaiting = allRanks([this](const RankStatus &it) {
    return it.Armed == ArmedMap{Version, Step} && !it.Held;
  });
  // Statuses that show the new map are newer than all orders of this change, so
  // the next change need not wait for another round of them, about 0.1 s.
  if (isInForce)
    enter(SwitchPhase::Idle, now);
  else if (now - PhaseAt > Limits.PhaseTimeout && !isWaiting)
    enterIdle(now);
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
    out.Map = PlannedMap;
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

/// Called when all orders of the phase have been answered.
void MapSwitch::onPhaseDone(TimePoint now) {
  switch (Phase) {
  case SwitchPhase::Holding:
    beginArming(now);
    break;
  case SwitchPhase::Arming:
    if (!beginStage(now)) {
      recordArming(now);
      release(true, now);
    }
    break;
  case SwitchPhase::Disarming:
    if (!beginStage(now))
      release(false, now);
    break;
  case SwitchPhase::Claiming:
    enterIdle(now);
    break;
  case SwitchPhase::Freezing:
    SurveySince = now;
    break;
  case SwitchPhase::Releasing:
    if (IsChanging)
      enter(SwitchPhase::Confirming, now);
    else
      enterIdle(now);
    break;
  case SwitchPhase::Idle:
  case SwitchPhase::Preparing:
  case SwitchPhase::Confirming:
  case SwitchPhase::Invalidating:
    break;
  }
}

SwitchActions MapSwitch::takeActions() { return std::exchange(Out, {}); }
