//===- GossipNode.h - spreads the platform's values -------------*- C++ -*-===//
//
// The state machine that keeps a node's copies of the configuration and the
// host list new, without every node asking the platform. Two agents in each
// data centre watch the platform; the others subscribe to one another along a
// tree that each node derives from the host list. Every node also compares
// itself with a random peer now and then, so that a broken tree only costs
// time, and a node whose copies nobody has confirmed for a while asks the
// platform itself.
//
// Copies carry the platform's revision, and only a higher one is ever taken.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONFIG_GOSSIPNODE_H
#define OSPREYSPUR_CONFIG_GOSSIPNODE_H

#include "ospreyspur/Config/ConfigDocument.h"
#include "ospreyspur/Config/GossipActions.h"
#include "ospreyspur/Config/KeyFollower.h"
#include "ospreyspur/Routing/RoutingSnapshot.h"

#include <array>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace ospreyspur {

/// Times and sizes of the spread.
struct GossipLimits {
  /// Between two digests to the same peers.
  Duration Interval = std::chrono::seconds(1);
  /// The same, until the node is ready.
  Duration StartInterval = std::chrono::milliseconds(200);
  /// How long the service may hold a watch.
  Duration WatchWait = std::chrono::seconds(1);
  /// The watchers of a data centre may share that out: then each holds its
  /// watches for as many times this, if that is longer. What one of them misses
  /// the others hand on with their digests.
  Duration WatchWaitShare{};
  /// A copy not confirmed for this long, plus a random part, is asked for at
  /// the service.
  Duration MaxAge = std::chrono::seconds(4);
  Duration MaxAgeSpread = std::chrono::seconds(2);
  /// A subscription ends when its subscriber has been silent for this long.
  Duration SubscriptionTime = std::chrono::milliseconds(3500);
  /// Children of one agent in the tree.
  std::size_t FanOut = 3;
  /// Subscribers that an agent takes; others go on to the next agent.
  std::size_t MaxSubscribers = 3;
  std::size_t WatchersPerDataCentre = 2;
  /// Digests without an answer before another agent is subscribed to.
  unsigned MaxMisses = 2;
  /// One random peer in so many is in another data centre.
  unsigned FarPeerOneIn = 10;
  /// Peers that must have answered before copies that did not come from the
  /// service count as good enough to start with.
  std::size_t PeersToStart = 3;
  FollowerLimits Follower;
};

/// Who a node is among its peers.
struct GossipIdentity {
  /// The endpoint of an agent; empty for an entry, which nobody dials.
  EndpointId Endpoint;
  DataCentreId DataCentre;
  /// The platform's keys of the shared values.
  std::array<std::string, SharedKeyCount> Keys = {std::string(ConfigKey),
                                                  std::string(HostsKey)};
};

/// Keeps one node's copies new.
class GossipNode {
public:
  /// \p seed feeds the choice of peers; entries with other seeds subscribe to
  /// other agents.
  GossipNode(GossipIdentity self, GossipLimits limits, std::uint64_t seed);

  // Commands: each takes one input and gives the actions that follow.

  /// The agents that can be dialled, as last known.
  void setPeers(const std::vector<EndpointView> &peers);
  /// Does what is due at \p now; call once to start.
  GossipActions onTimer(TimePoint now);
  /// The platform's answer to CallPlatformForGossip; a second one is ignored.
  GossipActions onKvReply(KvCallId id, const KvReply &reply, TimePoint now);
  /// A message on a link that another node has dialled.
  GossipActions onMessage(LinkId from, const GossipDigest &digest,
                          TimePoint now);
  GossipActions onMessage(LinkId from, const GossipUpdate &update,
                          TimePoint now);
  /// A message on the link that this node has dialled to the agent of \p from.
  GossipActions onAnswer(const EndpointId &from, const GossipDigest &digest,
                         TimePoint now);
  GossipActions onAnswer(const EndpointId &from, const GossipUpdate &update,
                         TimePoint now);
  /// The link that another node had dialled is gone.
  void onLinkDown(LinkId link) { Subscribers.erase(link); }

  // Queries.

  /// When onTimer() is next needed.
  TimePoint nextTimer() const;
  /// Whether both copies are good enough to start with.
  bool isReady() const;
  /// Whether this node is one of its data centre's watchers of the platform.
  bool isWatcher() const;
  /// The copy of \p key.
  const KeyFollower &copy(SharedKey key) const;

private:
  KeyFollower &copyOf(SharedKey key);
  void askPlatform(TimePoint now);
  Duration watchWait() const;
  void sendDigests(TimePoint now);
  std::optional<EndpointId> pickParent() const;
  std::optional<EndpointId> pickRandomPeer();
  GossipDigest makeDigest(bool isSubscription, TimePoint now) const;
  bool subscribe(LinkId link, TimePoint now);
  GossipUpdate makeUpdate(SharedKey key, TimePoint now) const;
  void confirmFrom(const GossipDigest &digest, TimePoint now);
  bool take(const GossipUpdate &update, TimePoint now);
  void announce(SharedKey key, std::optional<LinkId> except, TimePoint now);
  GossipActions takeActions();

  GossipIdentity Self;
  GossipLimits Limits;
  std::mt19937_64 Random;
  /// Where an entry stands among the tree's leaves.
  std::uint64_t LeafNumber;
  /// The part of MaxAgeSpread that this node adds.
  Duration OwnSpread;
  std::array<KeyFollower, SharedKeyCount> Copies;
  /// The tree's order in this node's data centre, without leaving agents.
  std::vector<EndpointId> Order;
  std::vector<EndpointId> FarPeers;
  std::optional<std::size_t> OwnPlace;
  std::map<LinkId, TimePoint> Subscribers;
  std::set<EndpointId> Answered;
  /// How far this node has moved from its parent in the tree, as agents were
  /// silent or had enough subscribers.
  std::size_t ParentShift = 0;
  unsigned Misses = 0;
  std::optional<EndpointId> Parent;
  TimePoint NextRound;
  std::uint64_t LastKvCall = 0;
  std::unordered_map<KvCallId, SharedKey> CallsOut;
  GossipActions Out;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_CONFIG_GOSSIPNODE_H
