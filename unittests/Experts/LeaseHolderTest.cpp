//===- LeaseHolderTest.cpp - a holder acts only while its lease is valid --===//
//
// The holder's own clock ends its right to act, however late the holder learns
// of the loss, and receivers refuse orders of an earlier holder.
//
//===----------------------------------------------------------------------===//

#include "standin/FakeRank.h"

#include "ospreyspur/Experts/GroupMember.h"
#include "ospreyspur/Experts/LeaseHolder.h"
#include "ospreyspur/Experts/StallWatch.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr TimePoint Start{std::chrono::hours(1)};

/// Reads the key as free and acquires it; the holder then has revision 7.
static void acquire(LeaseHolder &holder, TimePoint now) {
  REQUIRE(std::holds_alternative<KvGet>(*holder.nextCall(now)));
  holder.onReply({ResultCode::NotFound, {}, {}}, now);
  REQUIRE(std::holds_alternative<KvPut>(*holder.nextCall(now)));
  holder.onReply({ResultCode::Ok, Revision(7), {}}, now);
}

TEST_CASE("a candidate writes the key only after reading it as free") {
  LeaseHolder holder("k", "a", LeaseLimits());
  REQUIRE(std::holds_alternative<KvGet>(*holder.nextCall(Start)));
  holder.onReply({ResultCode::Ok, Revision(3), "other"}, Start);
  CHECK_FALSE(holder.nextCall(Start).has_value());
  CHECK_FALSE(holder.isHeld(Start));
}

TEST_CASE("a restarted holder takes over its own lease at once") {
  LeaseLimits limits;
  limits.TakesOverOwnLease = true;
  LeaseHolder holder("k", "a", limits);
  REQUIRE(std::holds_alternative<KvGet>(*holder.nextCall(Start)));
  holder.onReply({ResultCode::Ok, Revision(3), "a"}, Start);
  std::optional<KvCall> call = holder.nextCall(Start);
  REQUIRE(call.has_value());
  const auto *put = std::get_if<KvPut>(&*call);
  REQUIRE(put != nullptr);
  CHECK(put->Expected == Revision(3));
}

TEST_CASE("without fenced orders, an earlier incarnation's lease must expire") {
  LeaseHolder holder("k", "a", LeaseLimits());
  REQUIRE(std::holds_alternative<KvGet>(*holder.nextCall(Start)));
  holder.onReply({ResultCode::Ok, Revision(3), "a"}, Start);
  CHECK_FALSE(holder.nextCall(Start).has_value());
}

TEST_CASE("a holder that was paused past the end of its lease does not act") {
  LeaseLimits limits;
  LeaseHolder holder("k", "a", limits);
  acquire(holder, Start);
  CHECK(holder.isHeld(Start));
  CHECK(holder.epoch() == Epoch(7));
  CHECK(holder.isHeld(Start + limits.Span - limits.Margin - Duration(1)));
  CHECK_FALSE(holder.isHeld(Start + limits.Span - limits.Margin));
}

TEST_CASE("a renewal counts from its sending, not from its reply") {
  LeaseLimits limits;
  LeaseHolder holder("k", "a", limits);
  acquire(holder, Start);
  TimePoint sent = Start + limits.RenewEvery;
  REQUIRE(std::holds_alternative<KvRenew>(*holder.nextCall(sent)));
  holder.onReply({ResultCode::Ok, Revision(7), {}}, sent + seconds(1));
  CHECK_FALSE(holder.isHeld(sent + limits.Span - limits.Margin));
  CHECK(holder.isHeld(sent + limits.Span - limits.Margin - Duration(1)));
}

