//===- FakeRank.h - fake of a rank's handling of map changes ----*- C++ -*-===//
//
// Handles an agent's orders as a real engine does. Used by the fake engine and
// by the tests of the group's state machines.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_TEST_FAKERANK_H
#define OSPREYSPUR_TEST_FAKERANK_H

#include "ospreyspur/Experts/RankState.h"

#include <algorithm>
#include <string>

namespace standin {

using namespace ospreyspur;

/// The state of one rank's engine.
class FakeRank {
public:
  /// \p checksFences: whether the engine itself rejects orders with outdated
  /// coordinator epochs.
  explicit FakeRank(bool checksFences) : ChecksFences(checksFences) {}

  const RankState &state() const { return State; }
  const std::string &runningMap() const { return RunningMap; }
  void setCanLoad(bool canLoad) { CanLoad = canLoad; }

  RankReply handle(const RankOrder &order) {
    bool isFenced = ChecksFences && order.CoordinatorEpoch < State.HighestEpoch;
    State.HighestEpoch = std::max(State.HighestEpoch, order.CoordinatorEpoch);
    return {perform(order, isFenced), State};
  }

  /// Whether the next step may start.
  bool mayStart() const {
    return State.GroupGeneration.get() > 0 &&
           !(State.Armed && State.Step >= State.Armed->Step);
  }

  /// Runs the next step. Returns the version of the map that the step uses.
  MapVersion run() {
    if (State.IsSwitching && State.Step >= SwitchStep) {
      State.Running = State.Spare;
      RunningMap = SpareMap;
      State.Spare = MapVersion(0);
      State.IsSwitching = false;
    }
    State.Step = StepNumber(State.Step.get() + 1);
    return State.Running;
  }

private:
  bool perform(const RankOrder &order, bool isFenced) {
    bool isCurrent = order.GroupGeneration == State.GroupGeneration;
    bool isBusy = State.Armed || State.IsSwitching;
    bool isArmedFor = State.Armed && State.Armed->Attempt == order.Attempt;
    switch (order.Kind) {
    case RankOrderKind::Report:
      return true;
    case RankOrderKind::Join:
      if (isFenced || order.GroupGeneration <= State.GroupGeneration)
        return false;
      State.GroupGeneration = order.GroupGeneration;
      State.Members = order.Members;
      State.Step = StepNumber(1);
      State.Running = order.Version;
      RunningMap = order.Map;
      State.Spare = MapVersion(0);
      State.Armed.reset();
      State.IsSwitching = false;
      return true;
    case RankOrderKind::Load:
      if (isFenced || !isCurrent || isBusy || !CanLoad)
        return false;
      State.Spare = order.Version;
      SpareMap = order.Map;
      return true;
    case RankOrderKind::Arm:
      if (isFenced || !isCurrent || isBusy || State.Spare != order.Version ||
          order.Attempt <= State.RefusedThrough || State.Step >= order.Step)
        return false;
      State.Armed = ArmedChange{order.Attempt, order.Version, order.Step};
      return true;
    case RankOrderKind::Refuse:
      if (!isCurrent || isArmedFor || State.LastCommitted == order.Attempt)
        return false;
      close(order.Attempt);
      return true;
    case RankOrderKind::Commit:
      if (!isArmedFor)
        return false;
      State.IsSwitching = true;
      SwitchStep = State.Armed->Step;
      State.LastCommitted = order.Attempt;
      State.Armed.reset();
      close(order.Attempt);
      return true;
    case RankOrderKind::Abort:
      if (!isArmedFor)
        return false;
      State.Armed.reset();
      close(order.Attempt);
      return true;
    }
    return false;
  }

  void close(ChangeAttempt attempt) {
    State.RefusedThrough = std::max(State.RefusedThrough, attempt);
  }

  bool ChecksFences;
  bool CanLoad = true;
  RankState State;
  std::string RunningMap;
  std::string SpareMap;
  StepNumber SwitchStep;
};

} // namespace standin

#endif // OSPREYSPUR_TEST_FAKERANK_H
