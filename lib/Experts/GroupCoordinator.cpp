//===- GroupCoordinator.cpp - coordinates map changes ---------------------===//
//
// Runs one phase at a time. A phase repeats its order to every member that has
// not replied, until all members have replied or the phase times out.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/GroupCoordinator.h"

#include <algorithm>
#include <utility>

using namespace ospreyspur;
using Phases = CoordinatorPhase;

GroupCoordinator::GroupCoordinator(GroupId group, EndpointId self,
                                   CoordinatorLimits limits)
    : Group(std::move(group)), Self(std::move(self)), Limits(limits),
      Lease(coordinatorKey(Group), Self.get(), limits.Lease) {}

void GroupCoordinator::setMembers(std::vector<EndpointId> members) {
  std::sort(members.begin(), members.end());
  Members = std::move(members);
}

GroupActions GroupCoordinator::onTimer(TimePoint now) {
  if (std::optional<KvCall> call = Lease.nextCall(now)) {
    LeaseCall = KvCallId(++LastCall);
    Out.push_back(CallPlatformForGroup{{LeaseCall, std::move(*call)}});
  }
  bool isHeld = Lease.isHeld(now);
  if (!isHeld && Phase != Phases::Following)
    enter(Phases::Following, now);
  if (isHeld && Phase == Phases::Following && !Members.empty())
    enter(Phases::Reading, now);
  if (Phase == Phases::Following)
    return takeActions();
  if (now >= PhaseEnd)
    onPhaseTimeout(now);
  else if (now >= ResendAt)
    resend(now);
  return takeActions();
}

TimePoint GroupCoordinator::nextTimer() const {
  TimePoint next = Lease.nextTimer();
  if (Phase == Phases::Following)
    return next;
  return std::min({next, PhaseEnd, ResendAt});
}

void GroupCoordinator::enter(CoordinatorPhase phase, TimePoint now) {
  Phase = phase;
  Replies.clear();
  ResendAt = now + Limits.Resend;
  switch (phase) {
  case Phases::Loading:
    PhaseEnd = now + Limits.LoadTimeout;
    break;
  case Phases::Arming:
    PhaseEnd = now + Limits.ArmTimeout;
    break;
  case Phases::Idle:
    PhaseEnd = now + Limits.SurveyInterval;
    ResendAt = PhaseEnd;
    break;
  default:
    PhaseEnd = now + Limits.PhaseTimeout;
    break;
  }
  if (phase != Phases::Idle && phase != Phases::Following)
    resend(now);
}

/// Sends the current phase's order to all members that have not replied.
void GroupCoordinator::resend(TimePoint now) {
  ResendAt = now + Limits.Resend;
  switch (Phase) {
  case Phases::Following:
  case Phases::Idle:
    return;
  case Phases::Reading:
    ResendAt = now + Limits.Lease.CallTimeout;
    callKeyValueStore(KvGet{recordKey(Group)});
    return;
  case Phases::Reforming:
  case Phases::Proposing:
  case Phases::Recording:
    // A write without a reply is repeated with the same expected revision. If
    // the first one succeeded, the repeat fails, and the record is read again.
    ResendAt = now + Limits.Lease.CallTimeout;
    callKeyValueStore(KvPut{
        recordKey(Group), formatRecord(PendingRecord), RecordRevision, {}});
    return;
  case Phases::Surveying:
  case Phases::Committing:
    if (Phase == Phases::Committing)
      sendToPending(GroupOrderKind::Commit);
    sendToPending(GroupOrderKind::Report);
    return;
  case Phases::Joining:
    sendToPending(GroupOrderKind::Join);
    return;
  case Phases::Resolving:
    sendToPending(GroupOrderKind::Query);
    sendToPending(GroupOrderKind::Report);
    return;
  case Phases::Loading:
    sendToPending(GroupOrderKind::Load);
    return;
  case Phases::Arming:
    sendToPending(GroupOrderKind::Arm);
    return;
  }
}

void GroupCoordinator::sendToPending(GroupOrderKind kind) {
  GroupOrder order;
  order.Group = Group;
  order.CoordinatorEpoch = Lease.epoch();
  order.GroupGeneration = Record.GroupGeneration;
  order.Attempt = Attempt;
  order.Kind = kind;
  order.Sender = Self;
  order.Step = ArmStep;
  if (kind == GroupOrderKind::Join) {
    order.Version = Record.Committed.Version;
    order.Map = Record.Committed.Map;
    order.Members = Record.Members;
  } else if (Record.Proposed) {
    order.Version = Record.Proposed->Version;
    if (kind == GroupOrderKind::Load)
      order.Map = Record.Proposed->Map;
  }
  for (const EndpointId &it : Record.Members)
    if (!Replies.contains(it))
      Out.push_back(SendGroupOrder{it, order});
}