TEST_CASE(
    "after losing its lease, a holder tries to acquire it again at once") {
  LeaseHolder holder("k", "a", LeaseLimits());
  acquire(holder, Start);
  TimePoint late = Start + seconds(60);
  REQUIRE(std::holds_alternative<KvRenew>(
      *holder.nextCall(Start + LeaseLimits().RenewEvery)));
  holder.onReply({ResultCode::NotFound, {}, {}}, late);
  CHECK_FALSE(holder.isHeld(late));
  std::optional<KvCall> call = holder.nextCall(late);
  REQUIRE(call);
  REQUIRE(std::holds_alternative<KvPut>(*call));
  CHECK(std::get<KvPut>(*call).Expected == Revision(0));
  // Another process was faster.
  holder.onReply({ResultCode::PlatformConflict, Revision(9), "b"}, late);
  CHECK_FALSE(holder.isHeld(late));
  CHECK(holder.holder() == "b");
  CHECK(std::holds_alternative<KvGet>(*holder.nextCall(late + seconds(10))));
}

TEST_CASE("the store's confirmation of a lease ends with the lease's span") {
  LeaseLimits limits;
  limits.ActsDuringOutage = true;
  LeaseHolder holder("k", "a", limits);
  acquire(holder, Start);
  TimePoint end = Start + limits.Span - limits.Margin;
  CHECK(holder.isConfirmed(end - Duration(1)));
  CHECK_FALSE(holder.isConfirmed(end));
  CHECK(holder.isHeld(end));
  CHECK(holder.newestHolder() == Revision(7));
}

/// Passes \p order to the member and lets \p rank answer its engine orders.
static GroupReply exchange(GroupMember &member, standin::FakeRank &rank,
                           const GroupOrder &order) {
  GroupReply last;
  GroupActions actions = member.onOrder(order, Start);
  while (!actions.empty()) {
    GroupAction action = actions.front();
    actions.erase(actions.begin());
    if (auto *sent = std::get_if<SendGroupReply>(&action))
      last = sent->Reply;
    if (auto *asked = std::get_if<OrderRank>(&action))
      actions = member.onRankReply(asked->Id, rank.handle(asked->Order), Start);
  }
  return last;
}

TEST_CASE("the agent refuses orders of an earlier epoch") {
  // The engine checks no epoch, so the agent must.
  standin::FakeRank rank(false);
  GroupMember member(GroupId("g"), EndpointId("a"), MemberLimits());
  GroupActions begun = member.start(Start);
  auto &report = std::get<OrderRank>(begun.at(0));
  member.onRankReply(report.Id, rank.handle(report.Order), Start);

  GroupOrder order;
  order.Kind = GroupOrderKind::Join;
  order.CoordinatorEpoch = Epoch(9);
  order.GroupGeneration = Generation(1);
  order.Members = {EndpointId("a")};
  CHECK(exchange(member, rank, order).Kind == GroupReplyKind::Joined);

  order.Kind = GroupOrderKind::Load;
  order.Version = MapVersion(2);
  order.CoordinatorEpoch = Epoch(8);
  CHECK(exchange(member, rank, order).Kind == GroupReplyKind::Fenced);
  CHECK(rank.state().Spare == MapVersion(0));
  order.CoordinatorEpoch = Epoch(9);
  CHECK(exchange(member, rank, order).Kind == GroupReplyKind::Loaded);

  order.Kind = GroupOrderKind::Arm;
  order.Attempt = ChangeAttempt(2);
  order.Step = StepNumber(100);
  order.CoordinatorEpoch = Epoch(8);
  CHECK(exchange(member, rank, order).Kind == GroupReplyKind::Fenced);
  CHECK_FALSE(rank.state().Armed.has_value());
}

TEST_CASE("a process that acquires the lease knows itself as the holder") {
  LeaseHolder holder("k", "a", LeaseLimits());
  REQUIRE(holder.nextCall(Start));
  holder.onReply({ResultCode::Ok, Revision(3), "b"}, Start);
  REQUIRE(holder.holder() == "b");
  TimePoint later = Start + seconds(5);
  REQUIRE(holder.nextCall(later));
  holder.onReply({ResultCode::NotFound, {}, {}}, later);
  REQUIRE(holder.nextCall(later));
  holder.onReply({ResultCode::Ok, Revision(5), {}}, later);
  CHECK(holder.isHeld(later));
  CHECK(holder.holder() == "a");
}

