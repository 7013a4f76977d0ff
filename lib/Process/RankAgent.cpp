//===- RankAgent.cpp - an agent beside one rank of a group ----------------===//
//
// See RankAgent.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/RankAgent.h"

#include "ospreyspur/Rpc/Codec.h"
#include "ospreyspur/Support/LogEvent.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <glog/logging.h>

using namespace ospreyspur;
namespace asio = boost::asio;

/// Time between two status queries to the rank; about one step. Queries on the
/// same host are not charged for.
static constexpr Duration ReadInterval = std::chrono::milliseconds(60);
/// Share of the coordinator's link that a group's demand samples may use. The
/// link also carries the group's orders, which must not be delayed.
static constexpr double SampleShare = 0.2;
/// The share for a group so large that with SampleShare its ranks would be
/// sampled too rarely. In the platform's large deployment a rank is then
/// sampled every 0.8 s instead of every 2 s.
static constexpr double LargestSampleShare = 0.5;
/// Share of the coordinator's link that maps may use. Maps are outgoing traffic
/// and samples incoming, so the shares do not add up.
static constexpr double MapShare = 0.4;
/// Period over which the agents of a group that start together spread their
/// first read of the group's lease; a read takes some 5 ms.
static constexpr Duration JoinSpread = std::chrono::milliseconds(100);
/// How long a coordinator acts without current reports of all ranks before it
/// verifies its lease at the store.
static constexpr Duration MaxIncomplete = std::chrono::milliseconds(2000);
/// How long an agent that tried to take a stalled group over lets the new
/// coordinator recover the group before the agent may try again.
static constexpr Duration TakeoverTime = std::chrono::milliseconds(1500);

/// Interval between two queries of a member to its coordinator, short enough
/// for two replies between two reads of the group's lease. If both are lost,
/// the member reads the lease.
static constexpr Duration CoordinatorQueryInterval =
    std::chrono::milliseconds(700);
/// Longest time between two reads of the group's lease by one member. A group
/// of 96 then reads its lease eight times a second in all.
static constexpr Duration MaxLeaseReadInterval = std::chrono::seconds(12);

/// Bytes per second in \p share of this host's link; 0 if the link's bandwidth
/// is not known.
static double linkBytes(const RankSettings &settings, double share) {
  constexpr double BytesPerMegabit = 1e6 / 8;
  return settings.LinkMbps * BytesPerMegabit * share;
}

static SampleLimits makeSampleLimits(const RankSettings &settings) {
  SampleLimits limits;
  limits.BytesPerSecond = linkBytes(settings, SampleShare);
  limits.MaxBytesPerSecond = linkBytes(settings, LargestSampleShare);
  return limits;
}

LeaseLimits ospreyspur::makeRankLeaseLimits() {
  LeaseLimits limits;
  limits.Span = std::chrono::seconds(3);
  limits.Margin = std::chrono::milliseconds(700);
  limits.RenewEvery = std::chrono::milliseconds(900);
  limits.RetryEvery = std::chrono::milliseconds(1500);
  limits.MaxReadInterval = MaxLeaseReadInterval;
  limits.CallTimeout = std::chrono::milliseconds(900);
  limits.ActsDuringOutage = true;
  limits.TakesOverOwnLease = true;
  return limits;
}

RankAgent::RankAgent(asio::io_context &ioc, const RankSettings &settings,
                     Metrics &metrics, std::uint64_t seed)
    : Context(ioc), Settings(settings), Measures(metrics), Random(seed),
      Platform(ioc, parseAddress(settings.PlatformAddress).value(), metrics),
      Rank(ioc, parseAddress(settings.EndpointAddress).value()),
      Sampler(makeSampleLimits(settings)),
      Switch(SwitchLimits(), settings.ChecksFences), Demand(DemandLimits()),
      MapQueue(linkBytes(settings, MapShare)), Timer(ioc, [this] { tick(); }),
      LeaseTimer(ioc, [this] { updateLease(); }),
      OrderTimer(ioc, [this] { onOrderTimer(); }),
      Server({[this](LinkId from, const std::vector<Message> &messages) {
                asio::post(Context, [this, from, messages] {
                  for (const Message &it : messages)
                    onMessage(from, it);
                });
              },
              [](LinkId) {}}),
      Peers(ioc, {[this](const EndpointId &from, const Message &message) {
                    onCoordinatorMessage(from, message);
                  },
                  [this](const EndpointId &) { Filter.reset(); }}) {}

