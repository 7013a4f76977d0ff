//===- AgentGroup.cpp - an agent as a member of its group -----------------===//
//
// Agents of a group send messages on separate links, which the sender opens.
// Replies are sent as messages in the same way.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/AgentGroup.h"

#include "ospreyspur/Experts/RankCodec.h"
#include "ospreyspur/Support/LogEvent.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/verb.hpp>
#include <glog/logging.h>

#include <algorithm>

using namespace ospreyspur;
namespace asio = boost::asio;
namespace http = boost::beast::http;

static constexpr Duration RankCallTimeout = std::chrono::seconds(2);
static constexpr Duration PlatformCallTimeout = std::chrono::milliseconds(1500);

AgentGroup::AgentGroup(asio::io_context &ioc, const AgentSettings &settings,
                       PlatformClient &platform, Metrics &metrics)
    : Context(ioc), Settings(settings), Platform(platform), Measures(metrics),
      Self(settings.EndpointName),
      Member(GroupId(settings.Group), Self, MemberLimits()),
      Coordinator(GroupId(settings.Group), Self, CoordinatorLimits()),
      Planner(settings.Weights, settings.PlanInterval),
      Engine(ioc, parseAddress(settings.EndpointAddress).value()),
      Timer(ioc, [this] { onTimer(); }),
      // Messages received on these links and lost links need no handling:
      // replies arrive on the peer's own link, and every order is retried until
      // it is answered.
      Peers(ioc, {[](const EndpointId &, const Message &) {},
                  [](const EndpointId &) {}}) {}

void AgentGroup::start() {
  Coordinator.setTargetMap(
      formatMap(makeRoundRobinMap(Settings.MapDimensions)));
  apply(Member.start(monotonicNow()));
}

void AgentGroup::setEndpoints(const std::vector<EndpointView> &endpoints) {
  std::vector<EndpointId> members;
  std::map<EndpointId, std::string> addresses;
  for (const EndpointView &it : endpoints) {
    if (it.Group.get() != Settings.Group)
      continue;
    members.push_back(it.Id);
    addresses[it.Id] = it.Address;
  }
  Peers.setAddresses(std::move(addresses));
  Coordinator.setMembers(std::move(members));
  onTimer();
}

void AgentGroup::onMessage(const Message &message) {
  TimePoint now = monotonicNow();
  if (const auto *order = std::get_if<GroupOrder>(&message)) {
    apply(Member.onOrder(*order, now));
    return;
  }
  const auto *reply = std::get_if<GroupReply>(&message);
  if (!reply)
    return;
  if (!reply->SlotTokens.empty())
    Planner.addTokens(reply->Member, reply->Version, reply->SlotTokens);
  apply(Member.onReply(*reply, now));
  apply(Coordinator.onReply(*reply, now));
}

void AgentGroup::onTimer() {
  TimePoint now = monotonicNow();
  apply(Member.onTimer(now));
  apply(Coordinator.onTimer(now));
  planIfDue();
}

/// If the coordinator is idle, checks whether a new expert map is worthwhile.
void AgentGroup::planIfDue() {
  if (Coordinator.phase() != CoordinatorPhase::Idle)
    return;
  std::optional<MapPlan> plan =
      Planner.plan(Coordinator.record(), monotonicNow());
  if (!plan)
    return;
  LOG(INFO) << LogEvent("group.plan")
                   .with("group", Settings.Group)
                   .with("moves", plan->Moves)
                   .with("skew_before", plan->SkewBefore)
                   .with("skew_after", plan->SkewAfter);
  Measures.count("map_moves_total", plan->Moves);
  Measures.set("map_skew_planned", plan->SkewAfter);
  Coordinator.setTargetMap(formatMap(plan->Map));
}

void AgentGroup::apply(const GroupActions &actions) {
  for (const GroupAction &action : actions)
    std::visit([this](const auto &it) { perform(it); }, action);
  if (Coordinator.phase() != LastPhase) {
    LastPhase = Coordinator.phase();
    LOG(INFO) << LogEvent("group.phase")
                     .with("group", Settings.Group)
                     .with("phase", static_cast<unsigned>(LastPhase))
                     .with("attempt", Coordinator.record().Attempt.get());
  }
  TimePoint next = Coordinator.nextTimer();
  if (auto member = Member.nextTimer())
    next = std::min(next, *member);
  Timer.set(next);
}

void AgentGroup::perform(const SendGroupOrder &action) {
  send(action.To, action.Order);
}

void AgentGroup::perform(const SendGroupReply &action) {
  send(action.To, action.Reply);
}

void AgentGroup::perform(const OrderRank &action) {
  asio::co_spawn(Context, orderRank(action), asio::detached);
}

asio::awaitable<void> AgentGroup::orderRank(OrderRank action) {
  HttpRequest request(http::verb::post, RankOrderPath, 11);
  request.set(http::field::host, Settings.EndpointAddress);
  request.set(http::field::content_type, "application/json");
  request.body() = formatRankOrder(action.Order);
  Result<HttpResponse> response =
      co_await Engine.call(std::move(request), RankCallTimeout);
  if (!response)
    co_return;
  Result<RankReply> reply = parseRankReply(response.value().body());
  if (!reply) {
    LOG(WARNING)
        << LogEvent("engine.bad_reply").with("detail", reply.error().Detail);
    co_return;
  }
  apply(Member.onRankReply(action.Id, reply.value(), monotonicNow()));
}

void AgentGroup::perform(const CallPlatformForGroup &action) {
  KvCallId id = action.Request.Id;
  auto onReply = [this, id](const KvReply &reply) {
    apply(Coordinator.onKvReply(id, reply, monotonicNow()));
  };
  Platform.call(action.Request.Call, PlatformCallTimeout, onReply);
}

void AgentGroup::send(const EndpointId &to, Message message) {
  if (to == Self) {
    asio::post(Context,
               [this, message = std::move(message)] { onMessage(message); });
    return;
  }
  Peers.send(to, message, monotonicNow());
}
