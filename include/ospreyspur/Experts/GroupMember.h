//===- GroupMember.h - one agent's part in map changes ----------*- C++ -*-===//
//
// Keeps the promise that no two ranks of a group use different maps in one
// step.
//
// A change is committed if and only if every member armed for it. An armed
// engine does not start the armed step before it knows the outcome. A member
// that is asked about an attempt and has not armed refuses it for good, in its
// engine, before it answers. So whoever asks all members always learns the one
// outcome, and neither the coordinator nor the platform is needed for it.
//
// The member itself remembers nothing that matters: promises are kept by the
// engine, and a new member begins by reading them.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_GROUPMEMBER_H
#define OSPREYSPUR_EXPERTS_GROUPMEMBER_H

#include "ospreyspur/Experts/GroupActions.h"
#include "ospreyspur/Support/Time.h"

#include <deque>
#include <optional>
#include <set>

namespace ospreyspur {

/// Waits of a member.
struct MemberLimits {
  /// How long an engine may take over an order. Loads only begin within it.
  Duration RankTimeout = std::chrono::seconds(2);
  /// How long an armed member waits for the coordinator's word before it asks
  /// the others, and between two rounds of asking.
  Duration AskAfter = std::chrono::milliseconds(300);
  std::size_t MaxWaiting = 64;
};

/// One agent's part in its group's map changes.
class GroupMember {
public:
  GroupMember(GroupId group, EndpointId self, MemberLimits limits);

  // Commands.

  /// Begins by reading the engine's state.
  GroupActions start(TimePoint now);
  /// An order or a question from another agent.
  GroupActions onOrder(const GroupOrder &order, TimePoint now);
  /// An answer to this member's own question.
  GroupActions onReply(const GroupReply &reply, TimePoint now);
  /// The engine's answer.
  GroupActions onRankReply(RankOrderId id, const RankReply &reply,
                           TimePoint now);
  /// Does what is due at \p now.
  GroupActions onTimer(TimePoint now);

  // Queries.

  std::optional<TimePoint> nextTimer() const;
  /// The engine's state as last read.
  const std::optional<RankState> &state() const { return State; }

private:
  /// An order to the engine that has no answer yet.
  struct Pending {
    RankOrderId Id;
    RankOrder Order;
    /// The order that led to it; none for the member's own.
    std::optional<GroupOrder> Cause;
    TimePoint GiveUpAt;
  };

  void process(const GroupOrder &order, TimePoint now);
  void processWaiting(TimePoint now);
  void load(const GroupOrder &order, TimePoint now);
  void arm(const GroupOrder &order, TimePoint now);
  void ask(const GroupOrder &order, TimePoint now);
  void join(const GroupOrder &order, TimePoint now);
  void settle(ChangeAttempt attempt, RankOrderKind outcome, TimePoint now);
  void finish(const GroupOrder &cause, bool isDone, TimePoint now);
  std::optional<GroupReplyKind> knownOutcome(ChangeAttempt attempt) const;
  void askOthers(TimePoint now);
  void sendToOthers(GroupOrderKind kind);
  void watchArmed(TimePoint now);
  void orderRank(RankOrderKind kind, const GroupOrder &cause, bool isReplyDue,
                 TimePoint now);
  void reply(const GroupOrder &to, GroupReplyKind kind);
  GroupActions takeActions();

  GroupId Group;
  EndpointId Self;
  MemberLimits Limits;
  std::optional<RankState> State;
  std::optional<Pending> InFlight;
  std::deque<GroupOrder> Waiting;
  std::uint64_t LastRankOrder = 0;
  /// For the armed attempt: who is known to have armed, and when to ask.
  ChangeAttempt VotesFor;
  std::set<EndpointId> ArmedVotes;
  std::optional<TimePoint> AskAt;
  GroupActions Out;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_GROUPMEMBER_H