/// Handles messages from the agents that report to this one.
void RankAgent::onMessage(LinkId from, const Message &message) {
  if (const auto *status = std::get_if<RankStatus>(&message))
    takeStatus(*status, from);
  else if (const auto *reply = std::get_if<MapOrderReply>(&message))
    onReply(from, *reply);
  else if (const auto *check = std::get_if<LeaderCheck>(&message)) {
    bool isOurs = Member && Member->Group == check->Group;
    if (isOurs && Switch.isLeading())
      Server.send(from, *check);
  }
}

/// Handles messages that agents send on this agent's outgoing links. A sender
/// may be an earlier coordinator; forwardOrder() refuses orders of an earlier
/// lease.
void RankAgent::onCoordinatorMessage(const EndpointId &from,
                                     const Message &message) {
  if (const auto *order = std::get_if<MapOrder>(&message)) {
    MapOrder fullOrder = *order;
    if (LastMap.complete(fullOrder))
      spawn(forwardOrder(from, std::move(fullOrder)));
    else
      LOG(INFO) << LogEvent("order.incomplete")
                       .with("from", from.get())
                       .with("version", order->Version.get())
                       .with("base", order->Delta->Base.get());
  } else if (std::holds_alternative<LeaderCheck>(message) && Member &&
             from.get() == Member->Lease.holder()) {
    TimePoint now = monotonicNow();
    Coordinator.onQueryReply(now);
    Member->Lease.onHolderReply(now);
    LeaseTimer.set(Member->Lease.nextTimer());
  }
}

Result<void> RankAgent::start() {
  Result<void> listening = Server.listen(Settings.linkListen());
  if (!listening)
    return listening;
  tick();
  return boost::outcome_v2::success();
}

void RankAgent::stop() {
  IsStopped = true;
  if (Member)
    Member->Lease.stop();
  Server.stop();
}

void RankAgent::spawn(asio::awaitable<void> task) {
  asio::co_spawn(Context, std::move(task), [](const std::exception_ptr &) {});
}

void RankAgent::tick() {
  TimePoint now = monotonicNow();
  Timer.set(now + ReadInterval);
  Consent.onActive(now);
  checkLease(now);
  if (!IsReading)
    spawn(readRank());
  apply(Switch.onTimer(now));
  considerPlan();
}

void RankAgent::onOrderTimer() {
  TimePoint now = monotonicNow();
  Consent.onActive(now);
  checkLease(now);
  apply(Switch.onTimer(now));
}

/// Checks whether this agent still holds the group's lease. A coordinator that
/// lacks current reports of some rank for MaxIncomplete, or whose orders were
/// fenced, suspends its lease until the store confirms it: the missing ranks
/// may report to another coordinator.
void RankAgent::checkLease(TimePoint now) {
  if (Member && Member->Lease.isConfirmed(now))
    Consent.onConfirmed();
  bool isLeading = canCoordinate(now);
  if (Switch.isLeading() && !isLeading)
    updateLease();
  if (isLeading && canBypassAgents(now))
    bypassSilentAgents(now);
  bool isFenced = isLeading && !Switch.isLeading();
  if (!isLeading || (Switch.isComplete(now) && !isFenced)) {
    CompleteAt = now;
    return;
  }
  if (now - CompleteAt < MaxIncomplete && !isFenced)
    return;
  CompleteAt = now;
  Member->Lease.suspend(now);
  updateLease();
}

