//===- GossipNode.h - gossip of the shared values ---------------*- C++ -*-===//
//
// The state machine that keeps a node's copies of the configuration and the
// host list current without every node polling the key-value store. A few nodes
// of each data centre (GossipLimits::WatchersPerDataCentre) watch the store.
// The other nodes subscribe to one another along a tree that each node derives
// from the host list. Every node also exchanges digests with a random peer in
// most rounds, so that a broken tree delays updates but does not lose them. A
// node whose copies were not confirmed for GossipLimits::MaxAge reads the store
// itself.
//
// Copies carry the store's revision; a copy is replaced only by a higher one.
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

/// Intervals and limits of the gossip.
struct GossipLimits {
  /// Time between two rounds of digests.
  Duration Interval = std::chrono::seconds(1);
  /// Time between two rounds until the node is ready.
  Duration StartInterval = std::chrono::milliseconds(200);
  /// How long the key-value store may hold a watch.
  Duration WatchWait = std::chrono::seconds(1);
  /// A copy that was not confirmed for this time plus a random part of
  /// MaxAgeJitter is read from the key-value store. In a large data centre the
  /// time is longer, as confirmations are older the more nodes they pass.
  Duration MaxAge = std::chrono::seconds(4);
  Duration MaxAgeJitter = std::chrono::seconds(2);
  /// A subscription ends after this time without a subscribing digest.
  Duration SubscriptionTime = std::chrono::milliseconds(3500);
  /// Number of children of one agent in the tree.
  std::size_t FanOut = 3;
  /// Subscribers that an agent accepts; further nodes try the next agent.
  std::size_t MaxSubscribers = 3;
  std::size_t WatchersPerDataCentre = 2;
  /// Digests without a reply after which a node subscribes to another agent.
  unsigned MaxMisses = 2;
  /// A node that is not a watcher picks its random peer from another data
  /// centre in one of this many rounds; a watcher always does.
  unsigned RemotePeerOneIn = 10;
  /// Peers that must have replied before copies that did not come from the
  /// store are recent enough to start with.
  std::size_t PeersToStart = 3;
  FollowerLimits Follower;
};

/// Identity of a node among its peers.
struct GossipIdentity {
  /// The endpoint of an agent; empty for an entry, to which no node connects.
  EndpointId Endpoint;
  DataCentreId DataCentre;
  /// Keys of the shared values in the key-value store.
  std::array<std::string, SharedKeyCount> Keys = {std::string(ConfigKey),
                                                  std::string(HostsKey)};
};

/// Keeps one node's copies of the shared values current.
class GossipNode {
public:
  /// \p seed determines the random choice of peers; entries with different
  /// seeds subscribe to different agents.
  GossipNode(GossipIdentity self, GossipLimits limits, std::uint64_t seed);

  // Commands: each takes one input and returns the resulting actions.

  /// Replaces the list of agents that this node can connect to.
  void setPeers(const std::vector<EndpointView> &peers);
  /// Performs the work that is due at \p now; call once to start.
  GossipActions onTimer(TimePoint now);
  /// Takes the reply to a CallKeyValueStoreForGossip; a second reply is
  /// ignored.
  GossipActions onKvReply(KvCallId id, const KvReply &reply, TimePoint now);
  /// Takes a message on a link that another node opened.
  GossipActions onMessage(LinkId from, const GossipDigest &digest,
                          TimePoint now);
  GossipActions onMessage(LinkId from, const GossipUpdate &update,
                          TimePoint now);
  /// Takes a message on the link that this node opened to the agent of \p from.
  GossipActions onPeerReply(const EndpointId &from, const GossipDigest &digest,
                            TimePoint now);
  GossipActions onPeerReply(const EndpointId &from, const GossipUpdate &update,
                            TimePoint now);
  /// Handles the loss of the link that this node opened to \p peer. If \p peer
  /// is the parent, another digest is sent on a new link, once a round.
  GossipActions onPeerDown(const EndpointId &peer, TimePoint now);
  /// Ends the subscription of a link that another node opened and that closed.
  void onLinkDown(LinkId link) { Subscribers.erase(link); }

  // Queries.

  /// When onTimer() must be called next.
  TimePoint nextTimer() const;
  /// Whether both copies are recent enough to start with.
  bool isReady() const;
  /// Whether this node is one of its data centre's watchers of the store.
  bool isWatcher() const;
  /// The agent that this node subscribes to; a watcher has none.
  const std::optional<EndpointId> &parent() const { return Parent; }
  /// The copy of \p key.
  const KeyFollower &copy(SharedKey key) const;

private:
  KeyFollower &copyOf(SharedKey key);
  void callStore(TimePoint now);
  Duration maxAge() const;
  void sendDigests(TimePoint now);
  std::optional<EndpointId> pickParent() const;
  std::optional<EndpointId> pickRandomPeer();
  GossipDigest makeDigest(bool isSubscription, TimePoint now) const;
  bool subscribe(LinkId link, TimePoint now);
  GossipUpdate makeUpdate(SharedKey key, TimePoint now) const;
  void confirmFrom(const GossipDigest &digest, TimePoint now);
  bool applyUpdate(const GossipUpdate &update, TimePoint now);
  void announce(SharedKey key, std::optional<LinkId> except, TimePoint now);
  GossipActions takeActions();

  GossipIdentity Self;
  GossipLimits Limits;
  std::mt19937_64 Random;
  /// Random number that determines which leaf of the tree an entry subscribes
  /// to.
  std::uint64_t LeafNumber;
  /// The random part of MaxAgeJitter that this node adds to MaxAge.
  Duration OwnAgeJitter;
  std::array<KeyFollower, SharedKeyCount> Copies;
  /// Agents in tree order, without leaving ones: those of this node's data
  /// centre, or those of all others if there are none in it.
  std::vector<EndpointId> Order;
  std::vector<EndpointId> RemotePeers;
  std::optional<std::size_t> OwnIndex;
  std::map<LinkId, TimePoint> Subscribers;
  std::set<EndpointId> PeersReplied;
  /// Number of agents skipped because they did not reply or had no free
  /// subscription.
  std::size_t ParentShift = 0;
  unsigned Misses = 0;
  std::optional<EndpointId> Parent;
  /// Whether the parent's link was lost in this round.
  bool HasLostParent = false;
  TimePoint NextRound;
  std::uint64_t LastKvCall = 0;
  std::unordered_map<KvCallId, SharedKey> CallsInFlight;
  GossipActions Out;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_CONFIG_GOSSIPNODE_H
