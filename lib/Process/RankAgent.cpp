//===- RankAgent.cpp - an agent beside one rank of a group ----------------===//
//
// See RankAgent.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/RankAgent.h"

#include "ospreyspur/Support/LogEvent.h"
#include "platform/ConfigWire.h"
#include "platform/EndpointWire.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <glog/logging.h>

using namespace ospreyspur;
namespace asio = boost::asio;

/// Between two looks at the rank, about a step; asking it on its own host is
/// free.
static constexpr Duration ReadEvery = std::chrono::milliseconds(60);
/// The same for its counts, which are a kilobyte to the coordinator.
static constexpr Duration CountsEvery = std::chrono::milliseconds(110);
/// Half-life of counts: demand shifts every few seconds.
static constexpr Duration DemandHalfLife = std::chrono::milliseconds(400);
/// Over which the agents of a group that start together spread their first look
/// at its lease; a look takes some 5 ms.
static constexpr Duration JoinSpread = std::chrono::milliseconds(100);
/// Between two plans.
static constexpr Duration PlanEvery = std::chrono::milliseconds(100);
static constexpr Duration CallTimeout = std::chrono::seconds(1);
/// How long a coordinator leads a group of which it does not hear every rank.
static constexpr Duration MaxIncomplete = std::chrono::milliseconds(2000);
/// How long a coordinator that took over has before another one tries.
static constexpr Duration TakeoverTime = std::chrono::milliseconds(1500);
/// After this time without a report an agent's rank is reached directly.
static constexpr Duration SilenceOfAgent = std::chrono::milliseconds(400);
/// Failed reads for each line in the log.
static constexpr int UnreachableOneIn = 10;
/// Between two reads of ranks whose agents are silent.
static constexpr Duration ReachEvery = std::chrono::milliseconds(200);
/// How old a rank's report may be when asked from another host: the engines
/// state 200 ms; taken with a margin.
static constexpr Duration FarReportLag = std::chrono::milliseconds(300);
/// Between two lines in the log about a group.
static constexpr Duration GroupLineEvery = std::chrono::seconds(1);
static constexpr Duration FiguresRetry = std::chrono::seconds(1);
/// Skew that a change must save: below, copying costs more than it gains.
static constexpr double MinSkewGain = 0.2;
/// Experts that one change may bring to a rank; each takes 0.15 s on the
/// users' links.
static constexpr std::size_t NewPerRank = 1;
static constexpr double MinCopyGain = 0.04;
/// From this skew on, that of a group that was just formed, steps are so slow
/// that a change should bring more.
static constexpr double HighSkew = 2.5;
static constexpr std::size_t NewPerRankIfHigh = 2;

static LeaseLimits makeLeaseLimits(bool checksFences) {
  LeaseLimits limits;
  limits.Span = std::chrono::seconds(3);
  limits.Margin = std::chrono::milliseconds(700);
  limits.RenewEvery = std::chrono::milliseconds(900);
  limits.RetryEvery = std::chrono::milliseconds(1500);
  limits.CallTimeout = std::chrono::milliseconds(900);
  limits.OutlastsOutage = checksFences;
  return limits;
}

RankAgent::RankAgent(asio::io_context &ioc, const RankSettings &settings,
                     Metrics &metrics, std::uint64_t seed)
    : Context(ioc), Settings(settings), Measures(metrics), Random(seed),
      Platform(ioc, parseAddress(settings.PlatformAddress).value()),
      Rank(ioc, parseAddress(settings.EndpointAddress).value()),
      Switch(SwitchLimits()), Demand(DemandHalfLife),
      Timer(ioc, [this] { tick(); }),
      LeaseTimer(ioc, [this] { lookAtLease(); }),
      OrderTimer(ioc, [this] { apply(Switch.onTimer(monotonicNow())); }),
      Server({[this](LinkId from, const std::vector<Message> &messages) {
                asio::post(Context, [this, from, messages] {
                  for (const Message &it : messages) {
                    if (const auto *status = std::get_if<RankStatus>(&it))
                      takeStatus(*status, from);
                    else if (const auto *reply =
                                 std::get_if<MapOrderReply>(&it))
                      onReply(from, *reply);
                  }
                });
              },
              [](LinkId) {}}),
      Peers(ioc, {[this](const EndpointId &from, const Message &message) {
                    if (const auto *order = std::get_if<MapOrder>(&message))
                      spawn(giveFor(from, *order));
                  },
                  [](const EndpointId &) {}}) {}

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
  Timer.set(now + ReadEvery);
  if (!IsReading)
    spawn(readRank());
  apply(Switch.onTimer(now));
  considerPlan();
  checkLease(now);
}

