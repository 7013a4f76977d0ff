//===- GossipSimulation.cpp - simulated gossip fleet ----------------------===//
//
// Delivers messages, calls and timers between the nodes and the fake key-value
// store. All decisions are made by the GossipNodes.
//
//===----------------------------------------------------------------------===//

#include "GossipSimulation.h"

#include "ospreyspur/Config/ConfigDocument.h"
#include "ospreyspur/Http/TcpKeepAlive.h"
#include "ospreyspur/Platform/PlatformClient.h"
#include "ospreyspur/Rpc/PeerClient.h"

#include <algorithm>

using namespace ospreyspur;
using namespace ospreyspur::test;
using std::chrono::milliseconds;

static constexpr Duration Step = milliseconds(10);
static constexpr std::uint64_t NodesPerIncarnation = 4096;
static constexpr std::uint64_t LinksPerIncarnation = 64;
static constexpr std::size_t StartPeerCount = 3;

static std::string nameOf(SharedKey key) {
  return std::string(key == SharedKey::Config ? ConfigKey : HostsKey);
}

GossipSimulation::GossipSimulation(std::uint64_t seed, FleetShape shape,
                                   unsigned lossPercent, unsigned latePercent,
                                   GossipLimits limits)
    : Scheduler(seed, latePercent), Limits(limits), LossPercent(lossPercent),
      NodesPerDataCentre(shape.Agents + shape.Entries) {
  for (std::size_t d = 0; d < shape.DataCentres; ++d) {
    DataCentreId place("d" + std::to_string(d));
    for (std::size_t i = 0; i < NodesPerDataCentre; ++i) {
      Node &node = Nodes.emplace_back();
      node.Id.DataCentre = place;
      if (i < shape.Agents)
        node.Id.Endpoint = EndpointId("e" + std::to_string(Nodes.size() - 1));
    }
  }
  for (std::size_t i = 0;
       i < Nodes.size() && StartPeers.size() < StartPeerCount; ++i)
    if (!Nodes[i].Id.Endpoint.get().empty())
      StartPeers.push_back(
          {Nodes[i].Id.Endpoint, {}, Nodes[i].Id.DataCentre, "", {}, false});
  writeHosts({});
  write(SharedKey::Config, "first");
  for (std::size_t i = 0; i < Nodes.size(); ++i)
    start(i);
}

Revision GossipSimulation::write(SharedKey key, const std::string &value) {
  Last = Revision(Last.get() + 1);
  History[Last] = value;
  Values[nameOf(key)] = {ResultCode::Ok, Last, value};
  std::list<HeldWatch> held = std::exchange(Held, {});
  for (const HeldWatch &it : held)
    if (it.Call.Key == nameOf(key))
      answer(it, Values[it.Call.Key]);
    else
      Held.push_back(it);
  return Last;
}

void GossipSimulation::writeHosts(const std::vector<std::size_t> &absent) {
  std::string text;
  for (std::size_t i = 0; i < Nodes.size(); ++i) {
    const GossipIdentity &id = Nodes[i].Id;
    if (id.Endpoint.get().empty() ||
        std::find(absent.begin(), absent.end(), i) != absent.end())
      continue;
    text += (text.empty() ? "[" : ",") + std::string(R"({"endpoint":")") +
            id.Endpoint.get() + R"(","data_centre":")" + id.DataCentre.get() +
            R"("})";
  }
  write(SharedKey::Hosts, text + "]");
}

void GossipSimulation::start(std::size_t i) {
  Node &node = Nodes[i];
  node.Machine =
      std::make_unique<GossipNode>(node.Id, Limits, Scheduler.below(1U << 30U));
  node.Machine->setPeers(StartPeers);
  node.IncarnationNumber = ++LastIncarnation;
  node.Seen = {};
  apply(i, node.Machine->onTimer(Scheduler.now()));
}

void GossipSimulation::kill(std::size_t i) {
  Nodes[i].IncarnationNumber = 0;
  Nodes[i].Machine.reset();
}

