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

/// Inputs in quick succession may have waited together for a process that was
/// suspended.
void GossipNode::noteInput(TimePoint now) {
  if (now - HandledAt > Limits.Follower.MaxReplyDelay)
    ArrivedAfter = HandledAt;
  HandledAt = now;
}

GossipActions GossipNode::onTimer(TimePoint now) {
  noteInput(now);
  std::erase_if(Subscribers,
                [now](const auto &it) { return it.second.Until <= now; });
  // A store that does not hold watches is called once a round.
  if (!isWatcher() || now >= NextRound || hasDelayedCall(now))
    callStore(now);
  if (now >= NextRound)
    sendDigests(now);
  if (ConfirmAt && now >= *ConfirmAt)
    confirmSubscribers(now);
  return takeActions();
}

/// Whether a call was put off until now.
bool GossipNode::hasDelayedCall(TimePoint now) const {
  return std::any_of(Copies.begin(), Copies.end(), [now](const auto &it) {
    return it.delayedUntil() && *it.delayedUntil() <= now;
  });
}

/// Watchers keep a watch open on each key.
void GossipNode::callStore(TimePoint now) {
  if (!isWatcher()) {
    readStore(now);
    return;
  }
  for (SharedKey key : SharedKeys) {
    call(key, watchWait(copyOf(key), now), now);
  }
}

/// A watch ends in time for the next confirmation. One that follows an update
/// is shorter by the age of the confirmation that the update brought.
Duration GossipNode::watchWait(const KeyFollower &follower,
                               TimePoint now) const {
  if (follower.confirmedAt() == TimePoint())
    return Duration::zero();
  Duration age = now - follower.confirmedAt();
  if (age <= Limits.Follower.MaxReplyDelay)
    return Limits.WatchWait;
  return Limits.WatchWait - std::min(age, Limits.WatchWait / 2);
}

/// Reads the copies that nobody has confirmed in time.
void GossipNode::readStore(TimePoint now) {
  for (SharedKey key : SharedKeys)
    if (now >= readDueAt(copyOf(key)) && !isReadHeldBack(now))
      call(key, Duration::zero(), now);
}

/// Whether a reply in flight may tell that the store does not reply, or one has
/// just done so.
bool GossipNode::isReadHeldBack(TimePoint now) const {
  return isReady() &&
         (!CallsInFlight.empty() || (HasReadFailed && now < RetryReadAt));
}

void GossipNode::call(SharedKey key, Duration wait, TimePoint now) {
  std::optional<KvCall> call = copyOf(key).nextCall(wait, now);
  if (!call)
    return;
  KvCallId id(++LastKvCall);
  CallsInFlight.emplace(id, key);
  Out.push_back(CallKeyValueStoreForGossip{{id, std::move(*call)}});
}

/// The level of this node in the tree; watchers are at level 0.
std::size_t GossipNode::level() const {
  std::size_t watchers = std::max<std::size_t>(Limits.WatchersPerDataCentre, 1);
  std::size_t index = OwnIndex.value_or(Order.empty() ? 0 : Order.size() - 1);
  // A node without a place subscribes to a leaf.
  std::size_t level = OwnIndex ? 0 : 1;
  for (; index >= watchers; index = (index - watchers) / Limits.FanOut)
    ++level;
  return level;
}

Duration GossipNode::maxAge() const {
  Duration expected = Limits.WatchWait + Limits.ConfirmationMargin +
                      Limits.LevelDelay * level();
  return std::max(Limits.MaxAge, expected) + OwnAgeJitter;
}

/// When a node that does not watch the store reads the value of \p follower.
TimePoint GossipNode::readDueAt(const KeyFollower &follower) const {
  if (follower.revision() == Revision(0))
    return follower.hasReadStore() ? follower.checkedAt() + Limits.StartInterval
                                   : TimePoint();
  bool isConfirmed = follower.confirmedAt() != TimePoint();
  // Peers have a round to confirm a copy that may be stale.
  return follower.checkedAt() +
         (isConfirmed ? maxAge() : Limits.Interval * 3 / 2);
}

