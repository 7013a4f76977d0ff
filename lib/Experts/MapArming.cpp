//===- MapArming.cpp - from holding a step to releasing it ----------------===//
//
// The part of MapSwitch that chooses the step of a change, arms or disarms the
// ranks in stages while it is held, and releases it. See MapSwitch.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/MapSwitch.h"

#include <algorithm>
#include <cmath>
#include <utility>

using namespace ospreyspur;

/// Holds a step that the group has probably not begun.
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
  Step = StepNumber(last.get() + stepsAhead() * HoldTries);
  enter(SwitchPhase::Holding, now);
  // If this host freezes, others must still be able to release the step.
  unsigned holdRank = OwnRank == 0 && Ranks.size() > 1 ? 1 : 0;
  order(holdRank, MapOrderKind::Hold, Version, Step, now);
}

/// Number of steps ahead at which the group is held. The group will probably
/// not reach that step before every rank is armed, so that the hold normally
/// does not delay it. Where links lose packets, a reply may need a
/// retransmission of 0.2 s or more, during which the group would be stalled. A
/// fixed number of steps that covers such retransmissions would delay all other
/// changes.
std::uint64_t MapSwitch::stepsAhead() const {
  Duration ahead = std::min(SlowestReply, Limits.MaxStepDelay);
  double seconds = std::chrono::duration<double>(ahead).count();
  return Limits.StepsAhead +
         static_cast<std::uint64_t>(seconds * StepsPerSecond);
}

void MapSwitch::recordReply(const Pending &order, TimePoint now) {
  SlowestReply = std::max(SlowestReply, now - order.FirstSentAt);
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
void MapSwitch::rollBack(TimePoint now) { beginDisarming(Version, true, now); }

/// A rank that holds nothing refuses the order, which is harmless.
void MapSwitch::release(bool isChanging, TimePoint now) {
  IsChanging = isChanging;
  enter(SwitchPhase::Releasing, now);
  orderAll(MapOrderKind::Release, now);
}