/// Ranks that no longer report may have found another coordinator.
void RankAgent::checkLease(TimePoint now) {
  bool isLeading = Member && Member->Lease.isHeld(now);
  if (isLeading)
    reachSilentRanks(now);
  bool isFenced = isLeading && !Switch.isLeading();
  if (!isLeading || (Switch.isComplete(now) && !isFenced)) {
    CompleteAt = now;
    return;
  }
  if (now - CompleteAt < MaxIncomplete && !isFenced)
    return;
  CompleteAt = now;
  Member->Lease.doubt(now);
  lookAtLease();
}

bool RankAgent::isHeard(unsigned rank, TimePoint now) const {
  auto it = HeardAt.find(rank);
  return it != HeardAt.end() && now - it->second < SilenceOfAgent;
}

/// An agent that froze or died must not keep its group from changing maps, nor
/// leave a step held: its rank is read and ordered from here.
void RankAgent::reachSilentRanks(TimePoint now) {
  if (!Own || now < NextReach)
    return;
  bool areAllHeard = true;
  for (unsigned rank = 0; rank < Own->Size; ++rank)
    areAllHeard = areAllHeard && isHeard(rank, now);
  if (areAllHeard)
    return;
  NextReach = now + ReachEvery;
  spawn(findRanks());
}

asio::awaitable<void> RankAgent::findRanks() {
  KvCall call = KvList{platform::EndpointPrefix, true};
  KvReply reply = co_await Platform.ask(std::move(call), CallTimeout);
  // Without an answer the ways found before are tried.
  for (const KvItem &it : reply.Items) {
    Result<EndpointRecord> record = platform::readEndpoint(it);
    if (!record || record.value().Service.get() != Settings.Service)
      continue;
    TcpAddress address = record.value().Address;
    if (!FarLinks.contains(address))
      FarLinks[address] = std::make_shared<RankLink>(Context, address);
  }
  for (const auto &[address, link] : FarLinks)
    spawn(readFar(link));
}

asio::awaitable<void> RankAgent::readFar(std::shared_ptr<RankLink> link) {
  Result<RankStatus> status = co_await link->readStatus(false);
  TimePoint now = monotonicNow();
  if (!status) {
    LOG_EVERY_N(WARNING, UnreachableOneIn)
        << LogEvent("rank.unreachable").with("detail", status.error().Detail);
    co_return;
  }
  bool isOurs = Member && status.value().Group == Member->Group;
  if (!isOurs || isHeard(status.value().Rank, now))
    co_return;
  unsigned rank = status.value().Rank;
  LOG_IF(INFO, !FarRanks.contains(rank))
      << LogEvent("rank.reached")
             .with("rank", rank)
             .with("step", status.value().Step.get());
  FarRanks[rank] = link;
  apply(Switch.onStatus(rank, status.value(), now - FarReportLag, now));
}

asio::awaitable<void> RankAgent::giveFar(std::shared_ptr<RankLink> link,
                                         unsigned rank, MapOrder order) {
  MapOrderReply reply;
  reply.Id = order.Id;
  reply.Result = co_await link->give(std::move(order));
  apply(Switch.onReply(rank, reply, monotonicNow()));
}

