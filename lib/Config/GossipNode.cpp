//===- GossipNode.cpp - gossip of the shared values -----------------------===//
//
// See GossipNode.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Config/GossipNode.h"

#include <algorithm>
#include <functional>
#include <utility>

using namespace ospreyspur;

/// Rounds start up to this share of the interval early or late, so that nodes
/// that started together do not send at the same moments.
static constexpr int JitterPercent = 10;

static std::uint64_t drawBelow(std::uint64_t n, std::mt19937_64 &random) {
  return std::uniform_int_distribution<std::uint64_t>(0, n - 1)(random);
}

static Duration drawJitter(Duration limit, std::mt19937_64 &random) {
  return Duration(drawBelow(std::uint64_t(limit.count()) + 1, random));
}

GossipNode::GossipNode(GossipIdentity self, GossipLimits limits,
                       std::uint64_t seed)
    : Self(std::move(self)), Limits(limits), Random(seed), LeafNumber(Random()),
      OwnAgeJitter(drawJitter(limits.MaxAgeJitter, Random)),
      Copies{KeyFollower(Self.Keys[0], limits.Follower),
             KeyFollower(Self.Keys[1], limits.Follower)} {}

KeyFollower &GossipNode::copyOf(SharedKey key) {
  return Copies[static_cast<std::size_t>(key)];
}

const KeyFollower &GossipNode::copy(SharedKey key) const {
  return Copies[static_cast<std::size_t>(key)];
}

void GossipNode::setPeers(const std::vector<EndpointView> &peers) {
  Order.clear();
  RemotePeers.clear();
  OwnIndex.reset();
  for (const EndpointView &it : peers) {
    if (it.IsLeaving)
      continue;
    bool isLocal = it.DataCentre == Self.DataCentre;
    (isLocal ? Order : RemotePeers).push_back(it.Id);
  }
  if (Order.empty())
    std::swap(Order, RemotePeers);
  // All nodes derive the same order from the same list; a host that comes or
  // goes moves few of the others.
  std::sort(Order.begin(), Order.end(),
            [](const EndpointId &a, const EndpointId &b) {
              std::hash<EndpointId> hash;
              return std::pair(hash(a), a) < std::pair(hash(b), b);
            });
  auto own = std::find(Order.begin(), Order.end(), Self.Endpoint);
  if (own != Order.end())
    OwnIndex = static_cast<std::size_t>(own - Order.begin());
  ParentShift = 0;
  Misses = 0;
  Parent = pickParent();
}

bool GossipNode::isWatcher() const {
  return OwnIndex && *OwnIndex < Limits.WatchersPerDataCentre;
}

/// The agent that this node subscribes to; a watcher has none.
std::optional<EndpointId> GossipNode::pickParent() const {
  std::size_t n = Order.size();
  if (n == 0 || isWatcher())
    return std::nullopt;
  std::size_t index = 0;
  if (!OwnIndex) {
    // Entries subscribe to agents that have no children in the tree.
    std::size_t firstLeaf = std::min(n / Limits.FanOut + 1, n - 1);
    index = firstLeaf + LeafNumber % (n - firstLeaf);
  } else {
    index = (*OwnIndex - Limits.WatchersPerDataCentre) / Limits.FanOut;
  }
  index = (index + ParentShift) % n;
  if (OwnIndex == index)
    index = (index + 1) % n;
  return Order[index];
}

std::optional<EndpointId> GossipNode::pickRandomPeer() {
  bool isRemote =
      !RemotePeers.empty() &&
      (isWatcher() || drawBelow(Limits.RemotePeerOneIn, Random) == 0);
  const std::vector<EndpointId> &peers = isRemote ? RemotePeers : Order;
  if (peers.empty())
    return std::nullopt;
  const EndpointId &peer = peers[drawBelow(peers.size(), Random)];
  if (peer == Self.Endpoint || peer == Parent)
    return std::nullopt;
  return peer;
}

GossipActions GossipNode::onTimer(TimePoint now) {
  std::erase_if(Subscribers,
                [now](const auto &it) { return it.second <= now; });
  callStore(now);
  if (now >= NextRound)
    sendDigests(now);
  return takeActions();
}

