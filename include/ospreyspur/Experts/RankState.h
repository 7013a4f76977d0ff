//===- RankState.h - an engine's state of map changes -----------*- C++ -*-===//
//
// The engine stores the promises: it outlives its agent, so a restarted agent
// reads from the engine what was promised before. The agent changes this state
// only by orders.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_RANKSTATE_H
#define OSPREYSPUR_EXPERTS_RANKSTATE_H

#include "ospreyspur/Experts/GroupMessages.h"

#include <optional>
#include <vector>

namespace ospreyspur {

/// A promise not to start \c Step before the outcome of \c Attempt is known.
struct ArmedChange {
  ChangeAttempt Attempt;
  MapVersion Version;
  StepNumber Step;
};

/// The state that an engine reports to GroupMember. Groups that the
/// platform forms have RankStatus instead.
struct RankState {
  /// 0 until the engine has joined a generation.
  Generation GroupGeneration;
  /// All members of that generation.
  std::vector<EndpointId> Members;
  /// The next step to run.
  StepNumber Step;
  /// The map in use.
  MapVersion Running;
  /// The map loaded into the spare slots; 0 for none.
  MapVersion Spare;
  std::optional<ArmedChange> Armed;
  /// Whether a committed switch waits for its step.
  bool IsSwitching = false;
  /// Every attempt up to this one is refused permanently, except the armed one
  /// and the last committed one.
  ChangeAttempt RefusedThrough;
  ChangeAttempt LastCommitted;
  /// The highest epoch of any order accepted.
  Epoch HighestEpoch;
  /// In a report: tokens by layer and slot since the previous report.
  std::vector<std::uint32_t> SlotTokens;
};

/// The orders that an agent sends to its engine.
enum class RankOrderKind : std::uint8_t {
  Report,
  Join,
  /// Begin to load the map into the spare slots; complete once State.Spare
  /// shows the map's version.
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

/// An engine's reply: whether the order was executed, and the state afterwards.
struct RankReply {
  bool IsDone = false;
  RankState State;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_RANKSTATE_H
