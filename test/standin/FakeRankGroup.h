//===- FakeRankGroup.h - fake of a group that steps together ----*- C++ -*-===//
//
// A fake of a group of ranks that the platform forms: handles orders with
// fencing tokens, copies experts, arms maps, holds steps, and steps all ranks
// together. Counts the steps in which ranks used different maps.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_TEST_FAKERANKGROUP_H
#define OSPREYSPUR_TEST_FAKERANKGROUP_H

#include "ospreyspur/Experts/MapOrder.h"
#include "ospreyspur/Support/Time.h"

#include <algorithm>
#include <vector>

namespace standin {

using namespace ospreyspur;

/// All ranks of one group.
class FakeRankGroup {
public:
  /// \p checksFences: whether ranks reject orders with outdated fencing tokens.
  FakeRankGroup(unsigned size, bool checksFences)
      : Ranks(size), ChecksFences(checksFences) {
    for (unsigned i = 0; i < size; ++i) {
      RankStatus &it = Ranks[i].Status;
      it.Group = GroupId("g");
      it.Formation = FormationEpoch(1);
      it.Rank = i;
      it.Size = size;
      it.IsOpen = true;
      it.Placement = {{ExpertNumber(i)}};
    }
  }

  /// Handles \p order at \p rank.
  MapOrderResult take(unsigned rank, const MapOrder &order, TimePoint now) {
    Rank &it = Ranks[rank];
    if (order.Formation != it.Status.Formation)
      return MapOrderResult::Refused;
    if (ChecksFences && order.Fence < it.HighestFence)
      return MapOrderResult::Fenced;
    it.HighestFence = std::max(it.HighestFence, order.Fence);
    return perform(it, order, now) ? MapOrderResult::Done
                                   : MapOrderResult::Refused;
  }

  /// The status report of \p rank.
  RankStatus status(unsigned rank, TimePoint now) {
    finishCopies(now);
    return Ranks[rank].Status;
  }

  /// Begins the next step on all ranks unless a rank holds that step.
  void step(TimePoint now) {
    finishCopies(now);
    StepNumber next(Ranks.front().Status.Step.get() + 1);
    for (const Rank &it : Ranks)
      if (it.Status.Held == next) {
        ++HeldSteps;
        return;
      }
    for (Rank &it : Ranks)
      begin(it, next);
    for (const Rank &it : Ranks)
      if (it.Status.Map != Ranks.front().Status.Map) {
        ++MixedSteps;
        break;
      }
  }

  /// Forms the group anew: prepared, armed and held state is discarded.
  void form() {
    for (Rank &it : Ranks) {
      RankStatus &status = it.Status;
      status.Formation = FormationEpoch(status.Formation.get() + 1);
      status.Map = MapVersion(0);
      status.Prepared.reset();
      status.Armed.reset();
      status.Held.reset();
      it.HighestVersion = MapVersion(0);
      it.CopyEnds.reset();
    }
  }

  /// Steps that began while two ranks had different maps.
  unsigned mixedSteps() const { return MixedSteps; }
  /// How often a step was due but held.
  unsigned heldSteps() const { return HeldSteps; }
  MapVersion map() const { return Ranks.front().Status.Map; }

private:
  struct Rank {
    RankStatus Status;
    FencingToken HighestFence;
    MapVersion HighestVersion;
    /// When copying for HighestVersion finishes.
    std::optional<TimePoint> CopyEnds;
    RankPlacement Copied;
  };

  static constexpr Duration CopyTime = std::chrono::milliseconds(300);

  static void begin(Rank &it, StepNumber next) {
    RankStatus &status = it.Status;
    status.Step = next;
    if (!status.Armed || status.Armed->Step != next)
      return;
    status.Map = status.Armed->Version;
    status.Placement = it.Copied;
    status.Armed.reset();
    status.Prepared.reset();
  }

  void finishCopies(TimePoint now) {
    for (Rank &it : Ranks)
      if (it.CopyEnds && *it.CopyEnds <= now) {
        it.CopyEnds.reset();
        it.Status.Prepared = it.HighestVersion;
      }
  }

  static bool perform(Rank &it, const MapOrder &order, TimePoint now) {
    RankStatus &status = it.Status;
    switch (order.Kind) {
    case MapOrderKind::Prepare:
      if (order.Version <= it.HighestVersion || status.Armed)
        return false;
      it.HighestVersion = order.Version;
      it.Copied = (*order.Map)[status.Rank];
      it.CopyEnds = it.Copied == status.Placement ? now : now + CopyTime;
      status.Prepared.reset();
      return true;
    case MapOrderKind::Arm: {
      ArmedMap wanted{order.Version, order.Step};
      if (status.Armed == wanted)
        return true;
      if (status.Prepared != order.Version || status.Step >= order.Step)
        return false;
      status.Armed = wanted;
      return true;
    }
    case MapOrderKind::Disarm:
      if (!status.Armed || status.Armed->Version != order.Version)
        return false;
      status.Armed.reset();
      return true;
    case MapOrderKind::Hold:
      if (status.Held)
        return status.Held == order.Step;
      if (status.Step >= order.Step)
        return false;
      status.Held = order.Step;
      return true;
    case MapOrderKind::Release:
      if (status.Held != order.Step)
        return false;
      status.Held.reset();
      return true;
    }
    return false;
  }

  std::vector<Rank> Ranks;
  bool ChecksFences;
  unsigned MixedSteps = 0;
  unsigned HeldSteps = 0;
};

} // namespace standin

#endif // OSPREYSPUR_TEST_FAKERANKGROUP_H