// Guards against reads of the store that grow with the number of ranks.
TEST_CASE("a candidate that hears from the holder rarely reads the lease") {
  LeaseLimits limits;
  limits.RetryEvery = milliseconds(1500);
  limits.MaxReadInterval = seconds(12);
  LeaseHolder candidate("k", "b", limits);
  unsigned reads = 0;
  TimePoint silentAt = Start + seconds(60);
  TimePoint noticed;
  for (TimePoint now = Start; now < Start + seconds(70);
       now += milliseconds(100)) {
    if (candidate.nextCall(now)) {
      candidate.onReply({ResultCode::Ok, Revision(7), "a"}, now);
      reads += now < silentAt ? 1 : 0;
      if (now >= silentAt && noticed == TimePoint())
        noticed = now;
    }
    if (now < silentAt)
      candidate.onHolderReply(now);
  }
  CHECK(reads <= 6);
  CHECK(noticed - silentAt <= limits.RetryEvery);
}

TEST_CASE(
    "a reply of the holder does not stop a candidate that found the lease "
    "free") {
  LeaseLimits limits;
  limits.MaxReadInterval = seconds(12);
  LeaseHolder candidate("k", "b", limits);
  REQUIRE(candidate.nextCall(Start));
  candidate.onReply({ResultCode::NotFound, {}, {}}, Start);
  candidate.onHolderReply(Start);
  std::optional<KvCall> call = candidate.nextCall(Start);
  REQUIRE(call);
  CHECK(std::holds_alternative<KvPut>(*call));
}

TEST_CASE("during an outage a holder acts on only if its orders are fenced") {
  for (bool outlasts : {false, true}) {
    LeaseLimits limits;
    limits.ActsDuringOutage = outlasts;
    LeaseHolder holder("k", "a", limits);
    acquire(holder, Start);
    TimePoint late = Start + seconds(30);
    CHECK(holder.isHeld(late) == outlasts);
    std::optional<KvCall> call = holder.nextCall(late);
    if (!outlasts)
      continue;
    REQUIRE(call);
    REQUIRE(std::holds_alternative<KvRenew>(*call));
    holder.onReply({ResultCode::PlatformRefused, {}, {}}, late);
    CHECK(holder.isHeld(late));
    late += seconds(5);
    REQUIRE(holder.nextCall(late));
    holder.onReply({ResultCode::NotFound, {}, {}}, late);
    CHECK_FALSE(holder.isHeld(late));
  }
}

TEST_CASE("a failed read does not make a candidate forget the holder") {
  LeaseHolder holder("k", "a", LeaseLimits());
  REQUIRE(holder.nextCall(Start));
  holder.onReply({ResultCode::Ok, Revision(3), "other"}, Start);
  CHECK(holder.holder() == "other");
  TimePoint later = Start + seconds(10);
  REQUIRE(holder.nextCall(later));
  holder.onReply({ResultCode::PlatformTimeout, {}, {}}, later);
  CHECK(holder.holder() == "other");
}

TEST_CASE("a lease is taken over only from the holder that was last read") {
  LeaseHolder holder("k", "a", LeaseLimits());
  holder.takeOver(Start);
  REQUIRE(std::holds_alternative<KvGet>(*holder.nextCall(Start)));
  holder.onReply({ResultCode::Ok, Revision(3), "other"}, Start);
  holder.takeOver(Start);
  std::optional<KvCall> call = holder.nextCall(Start);
  REQUIRE(call);
  REQUIRE(std::holds_alternative<KvPut>(*call));
  CHECK(std::get<KvPut>(*call).Expected == Revision(3));
  holder.onReply({ResultCode::PlatformConflict, Revision(9), "third"}, Start);
  CHECK_FALSE(holder.isHeld(Start));
  CHECK(holder.holder() == "third");
}

