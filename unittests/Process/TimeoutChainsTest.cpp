//===- TimeoutChainsTest.cpp - sums of timeouts against their bounds ------===//
//
// Guards against a timeout, wait or keep-alive that is changed without regard
// to the bound that rests on it. Each case adds up the longest times of one
// chain, from the moment at which all open connections fall silent without a
// reset, or at which the key-value store is back, to the moment at which the
// process knows what it must know. New connections work in each case.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Control/ControlPlane.h"
#include "ospreyspur/Control/DirectControl.h"
#include "ospreyspur/Control/QuarantineSync.h"
#include "ospreyspur/Direct/DirectLimits.h"
#include "ospreyspur/Direct/EndpointTable.h"
#include "ospreyspur/Direct/NodeRegistry.h"
#include "ospreyspur/Experts/MemberConsent.h"
#include "ospreyspur/Experts/StatusFilter.h"
#include "ospreyspur/Http/TcpKeepAlive.h"
#include "ospreyspur/Process/LoadExchange.h"
#include "ospreyspur/Process/RankAgent.h"
#include "ospreyspur/Routing/EntryNode.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Within this time after a trouble has ended, configurations, keys, drains and
/// leaving endpoints are known to entries on the platform; elsewhere within
/// eight seconds.
static constexpr Duration KnownLimit = seconds(3);
static constexpr Duration OwnKnownLimit = seconds(8);
/// A connection and a short exchange on it, processing included.
static constexpr Duration Exchange = milliseconds(100);

/// Longest time until a process knows that a call to the store was lost on a
/// silent connection: one that waits for a reply, or one made afterwards on a
/// connection that was kept.
static constexpr Duration LostCallKnown =
    std::max(TcpKeepAlive::DetectionTime,
             PlatformClient::MaxIdleBeforeWatch + TcpKeepAlive::UnackedTimeout);

/// Longest time until a silent link is closed: one on which nothing is sent, or
/// one on which \p sendEvery something is.
static constexpr Duration lostLinkKnown(Duration sendEvery) {
  return std::min(LinkKeepAlive::DetectionTime,
                  sendEvery + LinkKeepAlive::ReplyTimeout);
}

/// Shortest time on the platform within which a change is in force after its
/// acknowledgement, while nothing happens to the store.
static constexpr Duration ApplyLimit = seconds(2);
static constexpr std::size_t MostEntries = 30;

/// Longest time until a process that does not watch the store has read what
/// changed there, by itself, in a data centre of \p entries processes. No other
/// process has a part in it: any of them may be killed, frozen or cut off.
static Duration ownReadAfter(const GossipLimits &limits, std::size_t entries) {
  std::vector<EndpointView> peers;
  for (std::size_t i = 0; i < entries; ++i)
    peers.push_back({EndpointId("e" + std::to_string(i)),
                     {},
                     DataCentreId("d"),
                     "",
                     {},
                     false});
  Duration longest{};
  for (const EndpointView &it : peers) {
    GossipNode node({it.Id, it.DataCentre}, limits, 1);
    node.setPeers(peers);
    if (!node.isWatcher())
      longest = std::max(longest, node.maxAge());
  }
  // The values are read one after the other.
  return longest + SharedKeyCount * Exchange;
}

/// Longest time after replies were lost, on connections that are otherwise
/// sound, until a watcher has what they said.
static Duration watchedAgainAfter(const GossipLimits &limits,
                                  Duration callTimeout) {
  Duration ofWatch = limits.WatchWait + PlatformClient::WatchReplyTimeout +
                     limits.Follower.MinBackoff;
  Duration ofRetry = callTimeout + limits.Follower.MaxBackoff;
  return std::max(ofWatch, ofRetry) + Exchange;
}

/// The same for a process that does not watch the store.
static Duration readAgainAfter(const GossipLimits &limits,
                               Duration callTimeout) {
  return callTimeout + limits.MaxReadRetryDelay + SharedKeyCount * Exchange;
}

/// Longest time until a watcher of the store has what changed.
static Duration changeRead(const GossipLimits &limits) {
  return LostCallKnown + limits.Follower.MinBackoff + Exchange;
}

TEST_CASE(
    "configurations, keys, drains and the endpoint list are known in time "
    "after silence") {
  // A node that does not watch the store receives them from its parent, on a
  // link that it has opened again meanwhile, and so on down the tree.
  constexpr int Levels = 4;
  CHECK(std::max(changeRead(makeDirectGossipLimits()),
                 LinkKeepAlive::DetectionTime + Exchange) +
            Levels * milliseconds(20) <=
        KnownLimit);
  CHECK(std::max(changeRead(GossipLimits()),
                 LinkKeepAlive::DetectionTime + Exchange) +
            Levels * milliseconds(20) <=
        OwnKnownLimit);
}