/// Watchers keep a watch open on each key; other nodes read a key once if their
/// copy is too old. A copy from a stale read is brought up to date by watchers
/// at once, and by other nodes if no peer has confirmed it soon.
void GossipNode::callStore(TimePoint now) {
  for (SharedKey key : SharedKeys) {
    KeyFollower &follower = copyOf(key);
    bool isConfirmed = follower.confirmedAt() != TimePoint();
    // Peers have a round to confirm a copy.
    Duration age =
        isConfirmed ? maxAge() + OwnAgeJitter : Limits.Interval * 3 / 2;
    bool isOld =
        now - follower.checkedAt() >= age || follower.revision().get() == 0;
    if (!isWatcher() && !isOld)
      continue;
    Duration wait =
        isWatcher() && isConfirmed ? Limits.WatchWait : Duration::zero();
    std::optional<KvCall> call = follower.nextCall(wait, now);
    if (!call)
      continue;
    KvCallId id(++LastKvCall);
    CallsInFlight.emplace(id, key);
    Out.push_back(CallKeyValueStoreForGossip{{id, std::move(*call)}});
  }
}

/// A confirmation is as old as the longest watch and a round for each level of
/// the tree that it passed. One more round may be lost.
Duration GossipNode::maxAge() const {
  std::size_t level = std::max<std::size_t>(Limits.WatchersPerDataCentre, 1);
  std::size_t reached = level;
  int rounds = 2;
  for (; reached < Order.size(); reached += level) {
    level *= Limits.FanOut;
    ++rounds;
  }
  return std::max(Limits.MaxAge, Limits.WatchWait + Limits.Interval * rounds);
}

TimePoint GossipNode::nextTimer() const {
  TimePoint next = NextRound;
  if (!isWatcher())
    return next;
  for (const KeyFollower &it : Copies)
    next = std::min(next, it.delayedUntil().value_or(next));
  return next;
}

void GossipNode::sendDigests(TimePoint now) {
  Duration interval = isReady() ? Limits.Interval : Limits.StartInterval;
  auto jitter = interval.count() * JitterPercent / 100;
  HasLostParent = false;
  NextRound = now + interval - Duration(jitter) +
              drawJitter(Duration(2 * jitter), Random);
  if (Misses >= Limits.MaxMisses) {
    ++ParentShift;
    Misses = 0;
    Parent = pickParent();
  }
  if (Parent) {
    ++Misses;
    Out.push_back(SendDigestTo{*Parent, makeDigest(true, now)});
  }
  if (std::optional<EndpointId> peer = pickRandomPeer())
    Out.push_back(SendDigestTo{*peer, makeDigest(false, now)});
}

GossipDigest GossipNode::makeDigest(bool isSubscription, TimePoint now) const {
  GossipDigest digest;
  digest.IsSubscription = isSubscription;
  for (SharedKey key : SharedKeys) {
    const KeyFollower &follower = copy(key);
    digest.Copies[static_cast<std::size_t>(key)] = {
        follower.revision(), now - follower.confirmedAt()};
  }
  return digest;
}

GossipUpdate GossipNode::makeUpdate(SharedKey key, TimePoint now) const {
  const KeyFollower &follower = copy(key);
  return {key,
          {follower.revision(), now - follower.confirmedAt()},
          follower.value()};
}

/// A peer with the same revision may have a more recent confirmation of it.
void GossipNode::confirmFrom(const GossipDigest &digest, TimePoint now) {
  for (SharedKey key : SharedKeys) {
    const CopyState &theirs = digest.Copies[static_cast<std::size_t>(key)];
    copyOf(key).confirm(theirs.At, now - theirs.Age);
  }
}

bool GossipNode::applyUpdate(const GossipUpdate &update, TimePoint now) {
  return copyOf(update.Key)
      .offer(update.State.At, update.Value, now - update.State.Age);
}

/// Reports that the copy of \p key has changed and sends it to subscribers.
void GossipNode::announce(SharedKey key, std::optional<LinkId> except,
                          TimePoint now) {
  Out.push_back(CopyChanged{key});
  for (const auto &[link, until] : Subscribers)
    if (link != except)
      Out.push_back(ReplyUpdate{link, makeUpdate(key, now)});
}

