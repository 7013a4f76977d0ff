//===- GossipTest.cpp - gossip under faults -------------------------------===//
//
// Runs fleets on virtual time. Checks how soon a change is in force on all
// nodes while watchers are dead, links are cut or the key-value store is down,
// and that no copy ever returns to an older revision.
//
//===----------------------------------------------------------------------===//

#include "GossipSimulation.h"

#include "ospreyspur/Control/DirectControl.h"
#include "ospreyspur/Rpc/PeerClient.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using namespace ospreyspur::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Required time until a change is in force on all nodes.
static constexpr Duration InForceLimit = seconds(8);
/// The same on the platform, after all open connections fell silent.
static constexpr Duration SilenceLimit = seconds(3);
static constexpr Duration StartTime = seconds(5);

namespace {
/// A fleet without message loss, after its start phase.
class StartedSimulation : public GossipSimulation {
public:
  explicit StartedSimulation(FleetShape shape)
      : GossipSimulation(1, shape, 0, 0) {
    Scheduler.runUntil(Scheduler.now() + StartTime);
  }

  Duration timeInForce(const std::string &value) {
    return awaitInForce(SharedKey::Config, write(SharedKey::Config, value),
                        2 * InForceLimit);
  }
};
} // namespace

TEST_CASE(
    "a change reaches all nodes at once and only watchers call the store") {
  StartedSimulation simulation({3, 30, 20});
  for (std::size_t d = 0; d < 3; ++d)
    CHECK(simulation.findWatchers(d).size() == 2);
  CHECK(simulation.timeInForce("second") < milliseconds(100));
  std::size_t before = simulation.PlatformCalls;
  simulation.Scheduler.runUntil(simulation.Scheduler.now() + seconds(60));
  // 6 watchers with 2 keys each, and one watch per second and key.
  CHECK(simulation.PlatformCalls - before <= 6 * 2 * 61);
  CHECK(simulation.Violations == 0);
}

TEST_CASE("a change is in force in time although both watchers are dead") {
  StartedSimulation simulation({3, 30, 20});
  for (std::size_t it : simulation.findWatchers(1))
    simulation.kill(it);
  CHECK(simulation.timeInForce("second") <= InForceLimit);
  CHECK(simulation.timeInForce("third") <= InForceLimit);
}

TEST_CASE("nodes read the store themselves if there is no watcher") {
  StartedSimulation simulation({1, 6, 4});
  for (std::size_t it : simulation.findWatchers(0))
    simulation.kill(it);
  CHECK(simulation.timeInForce("second") <= InForceLimit);
}

TEST_CASE("a data centre cut off from the store gets changes from the others") {
  StartedSimulation simulation({3, 30, 20});
  simulation.cutFromPlatform(1, seconds(600));
  CHECK(simulation.timeInForce("second") <= InForceLimit);
}

TEST_CASE("agents whose parents are frozen learn from others") {
  StartedSimulation simulation({1, 30, 20});
  simulation.Scheduler.runUntil(simulation.Scheduler.now() + seconds(10));
  // All but the watchers' first children, so that most parents are silent.
  std::vector<std::size_t> watchers = simulation.findWatchers(0);
  for (std::size_t i = 0; i < 15; ++i)
    if (std::find(watchers.begin(), watchers.end(), i) == watchers.end())
      simulation.kill(i);
  CHECK(simulation.timeInForce("second") <= InForceLimit);
}

TEST_CASE("a node that starts during an outage gets its values from peers") {
  StartedSimulation simulation({2, 6, 4});
  simulation.setOutage(seconds(600));
  std::size_t last = simulation.Nodes.size() - 1;
  simulation.kill(last);
  simulation.start(last);
  CHECK_FALSE(simulation.Nodes[last].Machine->isReady());
  simulation.Scheduler.runUntil(simulation.Scheduler.now() + seconds(3));
  CHECK(simulation.Nodes[last].Machine->isReady());
  CHECK(simulation.Nodes[last].Machine->copy(SharedKey::Config).value() ==
        "first");
}

TEST_CASE("a node is not ready before three peers have replied") {
  GossipNode node({EndpointId(), DataCentreId("d")}, GossipLimits(), 1);
  TimePoint now(std::chrono::hours(1));
  std::vector<EndpointView> peers;
  for (const char *it : {"e1", "e2", "e3", "e4"})
    peers.push_back({EndpointId(it), {}, DataCentreId("d"), "", {}, false});
  node.setPeers(peers);
  for (SharedKey key : SharedKeys)
    node.onPeerReply(EndpointId("e1"),
                     GossipUpdate{key, {Revision(3), Duration(0)}, "v"}, now);
  // A single peer may have an outdated copy.
  for (const char *it : {"e1", "e1", "e2"}) {
    node.onPeerReply(EndpointId(it), GossipDigest(), now);
    CHECK_FALSE(node.isReady());
  }
  node.onPeerReply(EndpointId("e3"), GossipDigest(), now);
  CHECK(node.isReady());
}

