//===- LateOrderWalkTest.cpp - every moment of a crash and a late order ---===//
//
// Walks all schedules of a small group in which coordinators crash at any
// moment and copies of any earlier orders are executed at any later moment.
// Guards against steps that use two maps, which random runs may miss, whatever
// the kind of the late order and the phase in which its sender crashed.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/MapSwitch.h"
#include "standin/FakeRankGroup.h"

#include <doctest/doctest.h>

#include <deque>
#include <utility>
#include <vector>

using namespace ospreyspur;
using standin::FakeRankGroup;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr unsigned Size = 3;
/// Time between two reports of the ranks.
static constexpr Duration ReportInterval = milliseconds(60);
/// The walk of one schedule ends after this time on virtual time, or once the
/// last coordinator has completed its change.
static constexpr Duration Length = seconds(8);
/// Time without requests, and time for which a rank is deaf.
static constexpr Duration IdleTime = seconds(2);
static constexpr Duration DeafTime = seconds(2);

namespace {
/// What may go wrong in one schedule.
struct Deviations {
  unsigned Crashes = 0;
  /// Number of coordinators that freeze; each may wake at any later moment.
  unsigned Freezes = 0;
  /// Number of late orders that have an effect.
  unsigned LateOrders = 0;
  /// Number of orders or replies that are lost while the coordinator runs.
  unsigned LostMessages = 0;
};

/// A group on which schedules are walked.
struct Variant {
  /// Whether ranks check fencing tokens, and whether coordinators assume so.
  bool ChecksFences = false;
  bool AssumesFences = false;
  /// Whether the group begins a step at each report; otherwise it has no
  /// requests for a while after a coordinator begins to lead.
  bool IsBusy = false;
  /// Whether one rank gets no orders to arm for a while, so that the first
  /// change is rolled back.
  bool IsRankDeaf = false;
};

/// What a walk met.
struct Counts {
  std::uint64_t Schedules = 0;
  std::uint64_t Crashes = 0;
  std::uint64_t Freezes = 0;
  std::uint64_t LateOrders = 0;
  std::uint64_t LostMessages = 0;
  std::uint64_t MixedSteps = 0;
  /// Schedules after which no change comes into force any more.
  std::uint64_t Stuck = 0;
};

/// A group, its coordinators and the messages under way.
class World {
public:
  explicit World(const Variant &variant)
      : Options(variant), Group(Size, variant.ChecksFences) {
    lead();
  }

  /// Performs one event: an order reaches its rank, a reply its coordinator, or
  /// time passes.
  void advance() {
    if (!Orders.empty()) {
      SentOrder it = std::move(Orders.front());
      Orders.pop_front();
      execute(it);
    } else if (!Replies.empty()) {
      SentReply it = Replies.front();
      Replies.pop_front();
      deliver(it);
    } else {
      passTime();
    }
  }

  /// Loses the next message. Returns false if none is under way.
  bool lose() {
    if (!Orders.empty())
      Orders.pop_front();
    else if (!Replies.empty())
      Replies.pop_front();
    else
      return false;
    return true;
  }

  /// Replaces the newest coordinator. Messages to and from it are lost.
  void crash() {
    std::uint64_t ended = Running.back().Lease;
    auto isOfEnded = [ended](const auto &it) { return it.Lease == ended; };
    std::erase_if(Orders, isOfEnded);
    std::erase_if(Replies, isOfEnded);
    Running.pop_back();
    lead();
  }

  /// Freezes the newest coordinator; another one takes over.
  void freeze() {
    Frozen = std::move(Running.back());
    Running.pop_back();
    lead();
  }

  /// Lets the frozen coordinator go on with the replies that it missed. Returns
  /// false if there is none.
  bool wake() {
    if (!Frozen)
      return false;
    Replies.insert(Replies.begin(), Missed.begin(), Missed.end());
    Missed.clear();
    Running.insert(Running.begin(), std::move(*Frozen));
    Frozen.reset();
    return true;
  }

  const std::vector<SendMapOrder> &sent() const { return Sent; }

