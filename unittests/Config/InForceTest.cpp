//===- InForceTest.cpp - changes in force in time under troubles ----------===//
//
// Guards against chains of waits that end after the time within which a change
// must be in force. Fleets on the platform's limits run on virtual time; the
// nodes that must have a change are those to which nothing happens. Whatever
// strikes the others, singly or together, they have it in time.
//
//===----------------------------------------------------------------------===//

#include "GossipSimulation.h"

#include "ospreyspur/Control/DirectControl.h"

#include <doctest/doctest.h>

#include <numeric>
#include <set>

using namespace ospreyspur;
using namespace ospreyspur::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The platform's shortest bounds: a change is in force this long after its
/// acknowledgement, and the store counts as stable this long after a trouble.
static constexpr Duration ApplyLimit = seconds(2);
static constexpr Duration ContactLimit = seconds(3);

static constexpr std::size_t MostEntries = 30;
static constexpr Duration Step = milliseconds(10);

namespace {
/// A fleet of entries and the nodes to which something has happened.
class TroubledFleet : public GossipSimulation {
public:
  TroubledFleet(std::uint64_t seed, FleetShape shape)
      : GossipSimulation(seed, shape, 0, 0, makeDirectGossipLimits()) {
    CallTimeout = DirectControl::CallTimeout;
    Scheduler.runUntil(Scheduler.now() + seconds(8) +
                       milliseconds(Scheduler.below(2000)));
    StartedAt = Scheduler.now();
  }

  /// Runs \p event \p delay after now.
  void after(Duration delay, RandomScheduler::Event event) {
    Scheduler.at(Scheduler.now() + delay, std::move(event));
  }
  void crashNode(std::size_t i) {
    Struck.insert(i);
    if (Nodes[i].IncarnationNumber != 0)
      crash(i);
  }
  void restartNode(std::size_t i) {
    if (Nodes[i].IncarnationNumber == 0)
      start(i);
  }
  void freezeNode(std::size_t i, Duration span) {
    Struck.insert(i);
    freeze(i, span);
  }
  void cutNode(std::size_t i, Duration span) {
    Struck.insert(i);
    cutNodeFromPlatform(i, span);
  }
  /// What happened, for messages of failed checks.
  std::string Events;
  void note(const char *event, std::size_t n, Duration span) {
    Events += std::string(event) + " " + std::to_string(n) + " at " +
              std::to_string(toMillis(Scheduler.now() - StartedAt)) +
              " ms for " + std::to_string(toMillis(span)) + " ms; ";
  }
  /// Makes the store lose its replies.
  void troubleStore(Duration span) {
    note("lose replies", 0, span);
    loseReplies(span);
    StoreTroubles.emplace_back(Scheduler.now(), Scheduler.now() + span);
  }
  /// Writes a configuration now.
  void change() {
    ChangedAt = Scheduler.now();
    note("change", 0, {});
    Changed = write(SharedKey::Config, "changed");
  }
  /// When nodes in touch must have the change.
  TimePoint dueAt() const {
    TimePoint due = ChangedAt + ApplyLimit;
    for (const auto &[from, until] : StoreTroubles)
      if (from < due && until > due - ContactLimit)
        due = until + ContactLimit;
    return due;
  }
  /// The number of nodes to which nothing has happened and that do not have the
  /// change.
  std::size_t countLate() const {
    std::size_t n = 0;
    for (std::size_t i = 0; i < Nodes.size(); ++i)
      if (!Struck.contains(i) &&
          Nodes[i].Machine->copy(SharedKey::Config).revision() < Changed)
        ++n;
    return n;
  }
  void checkInForce() {
    // Troubles that follow may put the time off.
    while (Scheduler.now() < dueAt())
      Scheduler.runUntil(std::min(dueAt(), Scheduler.now() + Step));
    CAPTURE(Events);
    CHECK(countLate() == 0);
    CHECK(Violations == 0);
  }

private:
  TimePoint StartedAt;
  TimePoint ChangedAt;
  Revision Changed;
  std::set<std::size_t> Struck;
  std::vector<std::pair<TimePoint, TimePoint>> StoreTroubles;
};
} // namespace

// Guards against watchers that notice late that the reply to their watch was
// lost, as keep-alives do not show it.
TEST_CASE("a change is in force in time although the replies to all watches "
          "are lost") {
  for (std::size_t entries = 1; entries <= MostEntries; ++entries)
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      CAPTURE(entries);
      CAPTURE(seed);
      TroubledFleet fleet(seed, {1, entries, 0});
      // After a change, all watches begin together.
      fleet.write(SharedKey::Config, "before");
      fleet.Scheduler.runUntil(fleet.Scheduler.now() + milliseconds(100));
      // The change is acknowledged, and the watches are not answered.
      fleet.troubleStore(milliseconds(100));
      fleet.change();
      fleet.checkInForce();
    }
}

// Guards against entries that wait for watchers that are gone: nobody replaces
// them while they are listed.
TEST_CASE("a change is in force in time although all watchers are killed or "
          "frozen") {
  for (bool areFrozen : {false, true})
    for (std::size_t entries = 1; entries <= MostEntries; ++entries)
      for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(areFrozen);
        CAPTURE(entries);
        CAPTURE(seed);
        TroubledFleet fleet(seed, {1, entries, 0});
        for (std::size_t it : fleet.findWatchers(0))
          if (areFrozen)
            fleet.freezeNode(it, seconds(8));
          else
            fleet.crashNode(it);
        fleet.Scheduler.runUntil(fleet.Scheduler.now() + milliseconds(50));
        fleet.change();
        fleet.checkInForce();
      }
}