TEST_CASE("an older value from a slow read or a stale peer is ignored") {
  GossipNode node({EndpointId("e0"), DataCentreId("d")}, GossipLimits(), 1);
  TimePoint now(std::chrono::hours(1));
  std::vector<KvRequest> calls;
  for (const GossipAction &it : node.onTimer(now))
    if (const auto *call = std::get_if<CallKeyValueStoreForGossip>(&it))
      calls.push_back(call->Request);
  REQUIRE(calls.size() == SharedKeyCount);
  GossipUpdate newer{SharedKey::Config, {Revision(7), Duration(0)}, "seven"};
  node.onMessage(LinkId(1), newer, now);
  CHECK(node.onKvReply(calls[0].Id, {ResultCode::Ok, Revision(6), "six"}, now)
            .empty());
  GossipUpdate older{SharedKey::Config, {Revision(5), Duration(0)}, "five"};
  CHECK(node.onPeerReply(EndpointId("e1"), older, now).empty());
  CHECK(node.copy(SharedKey::Config).value() == "seven");
}

/// Injects a random fault, drawn from the simulation's seed.
static void injectRandomFault(GossipSimulation &simulation) {
  RandomScheduler &random = simulation.Scheduler;
  std::size_t i = random.below(simulation.Nodes.size());
  Duration span = milliseconds(random.below(10000));
  switch (random.below(5)) {
  case 0:
    simulation.kill(i);
    random.at(random.now() + span, [&simulation, i] {
      if (simulation.Nodes[i].IncarnationNumber == 0)
        simulation.start(i);
    });
    return;
  case 1:
    simulation.freeze(i, span);
    return;
  case 2:
    simulation.setOutage(span);
    return;
  case 3:
    simulation.cutFromPlatform(random.below(3), span);
    return;
  default:
    // The host list is outdated or wrong.
    simulation.writeHosts({i, random.below(simulation.Nodes.size())});
  }
}

TEST_CASE(
    "under random faults copies never go back and all end with the last") {
  Duration worst{};
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    GossipSimulation simulation(seed, {3, 4, 2}, 5, 5);
    RandomScheduler &random = simulation.Scheduler;
    for (int i = 0; i < 8; ++i) {
      random.at(random.now() + milliseconds(random.below(20000)),
                [&simulation] { injectRandomFault(simulation); });
      random.at(
          random.now() + milliseconds(random.below(20000)), [&simulation, i] {
            simulation.write(SharedKey::Config, "change " + std::to_string(i));
          });
    }
    random.runUntil(random.now() + seconds(31));
    Revision last = simulation.write(SharedKey::Config, "the last");
    Duration span =
        simulation.awaitInForce(SharedKey::Config, last, 2 * InForceLimit);
    CHECK(span <= InForceLimit);
    CHECK(simulation.Violations == 0);
    worst = std::max(worst, span);
  }
  MESSAGE("longest until in force: ", worst.count() / 1000, " ms");
}

// Guards against reads of the store by every node whose copies are confirmed
// only by way of several others: the deeper the tree, the older they are.
TEST_CASE("on calm days only the watchers of a data centre call the store") {
  constexpr std::size_t DataCentres = 5;
  constexpr Duration Span = seconds(30);
  for (std::size_t nodes : {12U, 42U, 124U}) {
    CAPTURE(nodes);
    GossipLimits limits = makeDirectGossipLimits();
    ospreyspur::test::GossipSimulation fleet(1, {DataCentres, nodes, 0}, 0, 0,
                                             limits);
    fleet.Scheduler.runUntil(fleet.Scheduler.now() + seconds(15));
    std::size_t before = fleet.PlatformCalls;
    fleet.Scheduler.runUntil(fleet.Scheduler.now() + Span);
    constexpr Duration CallEvery = milliseconds(750);
    std::size_t ofWatchers =
        DataCentres * SharedKeyCount * std::size_t(Span / CallEvery);
    CHECK(fleet.PlatformCalls - before <= ofWatchers * 5 / 4);
    MESSAGE(nodes, " nodes a data centre: ", fleet.PlatformCalls - before,
            " calls, ", ofWatchers, " expected");
  }
}

