//===- RankState.h - what a rank's engine knows of map changes --*- C++ -*-===//
//
// The engine is where promises are kept: it outlives its agent, so an agent
// that is started again reads from here what was promised before. The orders
// are the agent's way to change it.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_RANKSTATE_H
#define OSPREYSPUR_EXPERTS_RANKSTATE_H

#include "ospreyspur/Experts/GroupMessages.h"

#include <optional>
#include <vector>

namespace ospreyspur {

/// A promise not to start \c Step before the attempt's outcome is known.
struct ArmedChange {
  ChangeAttempt Attempt;
  MapVersion Version;
  StepNumber Step;
};

/// An engine's report.
struct RankState {
  /// 0 until the engine has joined a generation.
  Generation GroupGeneration;
  /// All members of that generation.
  std::vector<EndpointId> Members;
  /// The next step to run.
  StepNumber Step;
  /// The map in use.
  MapVersion Running;
  /// The map in the spare slots; 0 for none.
  MapVersion Spare;
  std::optional<ArmedChange> Armed;
  /// Whether a committed switch waits for its step.
  bool IsSwitching = false;
  /// Every attempt up to this one, but for the armed and the last committed
  /// one, is refused for good.
  ChangeAttempt RefusedThrough;
  ChangeAttempt LastCommitted;
  /// The highest epoch of any order taken.
  Epoch HighestEpoch;
  /// In a report: tokens by layer and slot since the last report.
  std::vector<std::uint32_t> SlotTokens;
};

/// What an agent asks of its engine.
enum class RankOrderKind : std::uint8_t {
  Report,
  Join,
  /// Begin to load the map into the spare slots; done when State.Spare says.
  Load,
  Arm,
  /// Never arm for the attempt or an earlier one.
  Refuse,
  /// Switch to the armed map at the armed step.
  Commit,
  /// Drop the promise and keep the running map.
  Abort,
};

/// One order to an engine. Unused fields are 0 or empty.
struct RankOrder {
  RankOrderKind Kind = RankOrderKind::Report;
  Epoch CoordinatorEpoch;
  Generation GroupGeneration;
  ChangeAttempt Attempt;
  MapVersion Version;
  StepNumber Step;
  std::string Map;
  std::vector<EndpointId> Members;
};

/// An engine's answer: whether it did what was asked, and its state since.
struct RankReply {
  bool IsDone = false;
  RankState State;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_RANKSTATE_H
