//===- DirectControl.cpp - control thread of the direct path --------------===//
//
// Passes messages, replies and timers to the state machines and performs the
// actions that they return.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Control/DirectControl.h"

#include "ospreyspur/Direct/EndpointDocument.h"
#include "ospreyspur/Direct/EndpointSubset.h"
#include "ospreyspur/Support/LogEvent.h"
#include "platform/ConfigWire.h"
#include "platform/EndpointWire.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <utility>

using namespace ospreyspur;
namespace asio = boost::asio;

/// Links to random peers are rarely used again, so unused ones are closed after
/// this time.
static constexpr Duration UnusedLinkTimeout = std::chrono::seconds(10);

/// Longest backoff between two calls while the store does not reply. Within
/// three seconds after the store is back a process must have the changes that
/// it missed.
static constexpr Duration LongestBackoff = std::chrono::milliseconds(1000);

GossipLimits ospreyspur::makeDirectGossipLimits() {
  GossipLimits limits;
  // A shorter wait costs more calls, and each watch is billed as one call.
  limits.WatchWait = std::chrono::milliseconds(1400);
  // Confirmations are due at the end of each watch.
  limits.MaxAge = Duration::zero();
  limits.MaxAgeJitter = Duration::zero();
  limits.Follower.MaxBackoff = LongestBackoff;
  return limits;
}

static GossipIdentity makeIdentity(const DirectSettings &settings) {
  return {EndpointId(settings.Name),
          DataCentreId(settings.DataCentre),
          {platform::ConfigDocumentKey, platform::EndpointKeyPrefix}};
}

DirectControl::DirectControl(asio::io_context &ioc,
                             const DirectSettings &settings, Metrics &metrics,
                             std::uint64_t seed, Handler onSnapshot)
    : Context(ioc), Settings(settings), OnSnapshot(std::move(onSnapshot)),
      Platform(ioc, parseAddress(settings.PlatformAddress).value(), metrics),
      Reader(Platform), ConfigSource(Platform),
      Node(makeIdentity(settings), makeDirectGossipLimits(), seed),
      Registry({settings.Name, DataCentreId(settings.DataCentre),
                settings.LinkListen, settings.loadListen()}),
      Quarantine(ioc, Platform, seed,
                 [this](std::vector<RequestDigest> restored) {
                   Restored = std::move(restored);
                   publish();
                 }),
      Timer(ioc, [this] { onTimer(); }),
      RegistryTimer(ioc, [this] { onRegistryTimer(); }),
      ListTimer(ioc, [this] { onListTimer(); }),
      Server({[this](LinkId from, const std::vector<Message> &messages) {
                asio::post(Context, [this, from, messages] {
                  for (const Message &it : messages)
                    onMessage(from, it);
                });
              },
              [this](LinkId link) {
                asio::post(Context, [this, link] { Node.onLinkDown(link); });
              }}),
      Peers(ioc, {[this](const EndpointId &from, const Message &message) {
                    onPeerReply(from, message);
                  },
                  [this](const EndpointId &peer) { onPeerDown(peer); }}) {}

Result<void> DirectControl::start() {
  Result<void> listening = Server.listen(Settings.LinkListen);
  if (!listening)
    return listening;
  updatePeers();
  onTimer();
  onRegistryTimer();
  Quarantine.start();
  return boost::outcome_v2::success();
}

void DirectControl::onTimer() {
  TimePoint now = monotonicNow();
  Peers.closeUnused(now - UnusedLinkTimeout);
  apply(Node.onTimer(now));
}

void DirectControl::onRegistryTimer() {
  TimePoint now = monotonicNow();
  if (std::optional<KvCall> call = Registry.nextWrite(now))
    Platform.call(std::move(*call), CallTimeout, [this](const KvReply &reply) {
      Registry.onWritten(reply, monotonicNow());
      RegistryTimer.set(Registry.nextTimer());
    });
  if (std::optional<KvCall> call = Registry.nextRead(now))
    Platform.call(std::move(*call), CallTimeout, [this](const KvReply &reply) {
      if (Registry.onRead(reply, monotonicNow())) {
        updatePeers();
        publish();
      }
      for (const std::string &it : Registry.takeSkippedKeys())
        LOG(ERROR) << LogEvent("node.unreadable").with("key", it);
      RegistryTimer.set(Registry.nextTimer());
    });
  RegistryTimer.set(Registry.nextTimer());
}

void DirectControl::onListTimer() {
  if (Endpoints.onTimer(monotonicNow()))
    publish();
  ListTimer.set(Endpoints.nextTimer());
}

