//===- GossipNode.h - gossip of the shared values ---------------*- C++ -*-===//
//
// The state machine that keeps a node's copies of the configuration and the
// host list current without every node polling the key-value store. A few nodes
// of each data centre (GossipLimits::WatchersPerDataCentre) watch the store.
// The other nodes subscribe to one another along a tree that each node derives
// from the host list. Every node also exchanges digests with a random peer in
// most rounds, so that a broken tree delays updates but does not lose them.
//
// Copies carry the store's revision; a copy is replaced only by a higher one.
// They also carry the time at which the store was last known to hold them: each
// watch that ends confirms them, and subscribers receive the confirmations. A
// node that receives none in time reads the store itself, whoever failed above
// it: how late a change can be depends on no other node.
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
  /// MaxAgeJitter is read from the key-value store. The time is at least that
  /// of a watch, ConfirmationMargin and LevelDelay for each level of the tree.
  Duration MaxAge = std::chrono::seconds(4);
  Duration MaxAgeJitter = std::chrono::seconds(2);
  /// By how much the confirmations of two successive watches may be further
  /// apart than WatchWait.
  Duration ConfirmationMargin = std::chrono::milliseconds(250);
  /// Time in which a node reads the store and confirms the copies of its
  /// subscribers, so that a level of the tree reads only what the level above
  /// did not confirm.
  Duration LevelDelay = std::chrono::milliseconds(50);
  /// Bounds of the time after a failed call within which a node that does not
  /// watch the store makes no other.
  Duration MinReadRetryDelay = std::chrono::milliseconds(1000);
  Duration MaxReadRetryDelay = std::chrono::milliseconds(1500);
  /// The copies are confirmed together if their watches end within this time.
  Duration ConfirmationDelay = std::chrono::milliseconds(20);
  /// A subscription ends after this time without a subscribing digest.
  Duration SubscriptionTime = std::chrono::milliseconds(3500);
  /// Number of children of one agent in the tree.
  std::size_t FanOut = 3;
  /// Subscribers that an agent accepts; further nodes try the next agent.
  std::size_t MaxSubscribers = 3;
  std::size_t WatchersPerDataCentre = 2;
  /// Digests without a reply after which a node subscribes to another agent.
  unsigned MaxMisses = 2;
  /// Agents that a node tries in one round if they refuse its subscription or
  /// nothing listens at their addresses.
  unsigned MaxParentsPerRound = 4;
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
  /// is the parent, another digest is sent on a new link; if that is lost in
  /// the same round, the node subscribes to another agent.
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
  /// The longest time between two confirmations of a copy while all is well.
  /// After it a node that does not watch the store reads the copy there.
  Duration maxAge() const;
  /// The agent that this node subscribes to; a watcher has none.
  const std::optional<EndpointId> &parent() const { return Parent; }
  /// The copy of \p key.
  const KeyFollower &copy(SharedKey key) const;

private:
  KeyFollower &copyOf(SharedKey key);
  bool hasDelayedCall(TimePoint now) const;
  void callStore(TimePoint now);
  void readStore(TimePoint now);
  void call(SharedKey key, Duration wait, TimePoint now);
  std::size_t level() const;
  TimePoint readDueAt(const KeyFollower &follower) const;
  bool isReadHeldBack(TimePoint now) const;
  std::optional<TimePoint> nextCallAt(const KeyFollower &follower) const;
  void confirmSubscribers(TimePoint now);
  void sendDigests(TimePoint now);
  std::optional<EndpointId> pickParent() const;
  void subscribeToNextParent(TimePoint now);
  std::optional<EndpointId> pickRandomPeer();
  GossipDigest makeDigest(bool isSubscription, TimePoint now) const;
  bool subscribe(LinkId link, const GossipDigest &digest, TimePoint now);
  GossipUpdate makeUpdate(SharedKey key, TimePoint now) const;
  void confirmFrom(const GossipDigest &digest, TimePoint now);
  bool hasNewConfirmation() const;
  bool applyUpdate(const GossipUpdate &update);
  void announce(SharedKey key, std::optional<LinkId> except, TimePoint now);
  Duration watchWait(const KeyFollower &follower, TimePoint now) const;
  GossipActions takeActions();
  void noteInput(TimePoint now);

  /// A link on which another node subscribes.
  struct Subscription {
    TimePoint Until;
    /// When the last digest arrived, and what it said of its own time.
    TimePoint HeardAt;
    Duration SentAt{};
  };

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
  std::map<LinkId, Subscription> Subscribers;
  std::set<EndpointId> PeersReplied;
  /// Number of agents skipped because they did not reply or had no free
  /// subscription.
  std::size_t ParentShift = 0;
  unsigned Misses = 0;
  /// Number of agents tried in this round.
  unsigned ParentsTried = 0;
  std::optional<EndpointId> Parent;
  /// Whether the parent's link was lost in this round.
  bool HasLostParent = false;
  TimePoint NextRound;
  /// When the subscribers' copies are confirmed; unset if there is nothing to
  /// confirm.
  std::optional<TimePoint> ConfirmAt;
  /// The confirmations that subscribers received last.
  std::array<TimePoint, SharedKeyCount> ConfirmedToSubscribers;
  /// Whether the last call to the key-value store failed. A node that is ready
  /// and does not watch the store then makes none before \c RetryReadAt.
  bool HasReadFailed = false;
  TimePoint RetryReadAt;
  /// When the last input was handled.
  TimePoint HandledAt;
  /// The inputs handled now arrived after this time.
  TimePoint ArrivedAfter;
  std::uint64_t LastKvCall = 0;
  std::unordered_map<KvCallId, SharedKey> CallsInFlight;
  GossipActions Out;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_CONFIG_GOSSIPNODE_H