GroupActions GroupCoordinator::onReply(const GroupReply &reply, TimePoint now) {
  // Act only while the local clock shows that the lease is valid.
  if (!Lease.isHeld(now) || Phase == Phases::Following)
    return takeActions();
  HighestStep = std::max(HighestStep, reply.Step);
  bool isCurrent = reply.GroupGeneration == Record.GroupGeneration;
  bool needsAll = Phase == Phases::Loading || Phase == Phases::Arming ||
                  Phase == Phases::Resolving || Phase == Phases::Committing;
  if (!isCurrent && needsAll) {
    // An engine restarted and lost its promises of this generation.
    enter(Phases::Surveying, now);
    return takeActions();
  }
  switch (Phase) {
  case Phases::Surveying:
    if (reply.Kind == GroupReplyKind::State ||
        reply.Kind == GroupReplyKind::Armed)
      Replies[reply.Member] = reply;
    if (haveAllReplied())
      onSurveyed(now);
    break;
  case Phases::Joining:
    if (isCurrent && reply.Kind == GroupReplyKind::Joined)
      Replies[reply.Member] = reply;
    if (haveAllReplied())
      enter(Phases::Surveying, now);
    break;
  case Phases::Loading:
    if (!isCurrent || reply.Attempt != Attempt)
      break;
    if (reply.Kind == GroupReplyKind::LoadFailed) {
      // Do not retry the same map repeatedly; the planner may propose it again.
      if (TargetMap == Record.Proposed->Map)
        TargetMap.reset();
      enter(Phases::Idle, now);
    } else if (reply.Kind == GroupReplyKind::Loaded)
      Replies[reply.Member] = reply;
    if (Phase == Phases::Loading && haveAllReplied()) {
      ArmStep = StepNumber(HighestStep.get() + Limits.StepsAhead);
      enter(Phases::Arming, now);
    }
    break;
  case Phases::Arming:
  case Phases::Resolving:
    if (isCurrent && reply.Attempt == Attempt)
      onVote(reply, now);
    break;
  case Phases::Committing:
    if (isCurrent && reply.Version == Record.Proposed->Version)
      Replies[reply.Member] = reply;
    if (haveAllReplied()) {
      GroupRecord next = Record;
      next.Committed = *Record.Proposed;
      next.Proposed.reset();
      writeRecord(std::move(next), Phases::Recording, now);
    }
    break;
  default:
    break;
  }
  return takeActions();
}

/// Handles a member's vote: one refusal aborts the attempt, the arming of all
/// members commits it.
void GroupCoordinator::onVote(const GroupReply &reply, TimePoint now) {
  switch (reply.Kind) {
  case GroupReplyKind::Armed:
    Replies[reply.Member] = reply;
    if (haveAllReplied())
      commit(now);
    return;
  case GroupReplyKind::Committed:
    commit(now);
    return;
  case GroupReplyKind::Refused:
    Replies.clear();
    sendToPending(GroupOrderKind::Abort);
    enter(Phases::Idle, now);
    return;
  default:
    return;
  }
}

void GroupCoordinator::commit(TimePoint now) {
  if (Record.Proposed && Record.Proposed->Version.get() == Attempt.get()) {
    enter(Phases::Committing, now);
    return;
  }
  // The attempt precedes the current record, which does not propose its map.
  // The members carry out the commit, and the next survey shows which map they
  // run.
  Replies.clear();
  sendToPending(GroupOrderKind::Commit);
  enter(Phases::Idle, now);
}

/// Called when all members' states are known: finishes an unfinished attempt,
/// begins a new generation if the members have changed, or proposes the target
/// map.
void GroupCoordinator::onSurveyed(TimePoint now) {
  std::optional<ChangeAttempt> armed;
  bool isProposedRunning = false;
  bool isOtherRunning = false;
  for (const auto &[member, reply] : Replies) {
    if (reply.GroupGeneration != Record.GroupGeneration) {
      beginGeneration(now);
      return;
    }
    if (reply.Kind == GroupReplyKind::Armed)
      armed = std::max(armed.value_or(reply.Attempt), reply.Attempt);
    if (Record.Proposed && reply.Version == Record.Proposed->Version)
      isProposedRunning = true;
    else if (reply.Version != Record.Committed.Version)
      isOtherRunning = true;
  }
  if (armed) {
    Attempt = *armed;
    enter(Phases::Resolving, now);
    return;
  }
  if (isProposedRunning) {
    Attempt = Record.Attempt;
    enter(Phases::Committing, now);
    return;
  }
  enter(Phases::Idle, now);
  if (isOtherRunning && !TargetMap)
    TargetMap = Record.Committed.Map;
  bool isNew = TargetMap && *TargetMap != Record.Committed.Map;
  if (Record.Members != Members)
    beginGeneration(now);
  else if (isNew || isOtherRunning)
    propose(now);
}

