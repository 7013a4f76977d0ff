//===- LargeGroupTest.cpp - maps that fill a coordinator's link -----------===//
//
// A coordinator of 32, 96 or 256 ranks behind a narrow link changes maps;
// everything that the coordinator sends, repeated orders included, queues for
// the link. The hosts of members and of the coordinator freeze, and orders are
// lost.
//
//===----------------------------------------------------------------------===//

#include "RandomScheduler.h"
#include "ospreyspur/Experts/MapDelta.h"
#include "ospreyspur/Experts/MapOrderQueue.h"
#include "ospreyspur/Experts/MapSwitch.h"
#include "ospreyspur/Rpc/Codec.h"
#include "standin/FakeRankGroup.h"

#include <doctest/doctest.h>

#include <memory>

using namespace ospreyspur;
using standin::FakeRankGroup;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
/// Sets of layers, and places per rank and set, of the platform's large groups.
constexpr unsigned Sets = 16;
constexpr unsigned Places = 3;
constexpr double LinkBytesPerSecond = 6e6 / 8;
constexpr double MapShare = 0.4;

/// Every set of a rank holds two experts, assigned round-robin. One set of each
/// rank holds a third one, a copy; \p round determines the set and the expert.
GroupPlacement makeMap(unsigned size, unsigned round) {
  GroupPlacement out(size, RankPlacement(Sets));
  for (unsigned rank = 0; rank < size; ++rank)
    for (unsigned set = 0; set < Sets; ++set) {
      for (unsigned i = 0; i + 1 < Places; ++i)
        out[rank][set].push_back(static_cast<ExpertNumber>(i * size + rank));
      if (set == (round + rank) % Sets)
        out[rank][set].push_back(
            static_cast<ExpertNumber>((rank + round) % size));
    }
  return out;
}

/// Faults in addition to the narrow link.
struct Faults {
  /// In percent.
  unsigned LostOrders = 0;
  bool FreezesMembers = false;
  bool FreezesCoordinator = false;
  /// Whether ranks check fencing tokens.
  bool ChecksFences = true;
};

/// A large group and its coordinators on virtual time.
class LargeGroupSimulation {
public:
  LargeGroupSimulation(unsigned size, std::uint64_t seed, Faults faults)
      : Time(seed, 0), Size(size), ActiveFaults(faults),
        Group(size, faults.ChecksFences), FrozenUntil(size) {
    addCoordinator(0);
    at(Duration(0), [this] { step(); });
    for (unsigned rank = 0; rank < Size; ++rank)
      at(Duration(Time.below(180000)), [this, rank] { report(rank); });
    at(Duration(0), [this] { tick(); });
  }

  void run(Duration length) { Time.runUntil(Time.now() + length); }
  /// Ends all faults.
  void endFaults() {
    ActiveFaults = {.ChecksFences = ActiveFaults.ChecksFences};
  }
  /// Once half of the ranks are armed for a change, its coordinator crashes.
  /// Returns how long no step begins then.
  Duration crashWhileArming() {
    while (armedRanks() < Size / 2)
      run(milliseconds(1));
    Current->HasCrashed = true;
    All.clear();
    TimePoint crashed = Time.now();
    addCoordinator((Current->Own + 1) % Size);
    std::uint64_t ordersBefore = Orders;
    std::uint64_t bytesBefore = Bytes;
    while (isHeld() || armedRanks() > 0)
      run(milliseconds(1));
    MESSAGE(Size, " ranks, held for ", toMillis(Time.now() - crashed),
            " ms after a crash, ", Orders - ordersBefore, " orders, ",
            Bytes - bytesBefore, " bytes");
    return Time.now() - crashed;
  }

  FakeRankGroup &group() { return Group; }
  unsigned changes() const { return Changes; }
  /// Time from the start to the first change.
  Duration firstChange() const { return FirstChange; }
  std::uint64_t orders() const { return Orders; }
  std::uint64_t bytes() const { return Bytes; }
  Duration longestQueue() const { return LongestQueue; }

private:
  struct Coordinator {
    Coordinator(unsigned own, bool checksFences)
        : Own(own), Switch(SwitchLimits(), checksFences) {}
    unsigned Own;
    MapSwitch Switch;
    MapOrderQueue Queue{LinkBytesPerSecond * MapShare};
    SentMaps Sent;
    TimePoint LinkFreeAt;
    std::optional<TimePoint> WakeAt;
    bool HasCrashed = false;
  };
  using CoordinatorPtr = std::shared_ptr<Coordinator>;