/// Whether this agent is its group's coordinator. While the store is
/// unavailable, a held lease is sufficient only if the ranks check fencing
/// tokens, as a later holder's orders then fence those of this one. Otherwise
/// all members must still follow this agent.
bool RankAgent::canCoordinate(TimePoint now) const {
  if (!Member || !Member->Lease.isHeld(now))
    return false;
  return Settings.ChecksFences || Member->Lease.isConfirmed(now) ||
         (OwnStatus && Consent.isFollowed(OwnStatus->Size,
                                          MemberConsent::MaxChangeTime, now));
}

/// Whether this agent may begin to change the map.
bool RankAgent::canBeginChange(TimePoint now) const {
  if (!canCoordinate(now))
    return false;
  return Settings.ChecksFences || Member->Lease.isConfirmed(now) ||
         (OwnStatus && Consent.isFollowed(OwnStatus->Size,
                                          MemberConsent::MaxReportAge, now));
}

/// Whether this coordinator may bypass the agents of ranks on other hosts.
/// Ranks that do not check fencing tokens accept the orders of an earlier
/// coordinator, which their agents refuse. So for these the lease must be
/// confirmed and an earlier coordinator must have stopped.
bool RankAgent::canBypassAgents(TimePoint now) const {
  if (Settings.ChecksFences)
    return true;
  return Member && Member->Lease.isConfirmed(now) &&
         now - CoordinatorSince >= MemberConsent::SuccessorWait;
}

asio::awaitable<void> RankAgent::readRank() {
  IsReading = true;
  TimePoint now = monotonicNow();
  Result<RankStatus> status = co_await Rank.readStatus(Sampler.isDue(now));
  IsReading = false;
  if (!status) {
    LOG_IF(WARNING, OwnStatus.has_value())
        << LogEvent("rank.lost").with("detail", status.error().Detail);
    OwnStatus.reset();
    co_return;
  }
  bool isChanged = !OwnStatus ||
                   OwnStatus->Formation != status.value().Formation ||
                   OwnStatus->IsOpen != status.value().IsOpen;
  LOG_IF(INFO, isChanged) << LogEvent(OwnStatus ? "rank.changed" : "rank.found")
                                 .with("group", status.value().Group.get())
                                 .with("rank", status.value().Rank)
                                 .with("formation",
                                       status.value().Formation.get())
                                 .with("open", status.value().IsOpen)
                                 .with("map", status.value().Map.get());
  OwnStatus = status.value();
  if (!OwnStatus->Counts.empty())
    OwnStatus->SampledCounts = Sampler.take(*OwnStatus, now);
  OwnStatus->Endpoint = Settings.EndpointAddress;
  if (!OwnStatus->Group.get().empty())
    onStatus(*OwnStatus);
}

void RankAgent::onStatus(const RankStatus &status) {
  bool isMember =
      Member && Member->Group == status.Group && Member->Rank == status.Rank;
  if (!isMember)
    join(status);
  TimePoint now = monotonicNow();
  if (canCoordinate(now)) {
    takeStatus(status, std::nullopt);
    return;
  }
  // An agent that holds the lease, confirmed or not, follows no coordinator.
  if (Member->Lease.isHeld(now))
    return;
  report(status);
  if (now >= NextCoordinatorQuery) {
    NextCoordinatorQuery = now + CoordinatorQueryInterval;
    queryCoordinator();
  }
  watchForStall(status);
}

/// If the group is stalled and its ranks check fencing tokens, queries the
/// coordinator, which may have crashed or frozen in the middle of a change, and
/// takes over its lease if CoordinatorWatch advises it.
void RankAgent::watchForStall(const RankStatus &status) {
  TimePoint now = monotonicNow();
  if (!Stall.isStalled(status, now)) {
    Coordinator.onProgress();
    return;
  }
  if (!Settings.ChecksFences)
    return;
  switch (Coordinator.onStalled(Member->Lease.holder(), status.Rank, now)) {
  case StallAdvice::Wait:
    return;
  case StallAdvice::Ask:
    queryCoordinator();
    return;
  case StallAdvice::TakeOver:
    takeOver(status);
    return;
  }
}