TEST_CASE(
    "records that change in quick succession do not each wake a watcher") {
  KeyFollower follower("k", makeDirectGossipLimits().Follower);
  TimePoint now{std::chrono::hours(1)};
  std::uint64_t revision = 0;
  unsigned calls = 0;
  // A fleet of 200 records starts within ten seconds.
  for (unsigned i = 0; i < 200; ++i, now += milliseconds(50)) {
    if (!follower.nextCall(seconds(1), now))
      continue;
    ++calls;
    follower.onReply({ResultCode::Ok, Revision(++revision), "v"}, now);
  }
  CHECK(calls <= 52);
  // After an idle period the store is called at once, and again at once after
  // the first update.
  now += seconds(2);
  CHECK(follower.nextCall(seconds(1), now));
  now += seconds(2);
  follower.onReply({ResultCode::Ok, Revision(++revision), "v"}, now);
  CHECK_FALSE(follower.delayedUntil());
  CHECK(follower.nextCall(seconds(1), now));
}

// Guards against an entry that starts with an old list, knows no peer that
// replies, and sends requests to endpoints that left long before.
TEST_CASE("a copy that nobody has confirmed is read again soon") {
  constexpr Duration ReadAgainLimit = milliseconds(2500);
  std::vector<EndpointView> peers;
  for (char it = 'a'; it < 'z'; ++it)
    peers.push_back({EndpointId(std::string(1, it)),
                     {},
                     DataCentreId("x"),
                     std::string(1, it),
                     {},
                     false});
  for (const EndpointView &own : peers) {
    CAPTURE(own.Id.get());
    GossipNode node({own.Id, own.DataCentre}, makeDirectGossipLimits(), 1);
    node.setPeers(peers);
    TimePoint begin{std::chrono::hours(1)};
    auto answer = [&](auto &&self, const GossipActions &actions,
                      TimePoint now) -> void {
      for (const GossipAction &it : actions) {
        const auto *call = std::get_if<CallKeyValueStoreForGossip>(&it);
        if (!call)
          continue;
        const auto &watch = std::get<KvWatch>(call->Request.Call);
        bool isFirst = watch.After == Revision(0);
        if (!isFirst && watch.Wait > Duration::zero())
          continue; // Held by the store.
        KvReply reply{isFirst ? ResultCode::Ok : ResultCode::NotFound,
                      Revision(5), "v"};
        reply.MayBeStale = isFirst;
        self(self, node.onKvReply(call->Request.Id, reply, now), now);
      }
    };
    for (TimePoint now = begin; now < begin + ReadAgainLimit;
         now = node.nextTimer())
      answer(answer, node.onTimer(now), now);
    for (SharedKey key : SharedKeys)
      CHECK(node.copy(key).confirmedAt() >= begin);
  }
}

TEST_CASE("a watcher that coalesces updates has a timer for its next call") {
  GossipNode node({EndpointId("a"), DataCentreId("x")},
                  makeDirectGossipLimits(), 1);
  node.setPeers({{EndpointId("a"), {}, DataCentreId("x"), "a", {}, false}});
  TimePoint now{std::chrono::hours(1)};
  std::uint64_t revision = 0;
  // For one second, replies to every call at once with a newer value.
  unsigned calls = 0;
  auto answer = [&](auto &&self, const GossipActions &actions) -> void {
    for (const GossipAction &it : actions)
      if (const auto *call = std::get_if<CallKeyValueStoreForGossip>(&it)) {
        ++calls;
        self(self,
             node.onKvReply(call->Request.Id,
                            {ResultCode::Ok, Revision(++revision), "v"}, now));
      }
  };
  for (TimePoint end = now + seconds(1); now < end;) {
    answer(answer, node.onTimer(now));
    CHECK(node.nextTimer() > now);
    now = node.nextTimer();
  }
  // For each of two keys: two calls without delay, then one every
  // CoalesceDelay, which is five per second.
  CHECK(calls >= 8);
  CHECK(calls <= 16);
}

TEST_CASE("an entry calls the store within a second after an outage") {
  KeyFollower follower("k", makeDirectGossipLimits().Follower);
  TimePoint now{std::chrono::hours(1)};
  // The store refuses calls for ten seconds and then works again.
  TimePoint back = now + std::chrono::seconds(10);
  for (; now < back; now = follower.delayedUntil().value_or(now)) {
    REQUIRE(follower.nextCall(Duration::zero(), now).has_value());
    follower.onReply({ResultCode::PlatformRefused, {}, {}}, now);
  }
  CHECK(now - back <= std::chrono::seconds(1));
}

/// Makes all connections silent several times, each time with a change within a
/// second, and returns the longest time from the silence until the change is in
/// force.
static Duration silenceOften(GossipSimulation &fleet, Duration limit) {
  Duration worst{};
  RandomScheduler &random = fleet.Scheduler;
  random.runUntil(random.now() + seconds(10));
  for (int i = 0; i < 4; ++i) {
    random.runUntil(random.now() + seconds(4) +
                    milliseconds(random.below(3000)));
    TimePoint silentSince = random.now();
    fleet.silence();
    random.runUntil(random.now() + milliseconds(random.below(1000)));
    Revision at = fleet.write(SharedKey::Config, "change " + std::to_string(i));
    fleet.awaitInForce(SharedKey::Config, at, 2 * limit);
    Duration span = random.now() - silentSince;
    CHECK(span <= limit);
    worst = std::max(worst, span);
  }
  CHECK(fleet.Violations == 0);
  return worst;
}