  void at(Duration after, std::function<void()> what) {
    Time.at(Time.now() + after, std::move(what));
  }

  Duration draw(Duration low, Duration high) {
    return low + Duration(Time.below(std::uint64_t((high - low).count()) + 1));
  }

  void addCoordinator(unsigned own) {
    Current = std::make_shared<Coordinator>(own, ActiveFaults.ChecksFences);
    Current->Switch.lead(++Lease, own, Time.now());
    All.push_back(Current);
  }

  unsigned armedRanks() {
    unsigned out = 0;
    for (unsigned rank = 0; rank < Size; ++rank)
      out += Group.status(rank, Time.now()).Armed ? 1 : 0;
    return out;
  }

  bool isHeld() {
    for (unsigned rank = 0; rank < Size; ++rank)
      if (Group.status(rank, Time.now()).Held)
        return true;
    return false;
  }

  bool isFrozen(unsigned rank) const { return Time.now() < FrozenUntil[rank]; }

  /// Runs \p what once the host of \p rank is not frozen.
  void onHost(unsigned rank, std::function<void()> what) {
    if (!isFrozen(rank)) {
      what();
      return;
    }
    Time.at(FrozenUntil[rank],
            [this, rank, what = std::move(what)] { onHost(rank, what); });
  }

  void step() {
    MapVersion before = Group.map();
    Group.step(Time.now());
    if (Group.map() > before && ++Changes == 1)
      FirstChange = Time.now() - Began;
    at(draw(milliseconds(30), milliseconds(90)), [this] { step(); });
  }

  void report(unsigned rank) {
    if (!isFrozen(rank)) {
      RankStatus status = Group.status(rank, Time.now());
      CoordinatorPtr to = Current;
      at(draw(milliseconds(1), milliseconds(8)), [this, rank, status, to] {
        onHost(to->Own, [this, rank, status, to] {
          act(to, to->Switch.onStatus(rank, status, Time.now(), Time.now()));
        });
      });
    }
    at(milliseconds(120), [this, rank] { report(rank); });
  }

  void tick() {
    for (const CoordinatorPtr &it : All)
      onHost(it->Own, [this, it] {
        act(it, it->Switch.onTimer(Time.now()));
        if (it->Switch.canBegin(Time.now()))
          act(it, it->Switch.begin(makeMap(Size, ++Turn), Time.now()));
      });
    if (ActiveFaults.FreezesMembers && Time.chance(2))
      freeze(unsigned(Time.below(Size)));
    if (ActiveFaults.FreezesCoordinator && Time.below(200) == 0) {
      freeze(Current->Own);
      at(milliseconds(600), [this] {
        addCoordinator((Current->Own + 1) % Size);
        if (All.size() > 3)
          All.erase(All.begin());
      });
    }
    at(milliseconds(20), [this] { tick(); });
  }

  void freeze(unsigned rank) {
    FrozenUntil[rank] = Time.now() + draw(milliseconds(50), seconds(2));
  }

  void act(const CoordinatorPtr &from, const SwitchActions &actions) {
    if (from->HasCrashed)
      return;
    for (const SendMapOrder &it : actions) {
      if (it.Rank != from->Own && MapOrderQueue::mustWait(it.Order)) {
        from->Queue.push(it);
        from->Switch.onQueued(it.Rank, it.Order.Id);
        continue;
      }
      from->Queue.drop(it.Rank);
      transmit(from, it.Rank, it.Order);
    }
    sendMaps(from);
  }

  void sendMaps(const CoordinatorPtr &from) {
    TimePoint now = Time.now();
    while (std::optional<SendMapOrder> next = from->Queue.pop(now)) {
      if (!from->Switch.isPending(next->Rank, next->Order.Id))
        continue;
      from->Switch.onSent(next->Rank, next->Order.Id, now);
      MapOrder order =
          from->Sent.shorten(next->Rank, LinkId(1), next->Order, next->Tries);
      from->Queue.onSent(encodedSize(order), now);
      transmit(from, next->Rank, next->Order, encodedSize(order));
    }
    std::optional<TimePoint> due = from->Queue.nextTimer();
    if (!due || (from->WakeAt && *from->WakeAt <= *due))
      return;
    from->WakeAt = due;
    Time.at(*due, [this, from] {
      from->WakeAt.reset();
      onHost(from->Own, [this, from] { sendMaps(from); });
    });
  }