void GroupCoordinator::beginGeneration(TimePoint now) {
  GroupRecord next = Record;
  next.GroupGeneration = Generation(Record.GroupGeneration.get() + 1);
  next.Members = Members;
  next.Proposed.reset();
  writeRecord(std::move(next), Phases::Reforming, now);
}

void GroupCoordinator::propose(TimePoint now) {
  GroupRecord next = Record;
  next.Attempt = ChangeAttempt(Record.Attempt.get() + 1);
  // Versions are numbered by attempts; neither number is ever reused.
  next.Proposed = NumberedMap{MapVersion(next.Attempt.get()), *TargetMap};
  writeRecord(std::move(next), Phases::Proposing, now);
}

void GroupCoordinator::onPhaseTimeout(TimePoint now) {
  switch (Phase) {
  case Phases::Idle:
    enter(Phases::Surveying, now);
    return;
  case Phases::Loading:
    enter(Phases::Idle, now);
    return;
  case Phases::Surveying:
  case Phases::Joining:
    // Silent members may have left the group.
    PhaseEnd = now + Limits.PhaseTimeout;
    if (Record.Members != Members)
      beginGeneration(now);
    return;
  case Phases::Resolving:
  case Phases::Committing:
    // An engine may have restarted after its reply: query all members again.
    enter(Phases::Surveying, now);
    return;
  case Phases::Arming:
    // Members that have not armed refuse when queried; members that have armed
    // stay armed.
    enter(Phases::Resolving, now);
    return;
  default:
    PhaseEnd = now + Limits.PhaseTimeout;
    return;
  }
}

void GroupCoordinator::writeRecord(GroupRecord next, CoordinatorPhase phase,
                                   TimePoint now) {
  PendingRecord = std::move(next);
  PendingRecord.Writer = Lease.epoch();
  enter(phase, now);
}

GroupActions GroupCoordinator::onKvReply(KvCallId id, const KvReply &reply,
                                         TimePoint now) {
  if (id == LeaseCall) {
    Lease.onReply(reply, now);
    return onTimer(now);
  }
  if (id != RecordCall || !Lease.isHeld(now))
    return takeActions();
  RecordCall = KvCallId(0);
  if (Phase == Phases::Reading)
    onRecordRead(reply, now);
  else
    onRecordWritten(reply, now);
  return takeActions();
}

void GroupCoordinator::onRecordRead(const KvReply &reply, TimePoint now) {
  if (reply.Code == ResultCode::NotFound) {
    Record = GroupRecord();
    if (TargetMap)
      Record.Committed.Map = *TargetMap;
    RecordRevision = Revision(0);
    beginGeneration(now);
    return;
  }
  if (reply.Code != ResultCode::Ok)
    return; // resend() reads the record again
  Result<GroupRecord> record = parseRecord(reply.Value);
  if (!record)
    return;
  Record = std::move(record.value());
  RecordRevision = reply.At;
  enter(Phases::Surveying, now);
}

void GroupCoordinator::onRecordWritten(const KvReply &reply, TimePoint now) {
  if (reply.Code != ResultCode::Ok) {
    // The record may have been written, or another process may have written it:
    // start again by reading the record.
    enter(Phases::Reading, now);
    return;
  }
  Record = PendingRecord;
  RecordRevision = reply.At;
  switch (Phase) {
  case Phases::Reforming:
    enter(Phases::Joining, now);
    return;
  case Phases::Proposing:
    Attempt = Record.Attempt;
    enter(Phases::Loading, now);
    return;
  default:
    enter(Phases::Idle, now);
    return;
  }
}

bool GroupCoordinator::haveAllReplied() const {
  auto hasReplied = [this](const EndpointId &it) {
    return Replies.contains(it);
  };
  return std::all_of(Record.Members.begin(), Record.Members.end(), hasReplied);
}

void GroupCoordinator::callKeyValueStore(KvCall call) {
  RecordCall = KvCallId(++LastCall);
  Out.push_back(CallPlatformForGroup{{RecordCall, std::move(call)}});
}

GroupActions GroupCoordinator::takeActions() { return std::exchange(Out, {}); }
