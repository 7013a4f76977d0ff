//===- SwitchSimulation.h - a group and its coordinators --------*- C++ -*-===//
//
// Simulates a group whose maps coordinators change while orders are lost or
// executed seconds late, coordinators freeze at any point and others take over,
// and the platform re-forms the group.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_UNITTESTS_SWITCHSIMULATION_H
#define OSPREYSPUR_UNITTESTS_SWITCHSIMULATION_H

#include "RandomScheduler.h"
#include "ospreyspur/Experts/MapSwitch.h"
#include "standin/FakeRankGroup.h"

#include <array>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace ospreyspur::test {

using standin::FakeRankGroup;

/// The faults to inject.
struct Faults {
  /// In percent.
  unsigned LostOrders = 0;
  unsigned LateOrders = 0;
  unsigned LostReplies = 0;
  /// Percentage of orders that wait for a retransmission on their link,
  /// together with all later messages to the same rank.
  unsigned Retransmitted = 0;
  bool Freezes = false;
  bool Forms = false;
  bool ChecksFences = true;
  /// Whether coordinators take the ranks for ones that check fencing tokens.
  bool AssumesFences = true;
};

/// A group and its coordinators on virtual time.
class SwitchSimulation {
public:
  static constexpr unsigned Size = 4;

  SwitchSimulation(std::uint64_t seed, Faults faults)
      : Time(seed, 0), ActiveFaults(faults), Group(Size, faults.ChecksFences) {
    addCoordinator();
    LastStepAt = Time.now();
    at(Duration(0), [this] { step(); });
    at(Duration(0), [this] { report(); });
    at(Duration(0), [this] { tick(); });
  }

  void run(Duration length) { Time.runUntil(Time.now() + length); }

  FakeRankGroup &group() { return Group; }
  unsigned changes() const { return Changes; }
  /// The longest time without a step.
  Duration longestStall() const { return LongestStall; }
  /// When the coordinator sends its first order of kind \p kind in the next
  /// change, its host freezes for four seconds. Another coordinator takes over
  /// after half a second.
  void freezeSender(MapOrderKind kind) {
    IsNextChange = false;
    IsSenderToFreeze = true;
    FreezeKind = kind;
  }

private:
  struct Coordinator {
    explicit Coordinator(bool assumesFences)
        : Switch(SwitchLimits(), assumesFences) {}

    MapSwitch Switch;
    /// The rank on the coordinator's host, unreachable while the host is
    /// frozen.
    unsigned Own = 0;
    TimePoint FrozenUntil;
    /// Inputs that arrived while the host was frozen.
    std::vector<std::function<void()>> Waiting;
  };

  void at(Duration after, std::function<void()> what) {
    Time.at(Time.now() + after, std::move(what));
  }

  bool chance(unsigned percent) { return Time.chance(percent); }
  Duration draw(Duration low, Duration high) {
    auto span = std::uint64_t((high - low).count());
    return low + Duration(Time.below(span + 1));
  }

  void addCoordinator() {
    auto it = std::make_shared<Coordinator>(ActiveFaults.AssumesFences);
    it->Own = unsigned(Time.below(Size));
    for (unsigned i = 0; i < Size && Time.now() < wakeTime(it->Own); ++i)
      it->Own = (it->Own + 1) % Size;
    it->Switch.lead(++Lease, it->Own, Time.now());
    Coordinators.push_back(it);
  }

  /// When the host of \p rank is reachable again.
  TimePoint wakeTime(unsigned rank) const {
    TimePoint out;
    for (const auto &it : Coordinators)
      if (it->Own == rank)
        out = std::max(out, it->FrozenUntil);
    return out;
  }

  /// Runs \p what at \p it now, or once its host is no longer frozen.
  void deliver(const std::shared_ptr<Coordinator> &it,
               std::function<void()> what) {
    if (Time.now() < it->FrozenUntil) {
      it->Waiting.push_back(std::move(what));
      return;
    }
    for (auto &waiting : std::exchange(it->Waiting, {}))
      waiting();
    what();
  }

  void step() {
    MapVersion before = Group.map();
    unsigned held = Group.heldSteps();
    Group.step(Time.now());
    if (Group.heldSteps() == held) {
      LongestStall = std::max(LongestStall, Time.now() - LastStepAt);
      LastStepAt = Time.now();
    }
    if (Group.map() > before)
      ++Changes;
    at(draw(std::chrono::milliseconds(30), std::chrono::milliseconds(90)),
       [this] { step(); });
  }

