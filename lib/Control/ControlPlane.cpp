//===- ControlPlane.cpp - control thread of a process ---------------------===//
//
// Passes messages, replies and timers to the GossipNode and performs the
// actions that it returns.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Control/ControlPlane.h"

#include "ospreyspur/Config/EventSchedule.h"
#include "ospreyspur/Support/LogEvent.h"

#include <glog/logging.h>

#include <ctime>

using namespace ospreyspur;

/// Links to random peers are rarely used again, so unused ones are closed after
/// this time.
static constexpr Duration UnusedLinkTimeout = std::chrono::seconds(10);

/// Unreadable hosts of one list that are logged.
static constexpr std::size_t MaxLoggedHosts = 20;

ControlPlane::ControlPlane(boost::asio::io_context &ioc,
                           PlatformClient &platform, const GossipIdentity &self,
                           const std::vector<std::string> &peers,
                           std::uint64_t seed, ControlHandlers handlers)
    : Platform(platform), Handlers(std::move(handlers)),
      Node(self, GossipLimits(), seed), Timer(ioc, [this] { onTimer(); }),
      EventTimer(ioc),
      Peers(ioc, {[this](const EndpointId &from, const Message &message) {
                    onPeerReply(from, message);
                  },
                  [this](const EndpointId &peer) {
                    apply(Node.onPeerDown(peer, monotonicNow()));
                  }}) {
  // Until the host list is known, an agent's address serves as its endpoint id.
  std::vector<EndpointView> first;
  first.reserve(peers.size());
  for (const std::string &it : peers)
    first.push_back({EndpointId(it), {}, self.DataCentre, it, {}, false});
  setPeers(first);
}

void ControlPlane::start() { onTimer(); }

const std::string &ControlPlane::configText() const {
  return Node.copy(SharedKey::Config).value();
}

void ControlPlane::onTimer() {
  TimePoint now = monotonicNow();
  Peers.closeUnused(now - UnusedLinkTimeout);
  apply(Node.onTimer(now));
}

void ControlPlane::apply(const GossipActions &actions) {
  for (const GossipAction &action : actions)
    std::visit([this](const auto &it) { perform(it); }, action);
  // Replies of peers can make the node ready without a new copy.
  if (!HasPublished)
    publish();
  Log.logSource();
  Timer.set(Node.nextTimer());
}

void ControlPlane::perform(const SendDigestTo &action) {
  Peers.send(action.To, action.Body, monotonicNow());
}

void ControlPlane::perform(const SendUpdateTo &action) {
  Peers.send(action.To, action.Body, monotonicNow());
}

void ControlPlane::perform(const ReplyDigest &action) {
  Handlers.SendReply(action.To, action.Body);
}

void ControlPlane::perform(const ReplyUpdate &action) {
  Handlers.SendReply(action.To, action.Body);
}

void ControlPlane::perform(const CallKeyValueStoreForGossip &action) {
  KvCallId id = action.Request.Id;
  auto onReply = [this, id](const KvReply &reply) {
    apply(Node.onKvReply(id, reply, monotonicNow()));
  };
  const auto &watch = std::get<KvWatch>(action.Request.Call);
  bool isConfig = watch.Key == Node.copy(SharedKey::Config).key();
  Log.logRead(isConfig ? SharedKey::Config : SharedKey::Hosts, monotonicNow());
  Platform.call(action.Request.Call, CallTimeout, onReply);
}

void ControlPlane::perform(const CopyChanged &action) {
  if (action.Key == SharedKey::Config)
    applyConfig();
  else
    applyHosts();
}

void ControlPlane::onMessage(LinkId from, const Message &message) {
  TimePoint now = monotonicNow();
  if (const auto *digest = std::get_if<GossipDigest>(&message))
    apply(Node.onMessage(from, *digest, now));
  else if (const auto *update = std::get_if<GossipUpdate>(&message))
    apply(Node.onMessage(from, *update, now));
}

void ControlPlane::onPeerReply(const EndpointId &from, const Message &message) {
  TimePoint now = monotonicNow();
  if (const auto *digest = std::get_if<GossipDigest>(&message))
    apply(Node.onPeerReply(from, *digest, now));
  else if (const auto *update = std::get_if<GossipUpdate>(&message))
    apply(Node.onPeerReply(from, *update, now));
}

void ControlPlane::setPeers(const std::vector<EndpointView> &peers) {
  std::map<EndpointId, std::string> addresses;
  for (const EndpointView &it : peers)
    addresses.emplace(it.Id, it.Address);
  Peers.setAddresses(std::move(addresses));
  Node.setPeers(peers);
}

void ControlPlane::applyConfig() {
  Revision at = Node.copy(SharedKey::Config).revision();
  Result<ConfigDocument> document = parseConfig(configText());
  if (!document) {
    LOG(ERROR) << LogEvent("config.unreadable")
                      .with("revision", at.get())
                      .with("code",
                            static_cast<unsigned>(document.error().Code))
                      .with("detail", document.error().Detail);
    return;
  }
  Document = std::move(document.value());
  ConfigInForce = at;
  LOG(INFO) << LogEvent("config.in_force").with("revision", at.get());
  publish();
}

void ControlPlane::applyHosts() {
  const KeyFollower &copy = Node.copy(SharedKey::Hosts);
  Result<HostList> hosts = parseHosts(copy.value());
  if (!hosts) {
    LOG(ERROR) << LogEvent("hosts.unreadable")
                      .with("revision", copy.revision().get())
                      .with("detail", hosts.error().Detail);
    return;
  }
  std::vector<std::string> &skipped = hosts.value().Skipped;
  if (skipped.size() > MaxLoggedHosts)
    skipped.resize(MaxLoggedHosts);
  for (const std::string &it : skipped)
    LOG(ERROR) << LogEvent("host.unreadable")
                      .with("revision", copy.revision().get())
                      .with("detail", it);
  Endpoints = std::move(hosts.value().Endpoints);
  HostsInForce = copy.revision();
  setPeers(Endpoints);
  LOG(INFO) << LogEvent("hosts.in_force")
                   .with("revision", hostsRevision().get())
                   .with("endpoints", Endpoints.size());
  publish();
}

void ControlPlane::publish() {
  bool hasBoth = ConfigInForce.get() > 0 && HostsInForce.get() > 0;
  if (!hasBoth || !Node.isReady())
    return;
  std::int64_t now = std::time(nullptr);
  auto snapshot =
      std::make_shared<RoutingSnapshot>(makeSnapshot(Document, Endpoints, now));
  snapshot->ConfigRevision = ConfigInForce;
  snapshot->HostsRevision = HostsInForce;
  HasPublished = true;
  Handlers.OnSnapshot(std::move(snapshot));
  waitForEvent(now);
}

/// Publishes another snapshot when an event next starts or ends.
void ControlPlane::waitForEvent(std::int64_t nowUnix) {
  EventTimer.cancel();
  std::optional<std::int64_t> next = findNextEventChange(Document, nowUnix);
  if (!next)
    return;
  EventTimer.expires_at(std::chrono::system_clock::from_time_t(*next));
  EventTimer.async_wait([this](boost::system::error_code ec) {
    if (!ec)
      publish();
  });
}