void GossipSimulation::crash(std::size_t i) {
  std::uint64_t incarnation = Nodes[i].IncarnationNumber;
  std::vector<std::pair<std::size_t, LinkId>> opened;
  for (auto &[ends, link] : Links) {
    if (ends.second == i)
      closeSilentLink(ends.first, i, Duration::zero());
    else if (ends.first == i && incarnation != 0)
      opened.emplace_back(ends.second, makeLinkId(i, link.Generation));
  }
  kill(i);
  for (const auto &[peer, link] : opened)
    deliverToNode(peer, Nodes[peer].IncarnationNumber,
                  [link = link](GossipNode &it) {
                    it.onLinkDown(link);
                    return GossipActions();
                  });
}

void GossipSimulation::freeze(std::size_t i, Duration span) {
  Nodes[i].FrozenUntil = Scheduler.now() + span;
}

void GossipSimulation::setOutage(Duration span) {
  for (std::size_t i = 0; i < Nodes.size(); i += NodesPerDataCentre)
    cutFromPlatform(i / NodesPerDataCentre, span);
}

void GossipSimulation::cutFromPlatform(std::size_t dataCentre, Duration span) {
  CutUntil[dataCentre] = Scheduler.now() + span;
  std::erase_if(Held, [&](const HeldWatch &it) {
    return it.Caller / NodesPerDataCentre == dataCentre;
  });
}

void GossipSimulation::cutNodeFromPlatform(std::size_t i, Duration span) {
  Nodes[i].CutUntil = Scheduler.now() + span;
  std::erase_if(Held, [&](const HeldWatch &it) { return it.Caller == i; });
}

void GossipSimulation::loseReplies(Duration span) {
  RepliesLostUntil = Scheduler.now() + span;
}

Duration GossipSimulation::drawDetectionTime(Duration least, Duration most) {
  auto spread = std::uint64_t((most - least).count()) + 1;
  return least + Duration(Scheduler.below(spread));
}

/// Lets \p watch end without a reply.
void GossipSimulation::loseWatch(const HeldWatch &watch, Duration after) {
  KvReply lost;
  lost.Code = ResultCode::PlatformTimeout;
  Scheduler.at(Scheduler.now() + after, [this, watch, lost] {
    if (Nodes[watch.Caller].IncarnationNumber == watch.IncarnationNumber)
      Nodes[watch.Caller].HasSilentStore = false;
    reply(watch, lost);
  });
}

void GossipSimulation::closeSilentLink(std::size_t from, std::size_t to,
                                       Duration after) {
  LinkId id = makeLinkId(from, Links[{from, to}].Generation);
  Scheduler.at(Scheduler.now() + after, [this, from, to, id] {
    Link &link = Links[{from, to}];
    if (makeLinkId(from, link.Generation) != id)
      return;
    ++link.Generation;
    link.IsSilent = false;
    EndpointId peer = Nodes[to].Id.Endpoint;
    deliverToNode(from, Nodes[from].IncarnationNumber,
                  [this, peer](GossipNode &it) {
                    return it.onPeerDown(peer, Scheduler.now());
                  });
  });
}

void GossipSimulation::silence() {
  SilentSince = Scheduler.now();
  for (Node &it : Nodes)
    it.HasSilentStore = true;
  for (const HeldWatch &it : std::exchange(Held, {}))
    loseWatch(it, drawDetectionTime(TcpKeepAlive::ProbeTimeout,
                                    TcpKeepAlive::DetectionTime));
  for (auto &[ends, link] : Links) {
    link.IsSilent = true;
    // While nothing else arrives, the peer is pinged at this interval.
    Duration sinceReply =
        (SilentSince - link.HeardAt) % LinkKeepAlive::IdleTime;
    closeSilentLink(ends.first, ends.second,
                    LinkKeepAlive::DetectionTime - sinceReply);
  }
}

bool GossipSimulation::canReachPlatform(std::size_t i) const {
  if (Scheduler.now() < Nodes[i].CutUntil)
    return false;
  auto cut = CutUntil.find(i / NodesPerDataCentre);
  return cut == CutUntil.end() || cut->second <= Scheduler.now();
}

bool GossipSimulation::isInForce(SharedKey key, Revision at) const {
  return std::all_of(Nodes.begin(), Nodes.end(), [&](const Node &it) {
    return it.IncarnationNumber == 0 || it.Machine->copy(key).revision() >= at;
  });
}