asio::awaitable<void> RankAgent::readRank() {
  IsReading = true;
  TimePoint now = monotonicNow();
  bool withCounts = now >= NextCounts;
  if (withCounts)
    NextCounts = now + CountsEvery;
  Result<RankStatus> status = co_await Rank.readStatus(withCounts);
  IsReading = false;
  if (!status) {
    LOG_IF(WARNING, Own.has_value())
        << LogEvent("rank.lost").with("detail", status.error().Detail);
    Own.reset();
    co_return;
  }
  bool isNews = !Own || Own->Formation != status.value().Formation ||
                Own->IsOpen != status.value().IsOpen;
  LOG_IF(INFO, isNews) << LogEvent(Own ? "rank.changed" : "rank.found")
                              .with("group", status.value().Group.get())
                              .with("rank", status.value().Rank)
                              .with("formation", status.value().Formation.get())
                              .with("open", status.value().IsOpen)
                              .with("map", status.value().Map.get());
  Own = status.value();
  Own->Endpoint = Settings.EndpointAddress;
  if (!Own->Group.get().empty())
    onStatus(*Own);
}

void RankAgent::onStatus(const RankStatus &status) {
  bool isMember =
      Member && Member->Group == status.Group && Member->Rank == status.Rank;
  if (!isMember)
    join(status);
  if (Member->Lease.isHeld(monotonicNow())) {
    takeStatus(status, std::nullopt);
    return;
  }
  report(status);
  watchForStall(status);
}

/// Takes the lease from a coordinator whose group stands still: it may have
/// died or frozen in the middle of a change.
void RankAgent::watchForStall(const RankStatus &status) {
  TimePoint now = monotonicNow();
  if (!Stall.isStalled(status, now) || !Settings.ChecksFences)
    return;
  // All agents of the group see it at about the same time; the one whose write
  // comes first gets the time to put the group in order.
  Stall.reset(now + TakeoverTime);
  LOG(WARNING) << LogEvent("group.stalled")
                      .with("group", status.Group.get())
                      .with("step", status.Step.get())
                      .with("held", status.Held ? status.Held->get() : 0)
                      .with("coordinator", Member->Lease.holder());
  Member->Lease.takeOver(now);
  lookAtLease();
}

void RankAgent::join(const RankStatus &status) {
  std::string key =
      "ospreyspur/groups/" + Settings.Service + "/" + status.Group.get();
  Member = std::make_unique<Membership>(
      status, LeaseHolder(key, Settings.linkListen(),
                          makeLeaseLimits(Settings.ChecksFences)));
  Switch.resign();
  // All agents of a group start together; one should be first.
  std::uniform_int_distribution<Duration::rep> spread(0, JoinSpread.count());
  LeaseTimer.set(monotonicNow() + Duration(spread(Random)));
}

void RankAgent::lookAtLease() {
  if (!Member || IsStopped)
    return;
  TimePoint now = monotonicNow();
  LeaseHolder &lease = Member->Lease;
  if (std::optional<KvCall> call = lease.nextCall(now)) {
    auto onReply = [this, group = Member->Group](const KvReply &reply) {
      if (!Member || Member->Group != group)
        return;
      Member->Lease.onReply(reply, monotonicNow());
      lookAtLease();
    };
    Platform.call(std::move(*call), CallTimeout, onReply);
  }
  bool wasLeading = Switch.isLeading();
  if (lease.isHeld(now))
    Switch.lead(lease.epoch().get(), Member->Rank, now);
  else
    Switch.resign();
  if (wasLeading != Switch.isLeading())
    LOG(INFO) << LogEvent(wasLeading ? "lease.lost" : "lease.won")
                     .with("group", Member->Group.get())
                     .with("revision", lease.epoch().get())
                     .with("holder", lease.holder());
  LeaseTimer.set(lease.nextTimer());
}