void RankAgent::queryCoordinator() {
  const std::string &address = Member->Lease.holder();
  if (address.empty() || address == Settings.linkListen())
    return;
  Peers.send(EndpointId(address), LeaderCheck{Member->Group}, monotonicNow());
}

/// Takes over the group's lease. The agent whose write reaches the store first
/// becomes the coordinator and has TakeoverTime to recover the group; the
/// store's refusal tells the others who the coordinator is.
void RankAgent::takeOver(const RankStatus &status) {
  TimePoint now = monotonicNow();
  Stall.reset(now + TakeoverTime);
  LOG(WARNING) << LogEvent("group.stalled")
                      .with("group", status.Group.get())
                      .with("step", status.Step.get())
                      .with("held", status.Held ? status.Held->get() : 0)
                      .with("coordinator", Member->Lease.holder());
  Member->Lease.takeOver(now);
  updateLease();
}

void RankAgent::join(const RankStatus &status) {
  std::string key =
      "ospreyspur/groups/" + Settings.Service + "/" + status.Group.get();
  Member = std::make_unique<Membership>(
      status, LeaseHolder(key, Settings.linkListen(), makeRankLeaseLimits()));
  Switch.resign();
  Consent.clear();
  // The new group numbers its ranks independently of the previous one.
  DirectReads = DirectReadPlanner();
  DirectRanks.clear();
  // All agents of a group start together; a random delay lets one of them be
  // first.
  std::uniform_int_distribution<Duration::rep> spread(0, JoinSpread.count());
  LeaseTimer.set(monotonicNow() + Duration(spread(Random)));
}

void RankAgent::updateLease() {
  if (!Member || IsStopped)
    return;
  TimePoint now = monotonicNow();
  LeaseHolder &lease = Member->Lease;
  if (std::optional<KvCall> call = lease.nextCall(now)) {
    auto onReply = [this, group = Member->Group,
                    number = lease.lastCall()](const KvReply &reply) {
      if (!Member || Member->Group != group)
        return;
      Member->Lease.onReply(number, reply, monotonicNow());
      updateLease();
    };
    Platform.call(std::move(*call), CallTimeout, onReply);
  }
  bool wasLeading = Switch.isLeading();
  if (canCoordinate(now))
    Switch.lead(lease.epoch().get(), Member->Rank, now);
  else
    Switch.resign();
  if (!wasLeading && Switch.isLeading()) {
    CoordinatorSince = now;
    DirectReads.lead(now);
  }
  if (wasLeading != Switch.isLeading())
    LOG(INFO) << LogEvent(wasLeading ? "lease.lost" : "lease.won")
                     .with("group", Member->Group.get())
                     .with("revision", lease.epoch().get())
                     .with("holder", lease.holder());
  LeaseTimer.set(lease.nextTimer());
}

/// Sends the state of this agent's rank to the coordinator.
void RankAgent::report(const RankStatus &status) {
  const std::string &address = Member->Lease.holder();
  if (address.empty() || address == Settings.linkListen())
    return;
  EndpointId coordinator(address);
  Peers.setAddresses({{coordinator, address}});
  TimePoint now = monotonicNow();
  if (std::optional<RankStatus> update = Filter.filter(status, address, now))
    Peers.send(coordinator, *update, now);
}

/// Handles the status of a rank in the coordinator. \p from is empty for the
/// coordinator's own rank.
void RankAgent::takeStatus(const RankStatus &status,
                           std::optional<LinkId> from) {
  if (!Member || status.Group != Member->Group)
    return;
  TimePoint now = monotonicNow();
  Consent.onActive(now);
  if (Result<TcpAddress> address = parseAddress(status.Endpoint))
    DirectReads.onAgentReport(status.Rank, address.value(), now);
  Consent.onReport(status.Rank, now);
  if (from)
    Links[status.Rank] = *from;
  else
    Links.erase(status.Rank);
  if (!status.SampledCounts.empty())
    Demand.add(status.SampledCounts, now);
  apply(Switch.onStatus(status.Rank, status, now, now));
  considerPlan();
}

