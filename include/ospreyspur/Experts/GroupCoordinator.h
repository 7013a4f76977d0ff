//===- GroupCoordinator.h - leads a group's map changes ---------*- C++ -*-===//
//
// Runs in every agent of a group and acts in the one that holds the lease. It
// forms the group, and takes a new map through propose, load, arm, commit and
// record. It decides nothing that a successor could not find out: the record
// says what was proposed, the members' engines say how far it came.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_GROUPCOORDINATOR_H
#define OSPREYSPUR_EXPERTS_GROUPCOORDINATOR_H

#include "ospreyspur/Experts/GroupActions.h"
#include "ospreyspur/Experts/GroupRecord.h"
#include "ospreyspur/Experts/LeaseHolder.h"

#include <map>
#include <optional>
#include <set>

namespace ospreyspur {

/// Waits of a coordinator.
struct CoordinatorLimits {
  LeaseLimits Lease;
  /// Between two sendings of the same order to members that did not answer.
  Duration Resend = std::chrono::milliseconds(250);
  /// How long members may take to arm before they are asked, which makes those
  /// refuse that have not.
  Duration ArmTimeout = std::chrono::seconds(2);
  Duration LoadTimeout = std::chrono::seconds(120);
  /// How often an idle coordinator looks at its members.
  Duration SurveyEvery = std::chrono::seconds(15);
  /// After this time without an end, a phase looks whether the group changed.
  Duration PhasePatience = std::chrono::seconds(10);
  /// How many steps ahead a switch is armed.
  std::uint64_t StepsAhead = 200;
};

/// Where a coordinator stands.
enum class CoordinatorPhase : std::uint8_t {
  /// Does not hold the lease.
  Following,
  /// Reads the group's record.
  Reading,
  /// Asks members for their states.
  Surveying,
  /// Writes a record that begins a new generation.
  Reforming,
  /// Has members join it.
  Joining,
  /// Finds out and spreads the outcome of an earlier attempt.
  Settling,
  /// Nothing to do.
  Idle,
  /// Writes a record that proposes a map.
  Proposing,
  Loading,
  Arming,
  /// Spreads the commit until every member runs the map.
  Committing,
  /// Writes the committed map into the record.
  Recording,
};

/// Leads a group's map changes while it holds the lease.
class GroupCoordinator {
public:
  GroupCoordinator(GroupId group, EndpointId self, CoordinatorLimits limits);

  // Commands.

  /// The group's present members, from the host list.
  void setMembers(std::vector<EndpointId> members);
  /// The map to bring into force; a later one replaces one not begun.
  void setWanted(std::string map) { Wanted = std::move(map); }
  /// A member's answer.
  GroupActions onReply(const GroupReply &reply, TimePoint now);
  /// The platform's answer.
  GroupActions onKvReply(KvCallId id, const KvReply &reply, TimePoint now);
  /// Does what is due at \p now; call at least when nextTimer() says.
  GroupActions onTimer(TimePoint now);

  // Queries.

  TimePoint nextTimer() const;
  CoordinatorPhase phase() const { return Phase; }
  const GroupRecord &record() const { return Record; }

private:
  void enter(CoordinatorPhase phase, TimePoint now);
  void resend(TimePoint now);
  void onSurveyed(TimePoint now);
  void beginGeneration(TimePoint now);
  void propose(TimePoint now);
  void onVote(const GroupReply &reply, TimePoint now);
  void commit(TimePoint now);
  void writeRecord(GroupRecord next, CoordinatorPhase phase, TimePoint now);
  void onRecordRead(const KvReply &reply, TimePoint now);
  void onRecordWritten(const KvReply &reply, TimePoint now);
  void onPhaseTimeout(TimePoint now);
  void sendToSilent(GroupOrderKind kind);
  void callPlatform(KvCall call);
  bool hasAllAnswered() const;
  GroupActions takeActions();

  GroupId Group;
  EndpointId Self;
  CoordinatorLimits Limits;
  LeaseHolder Lease;
  std::vector<EndpointId> Members;
  std::optional<std::string> Wanted;

  CoordinatorPhase Phase = CoordinatorPhase::Following;
  TimePoint PhaseEnd;
  TimePoint ResendAt;
  GroupRecord Record;
  Revision RecordAt;
  GroupRecord Writing;
  KvCallId LeaseCall;
  KvCallId RecordCall;
  std::uint64_t LastCall = 0;
  /// Answers to the present phase's order.
  std::map<EndpointId, GroupReply> Answers;
  /// The attempt in hand and its step.
  ChangeAttempt Attempt;
  StepNumber ArmStep;
  StepNumber HighestStep;
  GroupActions Out;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_GROUPCOORDINATOR_H