// Guards against changes that come into force late after all open connections,
// to the store and between the nodes, fell silent at the same moment: a lost
// watch that is made again late, subscribers that cannot return to a parent
// whose places are taken by their own silent links.
TEST_CASE("a change is in force in time although all connections are silent") {
  struct Case {
    FleetShape Shape;
    std::uint64_t Seeds;
  };
  for (unsigned latePercent : {0U, 5U})
    for (const Case &it :
         {Case{{3, 1, 0}, 20}, Case{{3, 5, 0}, 20}, Case{{3, 18, 0}, 10},
          Case{{5, 42, 0}, 3}, Case{{6, 62, 0}, 2}}) {
      std::size_t nodes = it.Shape.DataCentres * it.Shape.Agents;
      CAPTURE(nodes);
      CAPTURE(latePercent);
      // With late messages, only the limit for hosts in trouble applies.
      Duration limit = latePercent == 0 ? SilenceLimit : InForceLimit;
      Duration worst{};
      for (std::uint64_t seed = 1; seed <= it.Seeds; ++seed) {
        CAPTURE(seed);
        GossipSimulation fleet(seed, it.Shape, 0, latePercent,
                               makeDirectGossipLimits());
        worst = std::max(worst, silenceOften(fleet, limit));
      }
      MESSAGE("longest until in force: ", toMillis(worst), " ms");
    }
}

TEST_CASE("a watcher makes a lost watch again when its backoff has passed") {
  GossipNode node({EndpointId("a"), DataCentreId("x")},
                  makeDirectGossipLimits(), 1);
  node.setPeers({{EndpointId("a"), {}, DataCentreId("x"), "a", {}, false}});
  TimePoint now{std::chrono::hours(1)};
  auto takeCalls = [](const GossipActions &actions) {
    std::vector<KvRequest> out;
    for (const GossipAction &it : actions)
      if (const auto *call = std::get_if<CallKeyValueStoreForGossip>(&it))
        out.push_back(call->Request);
    return out;
  };
  // Once the node has read both values it is ready, and rounds are rare.
  std::vector<KvRequest> watches;
  for (const KvRequest &it : takeCalls(node.onTimer(now)))
    for (const KvRequest &next : takeCalls(
             node.onKvReply(it.Id, {ResultCode::Ok, Revision(1), "v"}, now)))
      watches.push_back(next);
  REQUIRE(watches.size() == SharedKeyCount);
  REQUIRE(node.isReady());
  now = node.nextTimer();
  node.onTimer(now);
  KvReply lost;
  lost.Code = ResultCode::PlatformTimeout;
  CHECK(takeCalls(node.onKvReply(watches[0].Id, lost, now)).empty());
  TimePoint due = now + makeDirectGossipLimits().Follower.MinBackoff;
  CHECK(node.nextTimer() <= due);
  std::vector<KvRequest> again = takeCalls(node.onTimer(due));
  REQUIRE(again.size() == 1);
  // Whether the store replies again is known soonest if it holds nothing.
  CHECK(std::get<KvWatch>(again[0].Call).Wait == Duration::zero());
  // The next watch follows at once.
  KvReply unchanged;
  unchanged.Code = ResultCode::NotFound;
  again = takeCalls(node.onKvReply(again[0].Id, unchanged, due));
  REQUIRE(again.size() == 1);
  CHECK(std::get<KvWatch>(again[0].Call).Wait > Duration::zero());
}

TEST_CASE("subscribers return to their parent on new links") {
  GossipNode node({EndpointId("a"), DataCentreId("x")}, GossipLimits(), 1);
  TimePoint now{std::chrono::hours(1)};
  GossipDigest digest;
  digest.IsSubscription = true;
  auto isAccepted = [&](std::uint64_t link) {
    GossipActions actions = node.onMessage(LinkId(link), digest, now);
    return std::get<ReplyDigest>(actions.back()).Body.IsSubscription;
  };
  for (std::uint64_t link : {1U, 2U, 3U})
    CHECK(isAccepted(link));
  CHECK_FALSE(isAccepted(4));
  // The old links are silent; nobody has closed them here.
  now += LinkKeepAlive::DetectionTime;
  for (std::uint64_t link : {5U, 6U, 7U})
    CHECK(isAccepted(link));
  CHECK_FALSE(isAccepted(8));
}