Duration GossipSimulation::awaitInForce(SharedKey key, Revision at,
                                        Duration limit) {
  TimePoint began = Scheduler.now();
  while (!isInForce(key, at) && Scheduler.now() - began < limit)
    Scheduler.runUntil(Scheduler.now() + Step);
  return Scheduler.now() - began;
}

std::vector<std::size_t>
GossipSimulation::findWatchers(std::size_t dataCentre) const {
  std::vector<std::size_t> out;
  std::size_t first = dataCentre * NodesPerDataCentre;
  for (std::size_t i = first; i < first + NodesPerDataCentre; ++i)
    if (Nodes[i].IncarnationNumber != 0 && Nodes[i].Machine->isWatcher())
      out.push_back(i);
  return out;
}

std::size_t GossipSimulation::nodeOf(const EndpointId &id) const {
  return std::stoul(id.get().substr(1));
}

void GossipSimulation::deliverToNode(
    std::size_t i, std::uint64_t incarnation,
    const std::function<GossipActions(GossipNode &)> &input) {
  Node &node = Nodes[i];
  if (incarnation == 0 || node.IncarnationNumber != incarnation)
    return;
  if (Scheduler.now() < node.FrozenUntil) {
    Scheduler.at(node.FrozenUntil, [this, i, incarnation, input] {
      deliverToNode(i, incarnation, input);
    });
    return;
  }
  apply(i, input(*node.Machine));
}

void GossipSimulation::apply(std::size_t i, const GossipActions &actions) {
  for (const GossipAction &action : actions)
    std::visit([this, i](const auto &it) { perform(i, it); }, action);
  setTimer(i);
}

void GossipSimulation::setTimer(std::size_t i) {
  TimePoint due = Nodes[i].Machine->nextTimer();
  Scheduler.at(due, [this, i, incarnation = Nodes[i].IncarnationNumber, due] {
    if (Nodes[i].IncarnationNumber != incarnation ||
        Nodes[i].Machine->nextTimer() != due)
      return;
    deliverToNode(i, incarnation, [this](GossipNode &it) {
      return it.onTimer(Scheduler.now());
    });
  });
}

void GossipSimulation::count(std::size_t i, const GossipMessage &message) {
  Nodes[i].BytesOut += SizeOf(message);
  ++Nodes[i].MessagesOut;
}

/// Identifies the link also after its node was restarted or opened it again.
LinkId GossipSimulation::makeLinkId(std::size_t from,
                                    std::uint64_t generation) const {
  return LinkId((Nodes[from].IncarnationNumber * LinksPerIncarnation +
                 generation % LinksPerIncarnation) *
                    NodesPerIncarnation +
                from);
}

template <typename Body>
void GossipSimulation::sendOnOwnLink(std::size_t i, const EndpointId &to,
                                     const Body &body) {
  count(i, body);
  std::size_t k = nodeOf(to);
  const Link &used = Links[{i, k}];
  if (used.IsSilent) {
    // What is sent is never acknowledged.
    closeSilentLink(i, k, LinkKeepAlive::ReplyTimeout);
    return;
  }
  LinkId link = makeLinkId(i, used.Generation);
  Scheduler.runUnreliably(LossPercent, [this, k, link, body] {
    deliverToNode(k, Nodes[k].IncarnationNumber,
                  [this, link, body](GossipNode &it) {
                    return it.onMessage(link, body, Scheduler.now());
                  });
  });
}

template <typename Body>
void GossipSimulation::replyOnLink(std::size_t i, LinkId to, const Body &body) {
  count(i, body);
  std::size_t k = to.get() % NodesPerIncarnation;
  std::uint64_t incarnation =
      to.get() / NodesPerIncarnation / LinksPerIncarnation;
  Link &used = Links[{k, i}];
  if (used.IsSilent || makeLinkId(k, used.Generation) != to)
    return;
  used.HeardAt = Scheduler.now();
  EndpointId from = Nodes[i].Id.Endpoint;
  Scheduler.runUnreliably(LossPercent, [this, k, incarnation, from, body] {
    deliverToNode(k, incarnation, [this, from, body](GossipNode &it) {
      return it.onPeerReply(from, body, Scheduler.now());
    });
  });
}

