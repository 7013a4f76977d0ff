//===- RankReach.cpp - ranks whose agents do not answer -------------------===//
//
// The part of RankAgent with which a coordinator reads and orders ranks on
// other hosts itself. See RankAgent.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/RankAgent.h"

#include "ospreyspur/Support/LogEvent.h"
#include "platform/EndpointWire.h"

#include <glog/logging.h>

using namespace ospreyspur;
namespace asio = boost::asio;

/// Failed reads for each line in the log.
static constexpr int UnreachableOneIn = 10;
/// How old a rank's report may be when asked from another host: the engines
/// state 200 ms; taken with a margin.
static constexpr Duration FarReportLag = std::chrono::milliseconds(300);
/// After this time a read of the list of endpoints is given up.
static constexpr Duration ListTimeout = std::chrono::seconds(1);

void RankAgent::reachSilentRanks(TimePoint now) {
  if (!Own)
    return;
  if (Reach.takeListQuestion(Own->Size, now))
    spawn(readCandidates());
  for (const TcpAddress &it : Reach.take(Own->Size, now))
    spawn(readFar(it));
}

/// Looks in the list of endpoints for ranks whose addresses are not known.
asio::awaitable<void> RankAgent::readCandidates() {
  KvCall call = KvList{platform::EndpointPrefix, true};
  KvReply reply = co_await Platform.ask(std::move(call), ListTimeout);
  if (reply.Code != ResultCode::Ok) {
    LOG(INFO) << LogEvent("rank.list_unknown")
                     .with("code", static_cast<unsigned>(reply.Code));
    co_return;
  }
  std::vector<TcpAddress> addresses;
  for (const KvItem &it : reply.Items) {
    Result<EndpointRecord> record = platform::readEndpoint(it);
    if (record && record.value().Service.get() == Settings.Service)
      addresses.push_back(record.value().Address);
  }
  Reach.setCandidates(std::move(addresses));
}

/// The way past the agents to the rank at \p address.
std::shared_ptr<RankLink> RankAgent::farLink(const TcpAddress &address) {
  std::shared_ptr<RankLink> &link = FarLinks[address];
  if (!link)
    link = std::make_shared<RankLink>(Context, address);
  return link;
}

asio::awaitable<void> RankAgent::readFar(TcpAddress address) {
  std::shared_ptr<RankLink> link = farLink(address);
  Result<RankStatus> status = co_await link->readStatus(false);
  TimePoint now = monotonicNow();
  if (!status) {
    LOG_EVERY_N(WARNING, UnreachableOneIn)
        << LogEvent("rank.unreachable").with("detail", status.error().Detail);
    co_return;
  }
  unsigned rank = status.value().Rank;
  if (!Member || status.value().Group != Member->Group) {
    Reach.onOther(address);
    co_return;
  }
  Reach.onFound(rank, address);
  if (Reach.isHeard(rank, now))
    co_return;
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
  Repeating.erase(rank);
  apply(Switch.onReply(rank, reply, monotonicNow()));
}

/// The link over which the repeat of an order goes; null for one that goes as
/// the first copy did. What waits for a retransmission on the agent's link
/// holds up every later copy on it, too, so every second one goes to the rank
/// itself; one at a time, as it is paid for. Copies on two ways may overtake
/// each other: only ranks that compare tokens take the right one for the last.
std::shared_ptr<RankLink> RankAgent::repeatLink(const SendMapOrder &action) {
  auto status = Switch.ranks().find(action.Rank);
  if (!Settings.ChecksFences || action.Tries % 2 == 0 ||
      OrderLane::mustWait(action.Order) || status == Switch.ranks().end())
    return nullptr;
  Result<TcpAddress> address = parseAddress(status->second.Endpoint);
  if (!address || !Repeating.insert(action.Rank).second)
    return nullptr;
  return farLink(address.value());
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
  return farLink(address.value());
}