  /// Executes a copy of an earlier order. Returns false if that has no effect.
  bool executeLate(const SendMapOrder &it) {
    RankStatus before = Group.status(it.Rank, Now);
    Group.take(it.Rank, it.Order, Now);
    RankStatus after = Group.status(it.Rank, Now);
    return before.Armed != after.Armed || before.Held != after.Held ||
           before.Prepared != after.Prepared;
  }

  /// Whether the group would use two maps in a step if it went on now.
  bool isMixed() const {
    constexpr unsigned MostSteps = 40;
    FakeRankGroup copy = Group;
    for (unsigned i = 0; i < MostSteps; ++i)
      copy.step(Now);
    return copy.mixedSteps() > 0;
  }

  /// Whether the newest coordinator has completed a change.
  bool isDone() const {
    const Coordinator &newest = Running.back();
    return hasChanged(newest) && newest.Switch.phase() == SwitchPhase::Idle;
  }
  bool isOver() const { return Now >= End; }

private:
  struct Coordinator {
    MapSwitch Switch;
    std::uint64_t Lease;
  };

  struct SentOrder {
    std::uint64_t Lease;
    SendMapOrder Body;
  };

  struct SentReply {
    std::uint64_t Lease;
    unsigned Rank;
    MapOrderReply Body;
  };

  void lead() {
    ++LastLease;
    Running.push_back(
        {MapSwitch(SwitchLimits(), Options.AssumesFences), LastLease});
    Running.back().Switch.lead(LastLease, unsigned(LastLease % Size), Now);
    LeadsSince = Now;
    End = Now + Length;
  }

  bool hasChanged(const Coordinator &it) const {
    return MapSwitch::leaseOf(FencingToken(Group.map().get())) == it.Lease;
  }

  void execute(const SentOrder &it) {
    unsigned rank = it.Body.Rank;
    const MapOrder &order = it.Body.Order;
    bool isIgnored = Options.IsRankDeaf && Now - Start < DeafTime &&
                     rank == 0 && order.Kind == MapOrderKind::Arm;
    if (isIgnored)
      return;
    MapOrderResult result = Group.take(rank, order, Now);
    Replies.push_back({it.Lease, rank, MapOrderReply{order.Id, result}});
  }

  void deliver(const SentReply &reply) {
    if (Frozen && Frozen->Lease == reply.Lease)
      Missed.push_back(reply);
    for (Coordinator &it : Running)
      if (it.Lease == reply.Lease)
        send(it, it.Switch.onReply(reply.Rank, reply.Body, Now));
  }

  void passTime() {
    Now += ReportInterval;
    if (Options.IsBusy || Now - LeadsSince >= IdleTime)
      Group.step(Now);
    for (Coordinator &it : Running) {
      for (unsigned rank = 0; rank < Size; ++rank)
        send(it, it.Switch.onStatus(rank, Group.status(rank, Now), Now, Now));
      send(it, it.Switch.onTimer(Now));
      if (!hasChanged(it) && it.Switch.canBegin(Now))
        send(it, it.Switch.begin(
                     GroupPlacement(Size, {{ExpertNumber(it.Lease)}}), Now));
    }
  }

  void send(const Coordinator &from, const SwitchActions &actions) {
    for (const SendMapOrder &it : actions) {
      Orders.push_back({from.Lease, it});
      if (it.Tries == 0)
        Sent.push_back(it);
    }
  }

  Variant Options;
  FakeRankGroup Group;
  std::vector<Coordinator> Running;
  std::optional<Coordinator> Frozen;
  /// Replies to the frozen coordinator.
  std::vector<SentReply> Missed;
  std::uint64_t LastLease = 0;
  TimePoint Start{seconds(100)};
  TimePoint Now = Start;
  TimePoint LeadsSince;
  TimePoint End;
  std::deque<SentOrder> Orders;
  std::deque<SentReply> Replies;
  std::vector<SendMapOrder> Sent;
};

/// Walks every schedule with up to a number of deviations.
class Walk {
public:
  Walk(const Variant &variant, Deviations most) { run(World(variant), most); }

  const Counts &counts() const { return Found; }

private:
  void run(World world, Deviations left) {
    while (!world.isDone() && !world.isOver()) {
      if (world.isMixed()) {
        ++Found.MixedSteps;
        return;
      }
      branch(world, left);
      world.advance();
    }
    ++Found.Schedules;
    Found.Stuck += world.isDone() ? 0 : 1;
  }