void DirectControl::setQuarantine(std::vector<RequestDigest> quarantined,
                                  const std::vector<RequestDigest> &cleared) {
  Quarantine.setLocalQuarantine(std::move(quarantined), cleared);
}

void DirectControl::apply(const GossipActions &actions) {
  for (const GossipAction &action : actions)
    std::visit([this](const auto &it) { perform(it); }, action);
  Log.logSource();
  Timer.set(Node.nextTimer());
}

void DirectControl::perform(const SendDigestTo &action) {
  Peers.send(action.To, action.Body, monotonicNow());
}

void DirectControl::perform(const SendUpdateTo &action) {
  Peers.send(action.To, action.Body, monotonicNow());
}

void DirectControl::perform(const ReplyDigest &action) {
  Server.send(action.To, action.Body);
}

void DirectControl::perform(const ReplyUpdate &action) {
  Server.send(action.To, action.Body);
}

void DirectControl::perform(const CallKeyValueStoreForGossip &action) {
  KvCallId id = action.Request.Id;
  auto onReply = [this, id](const KvReply &reply) {
    ChangeSource = "store";
    apply(Node.onKvReply(id, reply, monotonicNow()));
  };
  const auto &watch = std::get<KvWatch>(action.Request.Call);
  bool isList = watch.Key == platform::EndpointKeyPrefix;
  Log.logRead(isList ? SharedKey::Hosts : SharedKey::Config, monotonicNow());
  auto ask = [this, isList, wait = watch.Wait,
              onReply]() -> asio::awaitable<void> {
    if (isList)
      onReply(co_await Reader.ask(wait, CallTimeout));
    else
      onReply(co_await ConfigSource.ask(Node.copy(SharedKey::Config), wait,
                                        CallTimeout));
  };
  // The captures of a coroutine lambda are destroyed with the lambda, so the
  // lambda is kept alive until the coroutine ends.
  auto kept = std::make_shared<decltype(ask)>(std::move(ask));
  asio::co_spawn(Context, (*kept)(), [kept](const std::exception_ptr &) {});
}

void DirectControl::perform(const CopyChanged &action) {
  if (action.Key == SharedKey::Config)
    applyConfig();
  else
    applyEndpoints();
}

void DirectControl::onMessage(LinkId from, const Message &message) {
  TimePoint now = monotonicNow();
  ChangeSource = "subscriber";
  if (const auto *digest = std::get_if<GossipDigest>(&message))
    apply(Node.onMessage(from, *digest, now));
  else if (const auto *update = std::get_if<GossipUpdate>(&message))
    apply(Node.onMessage(from, *update, now));
}

void DirectControl::onPeerReply(const EndpointId &from,
                                const Message &message) {
  TimePoint now = monotonicNow();
  ChangeSource = from.get();
  auto it = LinksUp.emplace(from, true).first;
  if (!std::exchange(it->second, true))
    LOG(INFO) << LogEvent("link.up").with("peer", from.get());
  if (const auto *digest = std::get_if<GossipDigest>(&message))
    apply(Node.onPeerReply(from, *digest, now));
  else if (const auto *update = std::get_if<GossipUpdate>(&message))
    apply(Node.onPeerReply(from, *update, now));
}

void DirectControl::onPeerDown(const EndpointId &peer) {
  // Only the loss of a link that had carried a reply is logged.
  auto it = LinksUp.find(peer);
  if (it != LinksUp.end() && std::exchange(it->second, false))
    LOG(INFO) << LogEvent("link.down").with("peer", peer.get());
  apply(Node.onPeerDown(peer, monotonicNow()));
}

/// Uses the registered processes as peers, or those of the settings while no
/// other process is registered.
void DirectControl::updatePeers() {
  std::map<EndpointId, std::string> addresses;
  std::vector<EndpointView> views;
  auto add = [&](const std::string &name, const DataCentreId &dataCentre,
                 const std::string &address) {
    addresses.emplace(EndpointId(name), address);
    views.push_back({EndpointId(name), {}, dataCentre, address, {}, false});
  };
  DataCentreId own(Settings.DataCentre);
  std::vector<NodeRecord> nodes = Registry.others();
  for (const NodeRecord &it : nodes)
    add(it.Name, it.DataCentre, it.LinkAddress);
  if (nodes.empty())
    for (const std::string &it : Settings.Peers)
      if (it != Settings.LinkListen)
        add(it, own, it);
  add(Settings.Name, own, Settings.LinkListen);
  std::erase_if(LinksUp,
                [&](const auto &it) { return !addresses.contains(it.first); });
  Peers.setAddresses(std::move(addresses));
  Node.setPeers(views);
}