/// Hands the own rank's state to the coordinator.
void RankAgent::report(const RankStatus &status) {
  const std::string &address = Member->Lease.holder();
  if (address.empty() || address == Settings.linkListen())
    return;
  EndpointId coordinator(address);
  Peers.setAddresses({{coordinator, address}});
  Peers.send(coordinator, status, monotonicNow());
}

/// A status of the coordinator's own rank has no link.
void RankAgent::takeStatus(const RankStatus &status,
                           std::optional<LinkId> from) {
  if (!Member || status.Group != Member->Group)
    return;
  TimePoint now = monotonicNow();
  HeardAt[status.Rank] = now;
  if (from)
    Links[status.Rank] = *from;
  else
    Links.erase(status.Rank);
  if (!status.Counts.empty())
    Demand.add(status.Rank, status.Formation, status.Counts, now);
  apply(Switch.onStatus(status.Rank, status, now, now));
  considerPlan();
}

void RankAgent::onReply(LinkId from, const MapOrderReply &reply) {
  for (const auto &[rank, link] : Links)
    if (link == from) {
      apply(Switch.onReply(rank, reply, monotonicNow()));
      return;
    }
}

void RankAgent::apply(const SwitchActions &actions) {
  for (const SendMapOrder &it : actions)
    perform(it);
  OrderTimer.set(Switch.nextTimer());
  logPhase();
}

void RankAgent::perform(const SendMapOrder &action) {
  auto link = Links.find(action.Rank);
  auto far = FarRanks.find(action.Rank);
  if (Own && Own->Rank == action.Rank)
    spawn(giveOwn(action.Rank, action.Order));
  else if (std::shared_ptr<RankLink> direct = holdLink(action))
    spawn(giveFar(std::move(direct), action.Rank, action.Order));
  else if (far != FarRanks.end() && !isHeard(action.Rank, monotonicNow()))
    spawn(giveFar(far->second, action.Rank, action.Order));
  else if (link != Links.end())
    Server.send(link->second, action.Order);
}

/// The link over which a change's first hold goes; null for other orders. A
/// host that froze as it passed the order on would keep its rank, which holds
/// the step, out of reach: the order goes to the rank itself, though that is
/// paid for. If this host freezes instead, others can release the step.
std::shared_ptr<RankLink> RankAgent::holdLink(const SendMapOrder &action) {
  bool isFirstHold = action.Order.Kind == MapOrderKind::Hold &&
                     Switch.phase() == SwitchPhase::Holding;
  auto status = Switch.ranks().find(action.Rank);
  if (!isFirstHold || status == Switch.ranks().end())
    return nullptr;
  Result<TcpAddress> address = parseAddress(status->second.Endpoint);
  if (!address)
    return nullptr;
  std::shared_ptr<RankLink> &link = FarLinks[address.value()];
  if (!link)
    link = std::make_shared<RankLink>(Context, address.value());
  return link;
}

asio::awaitable<void> RankAgent::giveOwn(unsigned rank, MapOrder order) {
  MapOrderReply reply;
  reply.Id = order.Id;
  reply.Result = co_await Rank.give(std::move(order));
  apply(Switch.onReply(rank, reply, monotonicNow()));
  if (!IsReading)
    co_await readRank();
}

/// Passes the coordinator's order on to the own rank.
asio::awaitable<void> RankAgent::giveFor(EndpointId from, MapOrder order) {
  MapOrderReply reply;
  reply.Id = order.Id;
  reply.Result = co_await Rank.give(std::move(order));
  Peers.send(from, reply, monotonicNow());
  if (!IsReading)
    co_await readRank();
}

void RankAgent::readFigures() {
  TimePoint now = monotonicNow();
  if (now < NextFigures)
    return;
  NextFigures = now + FiguresRetry;
  KvCall call = KvGet{platform::ConfigDocumentKey, true};
  Platform.call(std::move(call), CallTimeout, [this](const KvReply &reply) {
    if (reply.Code != ResultCode::Ok)
      return;
    Result<FleetConfig> config = platform::readConfig(reply.Value);
    const ServiceRule *service =
        config ? config.value().findService(ServiceId(Settings.Service))
               : nullptr;
    if (service)
      Figures = service->Engine;
  });
}

