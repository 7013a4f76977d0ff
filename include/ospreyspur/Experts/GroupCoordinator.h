//===- GroupCoordinator.h - coordinates map changes -------------*- C++ -*-===//
//
// Runs in every agent of a group; only the agent that holds the lease acts. The
// coordinator forms the group and takes a new map through propose, load, arm,
// commit and record. A successor can recover every decision: the record
// contains what was proposed, and the members' engines report how far the
// change has progressed.
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

/// Timeouts of a coordinator.
struct CoordinatorLimits {
  LeaseLimits Lease;
  /// Interval between two sends of the same order to members that have not
  /// replied.
  Duration Resend = std::chrono::milliseconds(250);
  /// Time that members have for arming. Afterwards the coordinator sends Query,
  /// which makes every member that is not armed refuse.
  Duration ArmTimeout = std::chrono::seconds(2);
  Duration LoadTimeout = std::chrono::seconds(120);
  /// Interval at which an idle coordinator queries its members.
  Duration SurveyInterval = std::chrono::seconds(15);
  /// After this time without completion, Surveying and Joining check whether
  /// the members of the group have changed, and Resolving and Committing return
  /// to Surveying. The phases that read or write the record continue.
  Duration PhaseTimeout = std::chrono::seconds(10);
  /// Number of steps between the highest reported step and the step of a
  /// switch.
  std::uint64_t StepsAhead = 200;
};

/// Phase of a coordinator.
enum class CoordinatorPhase : std::uint8_t {
  /// Does not hold the lease.
  Following,
  /// Reads the group's record.
  Reading,
  /// Queries the states of the members.
  Surveying,
  /// Writes a record that begins a new generation.
  Reforming,
  /// Lets the members join the new generation.
  Joining,
  /// Determines the outcome of an unfinished attempt, of an earlier coordinator
  /// or of this one, and distributes it.
  Resolving,
  /// Waits for the next survey; a new target map is proposed only after it.
  Idle,
  /// Writes a record that proposes a map.
  Proposing,
  Loading,
  Arming,
  /// Sends the commit until every member runs the map.
  Committing,
  /// Writes the committed map into the record.
  Recording,
};

/// Coordinates a group's map changes while it holds the lease.
class GroupCoordinator {
public:
  GroupCoordinator(GroupId group, EndpointId self, CoordinatorLimits limits);

  // Commands.

  /// Sets the group's current members, from the host list.
  void setMembers(std::vector<EndpointId> members);
  /// Sets the map to bring into force; replaces a map whose change has not
  /// begun.
  void setTargetMap(std::string map) { TargetMap = std::move(map); }
  /// Handles a member's reply.
  GroupActions onReply(const GroupReply &reply, TimePoint now);
  /// Handles the reply of the key-value store.
  GroupActions onKvReply(KvCallId id, const KvReply &reply, TimePoint now);
  /// Does what is due at \p now. Must be called no later than nextTimer().
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
  void sendToPending(GroupOrderKind kind);
  void callKeyValueStore(KvCall call);
  bool haveAllReplied() const;
  GroupActions takeActions();

  GroupId Group;
  EndpointId Self;
  CoordinatorLimits Limits;
  LeaseHolder Lease;
  std::vector<EndpointId> Members;
  std::optional<std::string> TargetMap;

  CoordinatorPhase Phase = CoordinatorPhase::Following;
  TimePoint PhaseEnd;
  TimePoint ResendAt;
  GroupRecord Record;
  Revision RecordRevision;
  GroupRecord PendingRecord;
  KvCallId LeaseCall;
  KvCallId RecordCall;
  std::uint64_t LastCall = 0;
  /// Replies to the order of the current phase.
  std::map<EndpointId, GroupReply> Replies;
  /// The attempt under way and its step.
  ChangeAttempt Attempt;
  StepNumber ArmStep;
  StepNumber HighestStep;
  GroupActions Out;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_GROUPCOORDINATOR_H