/// Milliseconds since the store was last known to hold \p copy; -1 if only a
/// stale read returned it.
static std::int64_t ageMillis(const KeyFollower &copy) {
  if (copy.confirmedAt() == TimePoint())
    return -1;
  return toMillis(monotonicNow() - copy.confirmedAt());
}

void DirectControl::applyConfig() {
  const KeyFollower &copy = Node.copy(SharedKey::Config);
  auto logUnreadable = [&copy](const Error &error) {
    LOG(ERROR) << LogEvent("config.unreadable")
                      .with("revision", copy.revision().get())
                      .with("code", static_cast<unsigned>(error.Code))
                      .with("detail", error.Detail);
  };
  Result<OperatorState> state = parseOperatorState(copy.value());
  if (!state) {
    logUnreadable(state.error());
    return;
  }
  setDrained(std::move(state.value().Drained));
  Result<FleetConfig> config = platform::readConfig(state.value().Config);
  if (!config) {
    logUnreadable(config.error());
    publish();
    return;
  }
  Config = std::make_shared<const FleetConfig>(std::move(config.value()));
  LOG(INFO) << LogEvent("config.in_force")
                   .with("revision", copy.revision().get())
                   .with("version", Config->Version)
                   .with("routes", Config->Routes.size())
                   .with("from", ChangeSource)
                   .with("age_ms", ageMillis(copy));
  publish();
}

/// Logs one line for each data centre whose drain begins or ends.
void DirectControl::setDrained(std::set<DataCentreId> drained) {
  const KeyFollower &copy = Node.copy(SharedKey::Config);
  auto log = [this, &copy](const char *event, const DataCentreId &dataCentre) {
    LOG(INFO) << LogEvent(event)
                     .with("data_centre", dataCentre.get())
                     .with("revision", copy.revision().get())
                     .with("age_ms", ageMillis(copy))
                     .with("from", ChangeSource);
  };
  for (const DataCentreId &it : drained)
    if (!Drained.contains(it))
      log("drain.in_force", it);
  for (const DataCentreId &it : Drained)
    if (!drained.contains(it))
      log("drain.ended", it);
  Drained = std::move(drained);
}

void DirectControl::applyEndpoints() {
  const KeyFollower &copy = Node.copy(SharedKey::Hosts);
  Result<std::vector<EndpointRecord>> records = parseEndpoints(copy.value());
  if (!records) {
    LOG(ERROR) << LogEvent("endpoints.unreadable")
                      .with("revision", copy.revision().get())
                      .with("detail", records.error().Detail);
    return;
  }
  Endpoints.replace(records.value(), monotonicNow());
  HasEndpoints = true;
  LOG(INFO) << LogEvent("endpoints.in_force")
                   .with("revision", copy.revision().get())
                   .with("endpoints", records.value().size())
                   .with("from", ChangeSource)
                   .with("age_ms", ageMillis(copy));
  ListTimer.set(Endpoints.nextTimer());
  publish();
}

/// Logs one line for each change of the entries that share this entry's subset.
void DirectControl::logSubset(const EndpointSubset &subset,
                              const std::vector<ListedEndpoint> &endpoints) {
  std::size_t sharing = subset.sharing().size();
  if (std::exchange(LoggedSharing, sharing) == sharing)
    return;
  auto inside = std::count_if(endpoints.begin(), endpoints.end(),
                              [](const auto &it) { return !it.IsOutside; });
  LOG(INFO) << LogEvent("subset.in_force")
                   .with("whole", subset.isWhole())
                   .with("entries", sharing + 1)
                   .with("endpoints", inside)
                   .with("outside", std::ssize(endpoints) - inside);
}

void DirectControl::publish() {
  if (!Config || !HasEndpoints)
    return;
  auto snapshot = std::make_shared<DirectSnapshot>();
  snapshot->Config = Config;
  snapshot->Endpoints = Endpoints.endpoints();
  for (ListedEndpoint &it : snapshot->Endpoints)
    it.IsDrained = Drained.contains(it.Record.DataCentre);
  snapshot->Nodes = Registry.others();
  EndpointSubset subset(Registry.self(), snapshot->Nodes);
  subset.markOutside(snapshot->Endpoints);
  if (!subset.isWhole())
    snapshot->Sharing = subset.sharing();
  logSubset(subset, snapshot->Endpoints);
  snapshot->HasNodeList = Registry.hasRead();
  snapshot->Restored = std::exchange(Restored, {});
  HasPublished = true;
  OnSnapshot(std::move(snapshot));
}
