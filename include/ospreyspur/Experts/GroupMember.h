//===- GroupMember.h - an agent's role in map changes -----------*- C++ -*-===//
//
// Guarantees that no two ranks of a group use different maps in one step.
//
// A change is committed if and only if every member has armed for it. An armed
// engine does not start the armed step before the outcome is known. A member
// that is asked about an attempt and has not armed for it refuses the attempt
// permanently, in its engine, before it replies. Whoever asks all members
// therefore always learns the same outcome, without the coordinator or the
// platform.
//
// The member keeps no essential state: the engine stores the promises, and a
// new member begins by reading them.
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

/// Timeouts and limits of a member.
struct MemberLimits {
  /// Time that an engine has to reply to an order. A load only has to begin
  /// within this time.
  Duration RankTimeout = std::chrono::seconds(2);
  /// Time that an armed member waits for the coordinator's outcome before it
  /// queries the other members, and the interval between two such queries.
  Duration QueryDelay = std::chrono::milliseconds(300);
  std::size_t MaxWaiting = 64;
};

/// One agent's part in its group's map changes.
class GroupMember {
public:
  GroupMember(GroupId group, EndpointId self, MemberLimits limits);

  // Commands.

  /// Begins by reading the engine's state.
  GroupActions start(TimePoint now);
  /// Handles an order or a query from another agent.
  GroupActions onOrder(const GroupOrder &order, TimePoint now);
  /// Handles a reply to this member's own query.
  GroupActions onReply(const GroupReply &reply, TimePoint now);
  /// Handles the engine's reply.
  GroupActions onRankReply(RankOrderId id, const RankReply &reply,
                           TimePoint now);
  /// Does what is due at \p now.
  GroupActions onTimer(TimePoint now);

  // Queries.

  std::optional<TimePoint> nextTimer() const;
  /// The engine's state as last received.
  const std::optional<RankState> &state() const { return State; }

private:
  /// An order to the engine that has not been answered yet.
  struct Pending {
    RankOrderId Id;
    RankOrder Order;
    /// The agent's order that caused this one; none for the member's own
    /// orders.
    std::optional<GroupOrder> Cause;
    TimePoint GiveUpAt;
  };

  void process(const GroupOrder &order, TimePoint now);
  void processWaiting(TimePoint now);
  void load(const GroupOrder &order, TimePoint now);
  void arm(const GroupOrder &order, TimePoint now);
  void query(const GroupOrder &order, TimePoint now);
  void join(const GroupOrder &order, TimePoint now);
  void applyOutcome(ChangeAttempt attempt, RankOrderKind outcome,
                    TimePoint now);
  void finish(const GroupOrder &cause, bool isDone, TimePoint now);
  std::optional<GroupReplyKind> knownOutcome(ChangeAttempt attempt) const;
  void queryOthers(TimePoint now);
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
  /// For the armed attempt: the members known to have armed, and when to query
  /// the others.
  ChangeAttempt VotesFor;
  std::set<EndpointId> ArmedVotes;
  std::optional<TimePoint> QueryAt;
  GroupActions Out;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_GROUPMEMBER_H