GossipActions GossipNode::onKvReply(KvCallId id, const KvReply &reply,
                                    TimePoint now) {
  auto it = CallsInFlight.find(id);
  if (it == CallsInFlight.end())
    return takeActions();
  SharedKey key = it->second;
  CallsInFlight.erase(it);
  if (copyOf(key).onReply(reply, now))
    announce(key, std::nullopt, now);
  // If the store did not hold the watch, the next call waits for the next
  // round.
  if (isWatcher() && (reply.Code == ResultCode::Ok || copyOf(key).wasHeld(now)))
    callStore(now);
  return takeActions();
}

/// Starts or extends a subscription. False if the limit has been reached. A
/// subscriber that missed a round may have subscribed again on another link, so
/// its place may be taken.
bool GossipNode::subscribe(LinkId link, TimePoint now) {
  bool isKnown = Subscribers.contains(link);
  if (!isKnown && Subscribers.size() >= Limits.MaxSubscribers) {
    auto oldest = std::min_element(
        Subscribers.begin(), Subscribers.end(),
        [](const auto &a, const auto &b) { return a.second < b.second; });
    TimePoint heardAt = oldest->second - Limits.SubscriptionTime;
    if (now - heardAt < Limits.Interval * 3 / 2)
      return false;
    Subscribers.erase(oldest);
  }
  Subscribers[link] = now + Limits.SubscriptionTime;
  return true;
}

GossipActions GossipNode::onMessage(LinkId from, const GossipDigest &digest,
                                    TimePoint now) {
  bool isSubscribed = digest.IsSubscription && subscribe(from, now);
  confirmFrom(digest, now);
  for (SharedKey key : SharedKeys) {
    const CopyState &theirs = digest.Copies[static_cast<std::size_t>(key)];
    if (theirs.At < copy(key).revision())
      Out.push_back(ReplyUpdate{from, makeUpdate(key, now)});
  }
  // The reply also shows a sender with newer copies which of them to send.
  Out.push_back(ReplyDigest{from, makeDigest(isSubscribed, now)});
  return takeActions();
}

GossipActions GossipNode::onMessage(LinkId from, const GossipUpdate &update,
                                    TimePoint now) {
  if (applyUpdate(update, now))
    announce(update.Key, from, now);
  return takeActions();
}

GossipActions GossipNode::onPeerDown(const EndpointId &peer, TimePoint now) {
  if (peer == Parent && !std::exchange(HasLostParent, true))
    Out.push_back(SendDigestTo{peer, makeDigest(true, now)});
  return takeActions();
}

GossipActions GossipNode::onPeerReply(const EndpointId &from,
                                      const GossipDigest &digest,
                                      TimePoint now) {
  // A parent that accepts no more subscribers counts as one that does not
  // reply.
  if (from == Parent)
    Misses = digest.IsSubscription ? 0 : Limits.MaxMisses;
  PeersReplied.insert(from);
  confirmFrom(digest, now);
  for (SharedKey key : SharedKeys) {
    const CopyState &theirs = digest.Copies[static_cast<std::size_t>(key)];
    if (theirs.At < copy(key).revision())
      Out.push_back(SendUpdateTo{from, makeUpdate(key, now)});
  }
  return takeActions();
}

GossipActions GossipNode::onPeerReply(const EndpointId & /*from*/,
                                      const GossipUpdate &update,
                                      TimePoint now) {
  if (applyUpdate(update, now))
    announce(update.Key, std::nullopt, now);
  return takeActions();
}

bool GossipNode::isReady() const {
  std::size_t peers = Order.size() + RemotePeers.size();
  bool hasPeers =
      peers > 0 && PeersReplied.size() >= std::min(peers, Limits.PeersToStart);
  return std::all_of(Copies.begin(), Copies.end(), [&](const auto &it) {
    return it.revision().get() > 0 && (it.hasReadStore() || hasPeers);
  });
}

GossipActions GossipNode::takeActions() { return std::exchange(Out, {}); }