  void transmit(const CoordinatorPtr &from, unsigned rank,
                const MapOrder &order, std::size_t bytes = 0) {
    constexpr std::size_t SmallOrder = 120;
    bytes = std::max(bytes, SmallOrder);
    ++Orders;
    Bytes += bytes;
    TimePoint now = Time.now();
    from->LinkFreeAt =
        std::max(from->LinkFreeAt, now) +
        std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(double(bytes) / LinkBytesPerSecond));
    LongestQueue = std::max(LongestQueue, from->LinkFreeAt - now);
    if (Time.chance(ActiveFaults.LostOrders))
      return;
    Time.at(from->LinkFreeAt + draw(milliseconds(1), milliseconds(5)),
            [this, from, rank, order] {
              onHost(rank,
                     [this, from, rank, order] { take(from, rank, order); });
            });
  }

  void take(const CoordinatorPtr &from, unsigned rank, const MapOrder &order) {
    MapOrderReply reply{order.Id, Group.take(rank, order, Time.now())};
    at(draw(milliseconds(2), milliseconds(12)), [this, from, rank, reply] {
      onHost(from->Own, [this, from, rank, reply] {
        act(from, from->Switch.onReply(rank, reply, Time.now()));
      });
    });
  }

  test::RandomScheduler Time;
  unsigned Size;
  Faults ActiveFaults;
  FakeRankGroup Group;
  std::vector<TimePoint> FrozenUntil;
  std::uint64_t Lease = 0;
  std::vector<CoordinatorPtr> All;
  CoordinatorPtr Current;
  unsigned Turn = 0;
  unsigned Changes = 0;
  TimePoint Began = Time.now();
  Duration FirstChange{};
  std::uint64_t Orders = 0;
  std::uint64_t Bytes = 0;
  Duration LongestQueue{};
};
} // namespace

TEST_CASE("a large group changes its map repeatedly on a narrow link") {
  for (unsigned size : {32U, 96U, 256U}) {
    INFO("ranks " << size);
    LargeGroupSimulation simulation(size, 1, {});
    simulation.run(seconds(30));
    // With 256 ranks, sending the differences takes 2.4 s of the maps' share of
    // the link.
    CHECK(simulation.changes() >= (size < 256 ? 10 : 5));
    // The first change starts from the map that the group was formed with.
    CHECK(simulation.firstChange() < seconds(5));
    CHECK(simulation.group().mixedSteps() == 0);
    // Steps wait for a few orders at most, not for maps.
    CHECK(simulation.group().heldSteps() <= simulation.changes() * 2);
    // Five orders per change and rank, one more at the coordinator's start, and
    // those of the change under way.
    std::uint64_t wanted = std::uint64_t(size) * 5 * (simulation.changes() + 2);
    CHECK(simulation.orders() <= wanted);
    CHECK(simulation.longestQueue() < milliseconds(200));
  }
}

TEST_CASE("no step of a large group uses two maps while hosts freeze") {
  Faults faults;
  faults.LostOrders = 2;
  faults.FreezesMembers = true;
  faults.FreezesCoordinator = true;
  for (unsigned size : {32U, 96U}) {
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
      INFO("ranks " << size << ", seed " << seed);
      // The first half are the seeds of ranks that check fencing tokens.
      faults.ChecksFences = seed <= 6;
      LargeGroupSimulation simulation(size, seed, faults);
      simulation.run(seconds(40));
      CHECK(simulation.group().mixedSteps() == 0);
      // Once all faults have ended, maps come into force again.
      simulation.endFaults();
      simulation.run(seconds(5));
      unsigned before = simulation.changes();
      simulation.run(seconds(15));
      CHECK(simulation.changes() > before);
      CHECK(simulation.group().mixedSteps() == 0);
    }
  }
}

TEST_CASE("a large group is not held for long after a crash, though its ranks "
          "check no fencing tokens") {
  for (bool checksFences : {true, false})
    for (unsigned size : {24U, 96U}) {
      INFO("ranks " << size << ", checks fences " << checksFences);
      Faults faults;
      faults.ChecksFences = checksFences;
      LargeGroupSimulation simulation(size, 1, faults);
      simulation.run(seconds(10));
      CHECK(simulation.crashWhileArming() < seconds(2));
      simulation.run(seconds(10));
      CHECK(simulation.group().mixedSteps() == 0);
    }
}