  void report() {
    for (const auto &it : Coordinators)
      for (unsigned rank = 0; rank < Size; ++rank) {
        if (Time.now() < wakeTime(rank))
          continue;
        RankStatus status = Group.status(rank, Time.now());
        at(draw(std::chrono::milliseconds(1), std::chrono::milliseconds(5)),
           [this, it, rank, status] {
             deliver(it, [this, it, rank, status] {
               send(it,
                    it->Switch.onStatus(rank, status, Time.now(), Time.now()));
             });
           });
      }
    at(std::chrono::milliseconds(60), [this] { report(); });
  }

  void tick() {
    for (const auto &it : Coordinators)
      deliver(it, [this, it] {
        send(it, it->Switch.onTimer(Time.now()));
        if (it->Switch.canBegin(Time.now()) && chance(30))
          send(it, it->Switch.begin(GroupPlacement(Size, {{1}}), Time.now()));
      });
    if (ActiveFaults.Freezes && chance(1))
      freeze();
    if (ActiveFaults.Forms && Time.below(400) == 0)
      Group.form();
    at(std::chrono::milliseconds(20), [this] { tick(); });
  }

  /// Freezes the latest coordinator; another one takes over meanwhile.
  void freeze() {
    Coordinators.back()->FrozenUntil =
        Time.now() +
        draw(std::chrono::milliseconds(5), std::chrono::seconds(4));
    at(draw(std::chrono::milliseconds(1), std::chrono::seconds(2)),
       [this] { addCoordinator(); });
    if (Coordinators.size() > 3)
      Coordinators.erase(Coordinators.begin());
  }

  void send(const std::shared_ptr<Coordinator> &from,
            const SwitchActions &actions) {
    for (const SendMapOrder &it : actions)
      sendOne(from, it.Rank, it.Order, it.Tries);
  }

  void sendOne(const std::shared_ptr<Coordinator> &from, unsigned rank,
               const MapOrder &order, unsigned tries) {
    if (chance(ActiveFaults.LostOrders))
      return;
    bool isLate = chance(ActiveFaults.LateOrders);
    Duration after =
        isLate
            ? draw(std::chrono::seconds(2), std::chrono::seconds(12))
            : draw(std::chrono::milliseconds(1), std::chrono::milliseconds(8));
    // Holds and every second copy bypass the rank's agent.
    bool isBypass = tries % 2 == 1 || order.Kind == MapOrderKind::Hold;
    if (!isBypass)
      after = std::max(after, waitOnLink(rank));
    IsNextChange = IsNextChange || order.Kind == MapOrderKind::Prepare;
    if (IsSenderToFreeze && IsNextChange && order.Kind == FreezeKind) {
      IsSenderToFreeze = false;
      from->FrozenUntil = Time.now() + std::chrono::seconds(4);
      at(std::chrono::milliseconds(500), [this] { addCoordinator(); });
    }
    at(after,
       [this, from, rank, order, isLate] { take(from, rank, order, isLate); });
  }

  /// How long an order waits on the link to the agent of \p rank.
  Duration waitOnLink(unsigned rank) {
    bool isFree = LinkFreeAt[rank] <= Time.now();
    if (isFree && chance(ActiveFaults.Retransmitted))
      LinkFreeAt[rank] = Time.now() + draw(std::chrono::milliseconds(200),
                                           std::chrono::milliseconds(300));
    return LinkFreeAt[rank] - Time.now();
  }

  /// Called when the order has reached the host of \p rank.
  void take(const std::shared_ptr<Coordinator> &from, unsigned rank,
            const MapOrder &order, bool isLate) {
    TimePoint wake = wakeTime(rank);
    if (Time.now() < wake) {
      Time.at(wake, [this, from, rank, order, isLate] {
        take(from, rank, order, isLate);
      });
      return;
    }
    MapOrderReply reply{order.Id, Group.take(rank, order, Time.now())};
    if (isLate || chance(ActiveFaults.LostReplies))
      return;
    at(draw(std::chrono::milliseconds(1), std::chrono::milliseconds(8)),
       [this, from, rank, reply] {
         deliver(from, [this, from, rank, reply] {
           send(from, from->Switch.onReply(rank, reply, Time.now()));
         });
       });
  }

  test::RandomScheduler Time;
  Faults ActiveFaults;
  FakeRankGroup Group;
  std::uint64_t Lease = 0;
  std::array<TimePoint, Size> LinkFreeAt{};
  std::vector<std::shared_ptr<Coordinator>> Coordinators;
  unsigned Changes = 0;
  bool IsSenderToFreeze = false;
  /// Whether a change has begun since freezeSender().
  bool IsNextChange = false;
  MapOrderKind FreezeKind = MapOrderKind::Arm;
  TimePoint LastStepAt;
  Duration LongestStall{};
};

} // namespace ospreyspur::test

#endif // OSPREYSPUR_UNITTESTS_SWITCHSIMULATION_H