  /// Walks the schedules that deviate at this moment.
  void branch(const World &world, Deviations left) {
    if (left.Crashes > 0) {
      Deviations then = left;
      --then.Crashes;
      ++Found.Crashes;
      World other = world;
      other.crash();
      run(std::move(other), then);
    }
    if (left.Freezes > 0) {
      Deviations then = left;
      --then.Freezes;
      ++Found.Freezes;
      World other = world;
      other.freeze();
      run(std::move(other), then);
    }
    if (World other = world; other.wake())
      run(std::move(other), left);
    if (left.LostMessages > 0) {
      Deviations then = left;
      --then.LostMessages;
      if (World other = world; other.lose()) {
        ++Found.LostMessages;
        run(std::move(other), then);
      }
    }
    if (left.LateOrders > 0)
      executeLate(world, left);
  }

  void executeLate(const World &world, Deviations left) {
    --left.LateOrders;
    for (const SendMapOrder &it : world.sent()) {
      World other = world;
      if (!other.executeLate(it))
        continue;
      ++Found.LateOrders;
      run(std::move(other), left);
    }
  }

  Counts Found;
};
} // namespace

/// Walks schedules of all variants of a group. The counts show that the walk
/// is not empty.
static Counts walkAll(bool checksFences, bool assumesFences, Deviations most) {
  Counts sum;
  for (bool isBusy : {false, true})
    for (bool isRankDeaf : {false, true}) {
      Walk walk({checksFences, assumesFences, isBusy, isRankDeaf}, most);
      const Counts &it = walk.counts();
      sum.Schedules += it.Schedules;
      sum.Crashes += it.Crashes;
      sum.Freezes += it.Freezes;
      sum.LateOrders += it.LateOrders;
      sum.LostMessages += it.LostMessages;
      sum.MixedSteps += it.MixedSteps;
      sum.Stuck += it.Stuck;
    }
  MESSAGE("schedules: ", sum.Schedules, ", crashes: ", sum.Crashes,
          ", freezes: ", sum.Freezes, ", late orders: ", sum.LateOrders,
          ", lost messages: ", sum.LostMessages,
          ", with two maps: ", sum.MixedSteps, ", stuck: ", sum.Stuck);
  return sum;
}

/// One map in every schedule, and changes go on after it.
static void checkWalk(bool checksFences, Deviations most) {
  Counts counts = walkAll(checksFences, checksFences, most);
  CHECK(counts.Schedules > 100);
  CHECK((counts.Crashes > 0) == (most.Crashes > 0));
  CHECK((counts.Freezes > 0) == (most.Freezes > 0));
  CHECK((counts.LateOrders > 0) == (most.LateOrders > 0));
  CHECK((counts.LostMessages > 0) == (most.LostMessages > 0));
  CHECK(counts.MixedSteps == 0);
  CHECK(counts.Stuck == 0);
}

TEST_CASE("without fencing, a crash and a late order at any moment leave one "
          "map") {
  checkWalk(false, {.Crashes = 1, .LateOrders = 1});
}

TEST_CASE("without fencing, two crashes at any moment leave one map") {
  checkWalk(false, {.Crashes = 2});
}

TEST_CASE("without fencing, two late orders at any moment leave one map") {
  checkWalk(false, {.LateOrders = 2});
}

TEST_CASE("without fencing, a lost message and a late order at any moment "
          "leave one map") {
  checkWalk(false, {.LateOrders = 1, .LostMessages = 1});
}

TEST_CASE("without fencing, a coordinator that freezes and wakes at any moment "
          "leaves one map") {
  checkWalk(false, {.Freezes = 1});
}

TEST_CASE("with fencing, a crash and a lost message at any moment leave one "
          "map") {
  checkWalk(true, {.Crashes = 1, .LostMessages = 1});
}

TEST_CASE(
    "with fencing, a crash and a late order at any moment leave one map") {
  checkWalk(true, {.Crashes = 1, .LateOrders = 1});
}

TEST_CASE("the walk finds late orders on ranks that take them unexpectedly") {
  Counts counts = walkAll(false, true, {.Crashes = 1, .LateOrders = 1});
  CHECK(counts.MixedSteps > 0);
}