void GossipSimulation::perform(std::size_t i, const SendDigestTo &action) {
  sendOnOwnLink(i, action.To, action.Body);
}

void GossipSimulation::perform(std::size_t i, const SendUpdateTo &action) {
  sendOnOwnLink(i, action.To, action.Body);
}

void GossipSimulation::perform(std::size_t i, const ReplyDigest &action) {
  replyOnLink(i, action.To, action.Body);
}

void GossipSimulation::perform(std::size_t i, const ReplyUpdate &action) {
  replyOnLink(i, action.To, action.Body);
}

void GossipSimulation::perform(std::size_t i,
                               const CallKeyValueStoreForGossip &action) {
  ++PlatformCalls;
  HeldWatch watch{i, Nodes[i].IncarnationNumber, action.Request.Id,
                  std::get<KvWatch>(action.Request.Call), Scheduler.now()};
  Scheduler.runSoon([this, watch] { hold(watch); });
}

/// Replies at once if there is a newer value, else at the next write or when
/// the wait is over.
void GossipSimulation::hold(HeldWatch watch) {
  if (!canReachPlatform(watch.Caller)) {
    loseReply(watch);
    return;
  }
  bool isOnKept =
      Scheduler.now() - SilentSince <= PlatformClient::MaxIdleBeforeWatch;
  if (Nodes[watch.Caller].HasSilentStore && isOnKept) {
    loseWatch(watch, TcpKeepAlive::UnackedTimeout);
    return;
  }
  KvReply value = Values.at(watch.Call.Key);
  // A first read may be stale; see ListReader.
  value.MayBeStale = watch.Call.After == Revision(0);
  if (value.At > watch.Call.After) {
    answer(watch, value);
    return;
  }
  KvReply nothing;
  nothing.Code = ResultCode::NotFound;
  if (watch.Call.Wait == Duration::zero()) {
    answer(watch, nothing);
    return;
  }
  nothing.HasWaitedInVain = true;
  Held.push_back(watch);
  Scheduler.at(Scheduler.now() + watch.Call.Wait, [this, watch, nothing] {
    auto isSame = [&](const HeldWatch &held) {
      return held.Caller == watch.Caller &&
             held.IncarnationNumber == watch.IncarnationNumber &&
             held.Id == watch.Id;
    };
    if (std::erase_if(Held, isSame) > 0)
      answer(watch, nothing);
  });
  // A watch that is dropped by a cut times out at its caller. If the watch was
  // replied to, the timeout is a second reply, which has no effect.
  loseReply(watch);
}

Duration GossipSimulation::timeLimitOf(const HeldWatch &watch) const {
  if (watch.Call.Wait == Duration::zero())
    return CallTimeout;
  return watch.Call.Wait +
         std::min(CallTimeout, PlatformClient::WatchReplyTimeout);
}

/// Lets \p watch end at its time limit.
void GossipSimulation::loseReply(const HeldWatch &watch) {
  KvReply lost;
  lost.Code = ResultCode::PlatformTimeout;
  Scheduler.at(watch.CalledAt + timeLimitOf(watch),
               [this, watch, lost] { reply(watch, lost); });
}

void GossipSimulation::answer(const HeldWatch &watch, const KvReply &value) {
  if (Scheduler.now() < RepliesLostUntil)
    loseReply(watch);
  else
    reply(watch, value);
}

void GossipSimulation::reply(const HeldWatch &watch, const KvReply &value) {
  Scheduler.runSoon([this, watch, value] {
    deliverToNode(watch.Caller, watch.IncarnationNumber,
                  [this, watch, value](GossipNode &it) {
                    return it.onKvReply(watch.Id, value, Scheduler.now());
                  });
  });
}

void GossipSimulation::perform(std::size_t i, const CopyChanged &action) {
  const KeyFollower &copy = Nodes[i].Machine->copy(action.Key);
  Revision &seen = Nodes[i].Seen[static_cast<std::size_t>(action.Key)];
  if (copy.revision() <= seen || History.at(copy.revision()) != copy.value())
    ++Violations;
  seen = copy.revision();
  if (action.Key == SharedKey::Hosts)
    Nodes[i].Machine->setPeers(parseHosts(copy.value()).value().Endpoints);
}
