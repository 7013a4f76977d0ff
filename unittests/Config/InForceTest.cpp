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

/// Draws who is struck: the watchers and a share of the others.
static std::vector<std::size_t> drawStruck(TroubledFleet &fleet) {
  RandomScheduler &random = fleet.Scheduler;
  std::set<std::size_t> out;
  std::size_t dataCentres = fleet.dataCentreCount();
  if (random.chance(60))
    for (std::size_t d = 0; d < dataCentres; ++d)
      for (std::size_t it : fleet.findWatchers(d))
        out.insert(it);
  auto percent = static_cast<unsigned>(random.below(80));
  for (std::size_t i = 0; i < fleet.Nodes.size(); ++i)
    if (random.chance(percent))
      out.insert(i);
  return {out.begin(), out.end()};
}

/// Lets one to three troubles begin at drawn moments around the change, which
/// is made \p lead from now.
static void drawTroubles(TroubledFleet &fleet, Duration lead) {
  RandomScheduler &random = fleet.Scheduler;
  auto draw = [&random](unsigned ms) { return milliseconds(random.below(ms)); };
  for (std::uint64_t n = 1 + random.below(3); n > 0; --n) {
    Duration at = draw(unsigned(toMillis(lead)) + 2500);
    Duration span = milliseconds(50) + draw(6000);
    std::vector<std::size_t> struck = drawStruck(fleet);
    switch (random.below(4)) {
    case 0:
      fleet.after(lead - milliseconds(1500) + draw(3000),
                  [&fleet, loss = milliseconds(50) + draw(500)] {
                    fleet.troubleStore(loss);
                  });
      break;
    case 1:
      fleet.after(at, [&fleet, struck] {
        fleet.note("kill", struck.size(), seconds(5));
        for (std::size_t it : struck)
          fleet.crashNode(it);
      });
      fleet.after(at + seconds(5), [&fleet, struck] {
        for (std::size_t it : struck)
          fleet.restartNode(it);
      });
      break;
    case 2:
      fleet.after(at, [&fleet, struck, span] {
        fleet.note("freeze", struck.size(), span);
        for (std::size_t it : struck)
          fleet.freezeNode(it, span);
      });
      break;
    default:
      fleet.after(at, [&fleet, struck, span] {
        fleet.note("cut off", struck.size(), span);
        for (std::size_t it : struck)
          fleet.cutNode(it, span);
      });
    }
  }
}

TEST_CASE("a change is in force in time under any two or three troubles") {
  constexpr std::uint64_t Seeds = 600;
  constexpr Duration Lead = seconds(4);
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    std::size_t entries = 1 + seed % MostEntries;
    TroubledFleet fleet(seed, {1 + seed % 3, entries, 0});
    fleet.after(Lead, [&fleet] { fleet.change(); });
    drawTroubles(fleet, Lead);
    fleet.Scheduler.runUntil(fleet.Scheduler.now() + Lead);
    fleet.checkInForce();
  }
}

/// Calls to the store by a fleet in \p span.
static std::size_t countCalls(GossipSimulation &fleet, Duration span) {
  std::size_t before = fleet.PlatformCalls;
  fleet.Scheduler.runUntil(fleet.Scheduler.now() + span);
  return fleet.PlatformCalls - before;
}

// Guards against troubles in which every node calls the store again and again.
TEST_CASE("calls to the store grow with the number of entries only") {
  constexpr Duration Span = seconds(10);
  for (FleetShape shape :
       {FleetShape{5, 11, 0}, FleetShape{5, 42, 0}, FleetShape{6, 62, 0}}) {
    std::size_t nodes = shape.DataCentres * shape.Agents;
    CAPTURE(nodes);
    TroubledFleet calm(1, shape);
    std::size_t calmCalls = countCalls(calm, Span);
    TroubledFleet killed(1, shape);
    for (std::size_t d = 0; d < shape.DataCentres; ++d)
      for (std::size_t it : killed.findWatchers(d))
        killed.crashNode(it);
    std::size_t killedCalls = countCalls(killed, Span);
    TroubledFleet out(1, shape);
    out.setOutage(milliseconds(4500));
    std::size_t outageCalls = countCalls(out, Span);
    MESSAGE(nodes, " entries, calls in 10 s: calm ", calmCalls,
            ", all watchers killed ", killedCalls, ", store out for 4.5 s ",
            outageCalls);
    CHECK(killedCalls <= calmCalls + 4 * SharedKeyCount * nodes);
    CHECK(outageCalls <= calmCalls + 4 * SharedKeyCount * nodes);
  }
}

// Guards against a node that reads the store without a pause while the store
// has no value.
TEST_CASE("a store without a value is read once a round") {
  GossipLimits limits = makeDirectGossipLimits();
  std::vector<EndpointView> peers;
  for (const char *it : {"a", "b", "c", "d", "e"})
    peers.push_back({EndpointId(it), {}, DataCentreId("x"), it, {}, false});
  for (const EndpointView &self : peers) {
    CAPTURE(self.Id.get());
    GossipNode node({self.Id, self.DataCentre}, limits, 1);
    node.setPeers(peers);
    unsigned calls = 0;
    const TimePoint begin{std::chrono::hours(1)};
    const TimePoint end = begin + seconds(2);
    TimePoint now = begin;
    auto answer = [&](auto &&call, const GossipActions &actions) -> void {
      for (const GossipAction &it : actions)
        if (const auto *made = std::get_if<CallKeyValueStoreForGossip>(&it)) {
          ++calls;
          now += milliseconds(5);
          KvReply nothing;
          nothing.Code = ResultCode::NotFound;
          if (now < end)
            call(call, node.onKvReply(made->Request.Id, nothing, now));
        }
    };
    for (; now < end; now = std::max(now, node.nextTimer()))
      answer(answer, node.onTimer(now));
    // Rounds may be a tenth early.
    CHECK(calls <= SharedKeyCount * (2 + Duration(end - begin) * 10 / 9 /
                                             limits.StartInterval));
  }
}

// Guards against a damaged message by which a node takes its copy for confirmed
// and does not read the store any more.
TEST_CASE("no message confirms a copy for a time to come") {
  GossipLimits limits = makeDirectGossipLimits();
  std::vector<EndpointView> peers;
  for (const char *it : {"a", "b", "c", "d", "e"})
    peers.push_back({EndpointId(it), {}, DataCentreId("x"), it, {}, false});
  GossipNode node({EndpointId("c"), DataCentreId("x")}, limits, 1);
  node.setPeers(peers);
  TimePoint now{std::chrono::hours(1)};
  Revision at(7);
  node.onPeerReply(EndpointId("a"), GossipUpdate{SharedKey::Config, {at}, "v"},
                   now);
  GossipDigest digest;
  digest.Copies.fill({at, -std::chrono::hours(1)});
  for (Duration sentAt : {now.time_since_epoch(), Duration::zero(),
                          now.time_since_epoch() + std::chrono::hours(1)}) {
    digest.Echo = DigestEcho{sentAt, std::chrono::hours(1)};
    node.onPeerReply(EndpointId("a"), digest, now);
    CHECK(node.copy(SharedKey::Config).confirmedAt() <= now);
  }
}
