//===- GroupMessages.h - messages of a group's map changes ------*- C++ -*-===//
//
// The orders and replies with which a group's agents change the expert map.
// Every order carries the coordinator's epoch and the attempt that the order
// belongs to.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_GROUPMESSAGES_H
#define OSPREYSPUR_EXPERTS_GROUPMESSAGES_H

#include "ospreyspur/Support/Ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ospreyspur {

/// The revision of the coordinator's lease record; later holders have higher
/// ones.
using Epoch = StrongType<struct EpochTag, std::uint64_t>;
/// Counts how often a GroupCoordinator re-formed the group; steps are numbered
/// within a generation. Groups that the platform forms have a FormationEpoch
/// instead.
using Generation = StrongType<struct GenerationTag, std::uint64_t>;
/// Numbers the attempts to change the map; set by compare-and-swap, never
/// reused.
using ChangeAttempt = StrongType<struct ChangeAttemptTag, std::uint64_t>;
/// Numbers the group's expert maps.
using MapVersion = StrongType<struct MapVersionTag, std::uint64_t>;
/// Numbers the lock-step group's steps, its engine iterations, within a
/// generation.
using StepNumber = StrongType<struct StepNumberTag, std::uint64_t>;

/// What a GroupOrder asks for.
enum class GroupOrderKind : std::uint8_t {
  /// Join a new generation with the given map.
  Join,
  /// Load the map's weights into spare slots.
  Load,
  /// Promise not to start the step before the attempt's outcome is known.
  Arm,
  /// Report whether the member has armed for the attempt; if not, refuse it
  /// permanently.
  Query,
  /// The attempt is committed: every member had armed.
  Commit,
  /// The attempt is aborted: some member had refused.
  Abort,
  /// Report the member's state.
  Report,
};

/// An order or a query about a group's map.
struct GroupOrder {
  GroupId Group;
  Epoch CoordinatorEpoch;
  Generation GroupGeneration;
  ChangeAttempt Attempt;
  MapVersion Version;
  StepNumber Step;
  GroupOrderKind Kind = GroupOrderKind::Report;
  /// The endpoint to which the reply goes.
  EndpointId Sender;
  /// The encoded map, for Join and Load.
  std::string Map;
  /// All members of the generation, for Join.
  std::vector<EndpointId> Members;
};

/// What a GroupReply says.
enum class GroupReplyKind : std::uint8_t {
  Joined,
  Loaded,
  LoadFailed,
  Armed,
  /// The member has never armed for the attempt and never will.
  Refused,
  /// The attempt is known to be committed.
  Committed,
  /// Only reports the generation, the running version and the step.
  State,
  /// The order's epoch is lower than one seen before.
  Fenced,
};

/// A member's reply to a GroupOrder.
struct GroupReply {
  GroupId Group;
  EndpointId Member;
  Epoch CoordinatorEpoch;
  Generation GroupGeneration;
  ChangeAttempt Attempt;
  MapVersion Version;
  StepNumber Step;
  GroupReplyKind Kind = GroupReplyKind::State;
  /// In a reply to Report: tokens by layer and slot since the last report.
  std::vector<std::uint32_t> SlotTokens;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_GROUPMESSAGES_H