TimePoint GossipNode::nextTimer() const {
  TimePoint next = std::min(NextRound, ConfirmAt.value_or(NextRound));
  for (const KeyFollower &it : Copies)
    next = std::min(next, nextCallAt(it).value_or(next));
  return next;
}

/// When a call for \p follower is due; no value while one is in flight, or if
/// an event other than a timer brings the next one.
std::optional<TimePoint>
GossipNode::nextCallAt(const KeyFollower &follower) const {
  if (follower.isCalling())
    return std::nullopt;
  if (isWatcher())
    return follower.delayedUntil();
  TimePoint due = std::max(readDueAt(follower),
                           follower.delayedUntil().value_or(TimePoint()));
  if (!isReadHeldBack(due))
    return due;
  // The reply to the call in flight brings the next one.
  return CallsInFlight.empty() ? std::optional(RetryReadAt) : std::nullopt;
}

void GossipNode::sendDigests(TimePoint now) {
  Duration interval = isReady() ? Limits.Interval : Limits.StartInterval;
  auto jitter = interval.count() * JitterPercent / 100;
  HasLostParent = false;
  ParentsTried = 0;
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

/// Subscribes to another agent at once, unless that is left to the next round.
void GossipNode::subscribeToNextParent(TimePoint now) {
  if (++ParentsTried > Limits.MaxParentsPerRound) {
    Misses = Limits.MaxMisses;
    return;
  }
  ++ParentShift;
  Parent = pickParent();
  Misses = 1;
  if (Parent)
    Out.push_back(SendDigestTo{*Parent, makeDigest(true, now)});
}

GossipDigest GossipNode::makeDigest(bool isSubscription, TimePoint now) const {
  GossipDigest digest;
  digest.IsSubscription = isSubscription;
  digest.SentAt =
      std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch());
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

/// A peer with the same revision may have a more recent confirmation of it. No
/// message confirms more than its arrival can.
void GossipNode::confirmFrom(const GossipDigest &digest, TimePoint now) {
  if (!digest.Echo)
    return;
  TimePoint sentAt(digest.Echo->SentAt + digest.Echo->Age);
  for (SharedKey key : SharedKeys) {
    const CopyState &theirs = digest.Copies[static_cast<std::size_t>(key)];
    copyOf(key).confirm(theirs.At, std::min(sentAt - theirs.Age, now));
  }
}

/// Whether a copy was confirmed after subscribers were last told. A difference
/// within half of their margin can wait.
bool GossipNode::hasNewConfirmation() const {
  return std::any_of(SharedKeys.begin(), SharedKeys.end(), [this](auto key) {
    TimePoint told = ConfirmedToSubscribers[static_cast<std::size_t>(key)];
    return copy(key).confirmedAt() - told >= Limits.ConfirmationMargin / 2;
  });
}

/// Tells subscribers when the store was last known to hold the copies.
void GossipNode::confirmSubscribers(TimePoint now) {
  ConfirmAt.reset();
  for (SharedKey key : SharedKeys)
    ConfirmedToSubscribers[static_cast<std::size_t>(key)] =
        copy(key).confirmedAt();
  for (const auto &[link, subscription] : Subscribers) {
    GossipDigest digest = makeDigest(true, now);
    digest.Echo = DigestEcho{subscription.SentAt, now - subscription.HeardAt};
    Out.push_back(ReplyDigest{link, digest});
  }
}

/// Without an echo, the age of \p update is of no use. A digest follows.
bool GossipNode::applyUpdate(const GossipUpdate &update) {
  return copyOf(update.Key).offer(update.State.At, update.Value, TimePoint());
}

/// Reports that the copy of \p key has changed and sends it to subscribers.
void GossipNode::announce(SharedKey key, std::optional<LinkId> except,
                          TimePoint now) {
  Out.push_back(CopyChanged{key});
  for (const auto &[link, subscription] : Subscribers)
    if (link != except)
      Out.push_back(ReplyUpdate{link, makeUpdate(key, now)});
}

GossipActions GossipNode::onKvReply(KvCallId id, const KvReply &reply,
                                    TimePoint now) {
  noteInput(now);
  auto it = CallsInFlight.find(id);
  if (it == CallsInFlight.end())
    return takeActions();
  SharedKey key = it->second;
  CallsInFlight.erase(it);
  HasReadFailed =
      reply.Code != ResultCode::Ok && reply.Code != ResultCode::NotFound;
  if (HasReadFailed)
    RetryReadAt =
        now + Limits.MinReadRetryDelay +
        drawJitter(Limits.MaxReadRetryDelay - Limits.MinReadRetryDelay, Random);
  if (copyOf(key).onReply(reply, ArrivedAfter, now))
    announce(key, std::nullopt, now);
  if (!HasReadFailed)
    ConfirmAt = ConfirmAt.value_or(now + Limits.ConfirmationDelay);
  // If the store did not hold the watch, the next call waits for the next
  // round.
  if (!isWatcher() || reply.Code == ResultCode::Ok || copyOf(key).wasHeld(now))
    callStore(now);
  return takeActions();
}

/// Starts or extends a subscription. False if the limit has been reached. A
/// subscriber that missed a round may have subscribed again on another link, so
/// its place may be taken.
bool GossipNode::subscribe(LinkId link, const GossipDigest &digest,
                           TimePoint now) {
  bool isKnown = Subscribers.contains(link);
  if (!isKnown && Subscribers.size() >= Limits.MaxSubscribers) {
    auto oldest = std::min_element(Subscribers.begin(), Subscribers.end(),
                                   [](const auto &a, const auto &b) {
                                     return a.second.HeardAt < b.second.HeardAt;
                                   });
    if (now - oldest->second.HeardAt < Limits.Interval * 3 / 2)
      return false;
    Subscribers.erase(oldest);
  }
  Subscribers[link] = {now + Limits.SubscriptionTime, now, digest.SentAt};
  return true;
}

GossipActions GossipNode::onMessage(LinkId from, const GossipDigest &digest,
                                    TimePoint now) {
  noteInput(now);
  bool isSubscribed = digest.IsSubscription && subscribe(from, digest, now);
  for (SharedKey key : SharedKeys) {
    const CopyState &theirs = digest.Copies[static_cast<std::size_t>(key)];
    if (theirs.At < copy(key).revision())
      Out.push_back(ReplyUpdate{from, makeUpdate(key, now)});
  }
  // The reply also shows a sender with newer copies which of them to send.
  GossipDigest reply = makeDigest(isSubscribed, now);
  reply.Echo = DigestEcho{digest.SentAt, Duration::zero()};
  Out.push_back(ReplyDigest{from, reply});
  return takeActions();
}

GossipActions GossipNode::onMessage(LinkId from, const GossipUpdate &update,
                                    TimePoint now) {
  noteInput(now);
  if (applyUpdate(update))
    announce(update.Key, from, now);
  return takeActions();
}

GossipActions GossipNode::onPeerDown(const EndpointId &peer, TimePoint now) {
  noteInput(now);
  if (peer != Parent)
    return takeActions();
  if (std::exchange(HasLostParent, true))
    subscribeToNextParent(now);
  else
    Out.push_back(SendDigestTo{peer, makeDigest(true, now)});
  return takeActions();
}

GossipActions GossipNode::onPeerReply(const EndpointId &from,
                                      const GossipDigest &digest,
                                      TimePoint now) {
  noteInput(now);
  PeersReplied.insert(from);
  confirmFrom(digest, now);
  if (from == Parent && hasNewConfirmation())
    confirmSubscribers(now);
  if (from == Parent && digest.IsSubscription)
    Misses = 0;
  else if (from == Parent)
    subscribeToNextParent(now);
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
  noteInput(now);
  if (applyUpdate(update))
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