TEST_CASE("a stalled group with requests is detected, an idle one is not") {
  StallWatch watch;
  RankStatus status;
  status.IsOpen = true;
  status.Running = 3;
  status.Step = StepNumber(5);
  CHECK_FALSE(watch.isStalled(status, Start));
  CHECK(watch.isStalled(status, Start + StallWatch::StallTimeout));
  status.Step = StepNumber(6);
  CHECK_FALSE(watch.isStalled(status, Start + seconds(2)));
  status.Running = 0;
  CHECK_FALSE(watch.isStalled(status, Start + seconds(9)));
}

TEST_CASE(
    "a holder that doubts its lease acts on only if its write is in place") {
  for (std::uint64_t found : {7U, 8U}) {
    LeaseHolder holder("k", "a", LeaseLimits());
    acquire(holder, Start);
    holder.suspend(Start + seconds(1));
    CHECK_FALSE(holder.isHeld(Start + seconds(1)));
    REQUIRE(holder.nextCall(Start + seconds(1)));
    holder.onReply({ResultCode::Ok, Revision(found), "a"}, Start + seconds(1));
    CHECK(holder.isHeld(Start + seconds(1)) == (found == 7));
  }
}

TEST_CASE("a holder that doubts its lease does not take an old read for it") {
  LeaseHolder holder("k", "a", LeaseLimits());
  std::optional<KvCall> first = holder.nextCall(Start);
  REQUIRE(first);
  // A candidate's read may be stale, as its write has a condition.
  CHECK(std::get<KvGet>(*first).MayBeStale);
  holder.onReply({ResultCode::NotFound, {}, {}}, Start);
  REQUIRE(holder.nextCall(Start));
  holder.onReply({ResultCode::Ok, Revision(7), {}}, Start);
  holder.suspend(Start + seconds(1));
  std::optional<KvCall> call = holder.nextCall(Start + seconds(1));
  REQUIRE(call);
  CHECK_FALSE(std::get<KvGet>(*call).MayBeStale);
}

TEST_CASE("a group whose steps are slow is not taken for stalled") {
  StallWatch watch;
  RankStatus status;
  status.Running = 1;
  status.IsOpen = true;
  Duration step = StallWatch::StallTimeout + std::chrono::milliseconds(150);
  TimePoint now = Start;
  unsigned stalls = 0;
  for (unsigned i = 0; i < 100; ++i, now += std::chrono::milliseconds(60)) {
    status.Step = StepNumber((now - Start) / step);
    stalls += watch.isStalled(status, now) ? 1 : 0;
  }
  // Only the first slow step may be taken for a stall, in three checks.
  CHECK(stalls <= 3);
  // A group that stops completely is still detected.
  CHECK(watch.isStalled(status, now + StallWatch::MaxStallTimeout));
}

TEST_CASE(
    "a late reply to an earlier call does not give a holder another's lease") {
  LeaseLimits limits;
  LeaseHolder holder("k", "a", limits);
  // A read that is answered only after the next read has led to a lease.
  REQUIRE(std::holds_alternative<KvGet>(*holder.nextCall(Start)));
  std::uint64_t late = holder.lastCall();
  TimePoint now = Start + limits.RetryEvery + limits.CallTimeout;
  REQUIRE(std::holds_alternative<KvGet>(*holder.nextCall(now)));
  holder.onReply(holder.lastCall(), {ResultCode::NotFound, {}, {}}, now);
  REQUIRE(std::holds_alternative<KvPut>(*holder.nextCall(now)));
  SUBCASE("while the lease is being acquired") {
    holder.onReply(late, {ResultCode::Ok, Revision(9), "other"}, now);
    CHECK_FALSE(holder.isHeld(now));
  }
  SUBCASE("while the lease is being renewed") {
    holder.onReply(holder.lastCall(), {ResultCode::Ok, Revision(7), {}}, now);
    now += limits.RenewEvery;
    REQUIRE(std::holds_alternative<KvRenew>(*holder.nextCall(now)));
    holder.onReply(late, {ResultCode::Ok, Revision(9), "other"}, now);
    CHECK(holder.epoch() == Epoch(7));
  }
}
