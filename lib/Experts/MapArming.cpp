//===- MapArming.cpp - from holding a step to releasing it ----------------===//
//
// The part of MapSwitch that chooses the step of a change, arms or disarms the
// ranks in stages while it is held, and releases it. See MapSwitch.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/MapSwitch.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

using namespace ospreyspur;

/// Holds a step that the group has probably not begun.
void MapSwitch::holdNext(TimePoint now) {
  if (HoldTries++ >= Limits.MaxHolds) {
    enterIdle(now);
    return;
  }
  Step = StepNumber(presentStep(now).get() + stepsAhead() * HoldTries);
  HeldAt = now;
  enter(SwitchPhase::Holding, now);
  // If this host freezes, others must still be able to release the step.
  unsigned holdRank = OwnRank == 0 && Ranks.size() > 1 ? 1 : 0;
  order(holdRank, MapOrderKind::Hold, Version, Step, now);
}

/// The step that the group has probably reached: extrapolated from the latest
/// report of the highest step. The report of a rank that has been silent for
/// long says little about it.
StepNumber MapSwitch::presentStep(TimePoint now) const {
  StepNumber highest;
  TimePoint seen;
  for (const auto &[rank, status] : Ranks) {
    TimePoint at = SeenAt.at(rank);
    if (std::tie(highest, seen) < std::tie(status.Step, at))
      std::tie(highest, seen) = std::tie(status.Step, at);
  }
  double since = std::chrono::duration<double>(now - seen).count();
  auto passed = static_cast<std::uint64_t>(std::lround(since * StepsPerSecond));
  return StepNumber(highest.get() + passed);
}

/// Number of steps ahead at which the group is held. The group will probably
/// not reach that step before every rank is armed, so that the hold normally
/// does not delay it. Where links lose packets, arming may need retransmissions
/// of 0.2 s or more, during which the group would be stalled. A fixed number of
/// steps that covers such retransmissions would delay all other changes.
/// Replies to Prepare orders say little: these orders are large, and the ranks
/// copy experts meanwhile.
std::uint64_t MapSwitch::stepsAhead() const {
  Duration arming = std::min(ArmingTime, Limits.MaxStepDelay);
  double seconds = std::chrono::duration<double>(arming).count();
  return Limits.StepsAhead +
         static_cast<std::uint64_t>(std::ceil(seconds * StepsPerSecond));
}

/// Called when all ranks are armed.
void MapSwitch::recordArming(TimePoint now) {
  ArmingTime = std::max(now - HeldAt, ArmingTime / 2);
}

/// Arms the coordinator's own rank last: a successor then knows that this rank
/// is not armed while any other is not.
void MapSwitch::beginArming(TimePoint now) {
  enter(SwitchPhase::Arming, now);
  std::vector<PlannedOrder> others;
  for (const auto &[rank, status] : Ranks)
    if (rank != OwnRank)
      others.push_back({rank, MapOrderKind::Arm, Version});
  std::vector<PlannedOrder> lastOther;
  if (!others.empty()) {
    lastOther.push_back(others.back());
    others.pop_back();
  }
  Stages = {others, lastOther, {{OwnRank, MapOrderKind::Arm, Version}}};
  beginStage(now);
}

/// Disarms ranks while the step is held; unless \p all is set, only those that
/// report that they are armed. The order also invalidates any earlier order to
/// the same rank. The rank that is armed last is disarmed first.
void MapSwitch::beginDisarming(MapVersion version, bool all, TimePoint now) {
  enter(SwitchPhase::Disarming, now);
  unsigned first = coordinatorOf(version, Ranks.begin()->second.Size);
  std::vector<PlannedOrder> firsts;
  std::vector<PlannedOrder> others;
  for (const auto &[rank, status] : Ranks) {
    if (!all && !status.Armed)
      continue;
    MapVersion armed = status.Armed ? status.Armed->Version : version;
    auto &stage = rank == first ? firsts : others;
    stage.push_back({rank, MapOrderKind::Disarm, all ? version : armed});
  }
  Stages = {firsts, others};
  beginStage(now);
}

/// Sends the orders of the next stage. Returns false if there is none.
bool MapSwitch::beginStage(TimePoint now) {
  while (!Stages.empty()) {
    std::vector<PlannedOrder> stage = std::move(Stages.front());
    Stages.pop_front();
    for (const PlannedOrder &it : stage)
      order(it.Rank, it.Kind, it.Version, Step, now);
    if (!stage.empty())
      return true;
  }
  return false;
}

/// Disarms every rank for Version. All ranks have prepared that map, so none
/// can be armed for another one.
void MapSwitch::rollBack(TimePoint now) {
  // The next attempt must not be as close to the present step.
  ArmingTime = std::max(ArmingTime, now - HeldAt);
  if (ChecksFences)
    beginDisarming(Version, true, now);
  else if (Phase == SwitchPhase::Arming)
    beginInvalidating(now);
  else
    // Nothing was armed; if the step is held, the next reports show it.
    enterIdle(now);
}

/// A rank that holds nothing refuses the order, which is harmless. Where ranks
/// do not check fencing tokens, a late order may have let one hold an earlier
/// step, which is released, too.
void MapSwitch::release(bool isChanging, TimePoint now) {
  IsChanging = isChanging;
  enter(SwitchPhase::Releasing, now);
  for (const auto &[rank, status] : Ranks) {
    bool isEarlier = !ChecksFences && status.Held && *status.Held < Step;
    order(rank, MapOrderKind::Release, Version, isEarlier ? *status.Held : Step,
          now);
  }
}