void RankAgent::considerPlan() {
  TimePoint now = monotonicNow();
  if (!Figures && Switch.isLeading())
    readFigures();
  if (now < NextPlan || !Figures || !Switch.canBegin(now))
    return;
  NextPlan = now + PlanEvery;
  if (!fitsFigures())
    return;
  logGroup();
  PlacementLimits limits{Figures->PlacesPerRank, Figures->SparePlaces,
                         NewPerRank, MinCopyGain};
  PlacementPlan plan =
      PlacementPlanner(limits).plan(Switch.placement(), Demand.demand());
  if (plan.SkewBefore > HighSkew) {
    limits.NewPerRank = NewPerRankIfHigh;
    plan = PlacementPlanner(limits).plan(Switch.placement(), Demand.demand());
  }
  if (plan.SkewBefore - plan.SkewAfter < MinSkewGain)
    return;
  apply(Switch.begin(plan.Placement, now));
  Measures.count("expert_copies_total", plan.Copies);
  LOG(INFO) << LogEvent("map.proposed")
                   .with("group", Member->Group.get())
                   .with("version", Switch.version().get())
                   .with("copies", plan.Copies)
                   .with("skew", plan.SkewBefore)
                   .with("skew_after", plan.SkewAfter);
}

/// One line a second of what the group does, for whoever looks for pauses.
void RankAgent::logGroup() {
  TimePoint now = monotonicNow();
  if (now < NextGroupLine || !Switch.canBegin(now) || !fitsFigures())
    return;
  NextGroupLine = now + GroupLineEvery;
  PlacementLimits none{Figures->PlacesPerRank, 0, 0, 0};
  PlacementPlan present =
      PlacementPlanner(none).plan(Switch.placement(), Demand.demand());
  Measures.set("group_skew", present.SkewBefore);
  Measures.set("group_steps_per_second", Switch.stepsPerSecond());
  LOG(INFO) << LogEvent("group.state")
                   .with("group", Member->Group.get())
                   .with("map", Switch.ranks().begin()->second.Map.get())
                   .with("steps_per_s", Switch.stepsPerSecond())
                   .with("skew", present.SkewBefore);
}

/// Whether the engine's figures are known and agree with what ranks report.
bool RankAgent::fitsFigures() const {
  if (!Figures || Figures->ExpertSets == 0 || Switch.ranks().empty())
    return false;
  const RankPlacement &first = Switch.ranks().begin()->second.Placement;
  return first.size() == Figures->ExpertSets &&
         Demand.demand().size() == Figures->ExpertSets * Figures->Experts &&
         Demand.total() > 0;
}

/// The word for \p phase in logs.
static const char *phaseWord(SwitchPhase phase) {
  switch (phase) {
  case SwitchPhase::Idle:
    return "idle";
  case SwitchPhase::Claiming:
    return "claiming";
  case SwitchPhase::Preparing:
    return "preparing";
  case SwitchPhase::Holding:
    return "holding";
  case SwitchPhase::Arming:
    return "arming";
  case SwitchPhase::Releasing:
    return "releasing";
  case SwitchPhase::Confirming:
    return "confirming";
  case SwitchPhase::Freezing:
    return "freezing";
  case SwitchPhase::Disarming:
    return "disarming";
  }
  return "";
}

void RankAgent::logPhase() {
  if (Switch.phase() == LoggedPhase)
    return;
  LoggedPhase = Switch.phase();
  Measures.count("map_phases_total{phase=\"" +
                 std::string(phaseWord(LoggedPhase)) + "\"}");
  auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      monotonicNow() - Switch.beganAt());
  LOG(INFO) << LogEvent("map.phase")
                   .with("group", Member ? Member->Group.get() : "")
                   .with("version", Switch.version().get())
                   .with("phase", phaseWord(LoggedPhase))
                   .with("ms", age.count());
}