void RankAgent::onReply(LinkId from, const MapOrderReply &reply) {
  TimePoint now = monotonicNow();
  Consent.onActive(now);
  if (!canCoordinate(now))
    return;
  for (const auto &[rank, link] : Links)
    if (link == from) {
      apply(Switch.onReply(rank, reply, now));
      return;
    }
}

void RankAgent::apply(const SwitchActions &actions) {
  for (const SendMapOrder &it : actions)
    perform(it);
  sendMaps();
  logPhase();
}

/// Sends queued maps as far as the link has capacity.
void RankAgent::sendMaps() {
  TimePoint now = monotonicNow();
  while (std::optional<SendMapOrder> next = MapQueue.pop(now)) {
    if (!Switch.isPending(next->Rank, next->Order.Id))
      continue;
    Switch.onSent(next->Rank, next->Order.Id, now);
    auto link = Links.find(next->Rank);
    if (link == Links.end())
      continue;
    MapOrder order =
        Sent.shorten(next->Rank, link->second, next->Order, next->Tries);
    MapQueue.onSent(encodedSize(order), now);
    Server.send(link->second, order);
  }
  std::optional<TimePoint> due = Switch.nextTimer();
  std::optional<TimePoint> capacityAt = MapQueue.nextTimer();
  OrderTimer.set(due && capacityAt ? std::min(*due, *capacityAt)
                                   : (due ? due : capacityAt));
}

void RankAgent::perform(const SendMapOrder &action) {
  auto link = Links.find(action.Rank);
  bool canBypass = canBypassAgents(monotonicNow());
  auto directRank =
      canBypass ? DirectRanks.find(action.Rank) : DirectRanks.end();
  if (OwnStatus && OwnStatus->Rank == action.Rank)
    spawn(sendToOwnRank(action.Rank, action.Order));
  else if (std::shared_ptr<RankLink> direct =
               canBypass ? chooseHoldLink(action) : nullptr)
    spawn(sendDirectly(std::move(direct), action.Rank, action.Order));
  else if (directRank != DirectRanks.end() &&
           !DirectReads.isReporting(action.Rank, monotonicNow()))
    spawn(sendDirectly(directRank->second, action.Rank, action.Order));
  else if (std::shared_ptr<RankLink> other =
               canBypass ? chooseRetryLink(action) : nullptr)
    spawn(sendDirectly(std::move(other), action.Rank, action.Order));
  else if (link != Links.end())
    sendOrQueue(action, link->second);
}

/// Queues orders with maps until the link has capacity, and sends other orders
/// at once. A newer order to a rank replaces the one queued for this rank.
void RankAgent::sendOrQueue(const SendMapOrder &action, LinkId link) {
  if (MapOrderQueue::mustWait(action.Order)) {
    MapQueue.push(action);
    Switch.onQueued(action.Rank, action.Order.Id);
    return;
  }
  MapQueue.drop(action.Rank);
  Server.send(link, action.Order);
}

asio::awaitable<void> RankAgent::sendToOwnRank(unsigned rank, MapOrder order) {
  MapOrderReply reply;
  reply.Id = order.Id;
  reply.Result = co_await Rank.sendOrder(std::move(order));
  apply(Switch.onReply(rank, reply, monotonicNow()));
  if (!IsReading)
    co_await readRank();
}

/// Forwards the coordinator's order to this agent's rank.
asio::awaitable<void> RankAgent::forwardOrder(EndpointId from, MapOrder order) {
  MapOrderReply reply;
  reply.Id = order.Id;
  std::uint64_t newest = Member ? Member->Lease.newestHolder().get() : 0;
  if (!Gate.accepts(MapSwitch::leaseOf(order.Fence), newest)) {
    LOG(WARNING) << LogEvent("order.refused")
                        .with("from", from.get())
                        .with("fence", order.Fence.get())
                        .with("newest", newest);
    reply.Result = MapOrderResult::Fenced;
    Peers.send(from, reply, monotonicNow());
    co_return;
  }
  reply.Result = co_await Rank.sendOrder(std::move(order));
  Peers.send(from, reply, monotonicNow());
  if (!IsReading)
    co_await readRank();
}