TEST_CASE("they are known in time whoever is killed, frozen or cut off, in a "
          "data centre of any size") {
  for (std::size_t entries = 1; entries <= MostEntries; ++entries) {
    CAPTURE(entries);
    CHECK(ownReadAfter(makeDirectGossipLimits(), entries) <= ApplyLimit);
    CHECK(ownReadAfter(GossipLimits(), entries) <= OwnKnownLimit);
  }
}

TEST_CASE("they are known in time after replies were lost on sound "
          "connections") {
  // Each process has a chain of its own, so that this holds as well if others
  // are killed, frozen or cut off meanwhile.
  Duration direct = DirectControl::CallTimeout;
  CHECK(watchedAgainAfter(makeDirectGossipLimits(), direct) <= KnownLimit);
  CHECK(readAgainAfter(makeDirectGossipLimits(), direct) <= KnownLimit);
  Duration own = ControlPlane::CallTimeout;
  CHECK(watchedAgainAfter(GossipLimits(), own) <= OwnKnownLimit);
  CHECK(readAgainAfter(GossipLimits(), own) <= OwnKnownLimit);
}

TEST_CASE("a confirmation passes all levels before it is missed") {
  for (const GossipLimits &limits : {GossipLimits(), makeDirectGossipLimits()})
    CHECK(limits.ConfirmationDelay + limits.Follower.MaxReplyDelay + Exchange <=
          limits.ConfirmationMargin);
}

TEST_CASE("they are known in time after an outage of the store") {
  // A call made just before the end is lost, and the backoff is the longest.
  CHECK(DirectControl::CallTimeout +
            makeDirectGossipLimits().Follower.MaxBackoff + Exchange <=
        KnownLimit);
  CHECK(ControlPlane::CallTimeout + GossipLimits().Follower.MaxBackoff +
            Exchange <=
        OwnKnownLimit);
}

TEST_CASE(
    "a parent accepts a subscriber again once its silent link is closed") {
  // What the subscriber sends a round after its last digest, a tenth of the
  // interval early at most, is not acknowledged; a ping is sent no sooner.
  for (const GossipLimits &limits : {GossipLimits(), makeDirectGossipLimits()})
    CHECK(limits.Interval * 3 / 2 <=
          limits.Interval * 9 / 10 + LinkKeepAlive::ReplyTimeout);
}

TEST_CASE("the record of an entry outlives a lost renewal") {
  CHECK(NodeRegistry::RenewEvery + DirectControl::CallTimeout +
            2 * NodeRegistry::MinRetryDelay + Exchange <=
        NodeRegistry::LeaseSpan);
}

TEST_CASE("the lease of a group outlives a lost renewal") {
  LeaseLimits limits = makeRankLeaseLimits();
  // The lost call ends before the next one, which opens a new connection.
  CHECK(RankAgent::CallTimeout < limits.RenewEvery);
  CHECK(RankAgent::CallTimeout <= limits.CallTimeout);
  CHECK(2 * limits.RenewEvery + Exchange <= limits.Span - limits.Margin);
}

TEST_CASE("a coordinator hears of a rank again before it counts as missing") {
  Duration heard = lostLinkKnown(StatusFilter::Heartbeat) + Exchange;
  CHECK(heard <= SwitchLimits().StatusAge);
  CHECK(heard <= MemberConsent::MaxChangeTime);
}

TEST_CASE("quarantined requests are stored in time after silence") {
  CHECK(QuarantineStore::WriteSpread + QuarantineSync::CallTimeout +
            QuarantineStore::MinRetryDelay + 2 * Exchange <=
        KnownLimit);
}

TEST_CASE("the load of an entry is kept although reports are lost") {
  constexpr int LostReports = 3;
  CHECK((LostReports + 1) * LoadExchange::Interval <=
        EndpointTable::MaxPeerLoadAge);
}

TEST_CASE(
    "an entry reaches agents again before a running call counts as lost") {
  EntryLimits limits;
  CHECK(LinkKeepAlive::DetectionTime + Exchange <= KnownLimit);
  CHECK(LinkKeepAlive::DetectionTime + limits.UnresponsiveTime + Exchange <=
        limits.StallTimeout);
}

TEST_CASE("a repeatable request moves from a silent endpoint in time") {
  // Callers give a stream up after two seconds without a first event.
  CHECK(DirectLimits().MaxSilence + Exchange <= seconds(2));
}
