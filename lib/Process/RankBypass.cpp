//===- RankBypass.cpp - ranks whose agents send no reports ----------------===//
//
// The part of RankAgent with which a coordinator bypasses the agents on other
// hosts, to query their ranks and send them orders. See RankAgent.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/RankAgent.h"

#include "ospreyspur/Support/LogEvent.h"
#include "platform/EndpointWire.h"

#include <glog/logging.h>

using namespace ospreyspur;
namespace asio = boost::asio;

/// One in this many failed reads is logged.
static constexpr int UnreachableOneIn = 10;
/// How old a rank's report may be when read from another host. The engines
/// specify 200 ms; the rest is a margin.
static constexpr Duration DirectReportLag = std::chrono::milliseconds(300);
/// Timeout of a read of the list of endpoints.
static constexpr Duration ListTimeout = std::chrono::seconds(1);

void RankAgent::bypassSilentAgents(TimePoint now) {
  if (!OwnStatus)
    return;
  if (DirectReads.takeListQuery(OwnStatus->Size, now))
    spawn(readCandidates());
  for (const TcpAddress &it : DirectReads.take(OwnStatus->Size, now))
    spawn(readDirectly(it));
}

/// Reads the list of endpoints to find ranks whose addresses are not known.
asio::awaitable<void> RankAgent::readCandidates() {
  KvCall call = KvList{platform::EndpointKeyPrefix, true};
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
  DirectReads.setCandidates(std::move(addresses));
}

/// The link that bypasses the agent of the rank at \p address.
std::shared_ptr<RankLink> RankAgent::directLink(const TcpAddress &address) {
  std::shared_ptr<RankLink> &link = DirectLinks[address];
  if (!link)
    link = std::make_shared<RankLink>(Context, address);
  return link;
}

asio::awaitable<void> RankAgent::readDirectly(TcpAddress address) {
  std::shared_ptr<RankLink> link = directLink(address);
  Result<RankStatus> status = co_await link->readStatus(false);
  TimePoint now = monotonicNow();
  if (!status) {
    LOG_EVERY_N(WARNING, UnreachableOneIn)
        << LogEvent("rank.unreachable").with("detail", status.error().Detail);
    co_return;
  }
  unsigned rank = status.value().Rank;
  if (!Member || status.value().Group != Member->Group) {
    DirectReads.onForeignAddress(address);
    co_return;
  }
  DirectReads.onRankAddress(rank, address);
  if (DirectReads.isReporting(rank, now))
    co_return;
  LOG_IF(INFO, !DirectRanks.contains(rank))
      << LogEvent("rank.reached")
             .with("rank", rank)
             .with("step", status.value().Step.get());
  DirectRanks[rank] = link;
  apply(Switch.onStatus(rank, status.value(), now - DirectReportLag, now));
}

asio::awaitable<void> RankAgent::sendDirectly(std::shared_ptr<RankLink> link,
                                              unsigned rank, MapOrder order) {
  MapOrderReply reply;
  reply.Id = order.Id;
  reply.Result = co_await link->sendOrder(std::move(order));
  RetriesInFlight.erase(rank);
  apply(Switch.onReply(rank, reply, monotonicNow()));
}

/// The direct link on which a retry of an order is sent; null if the retry is
/// sent to the rank's agent, as the first attempt was. On the agent's link a
/// TCP retransmission delays every later attempt, too, so every second attempt
/// is sent to the rank itself, but only one at a time, as calls to a rank on
/// another host are charged for. Attempts on two links may overtake each other;
/// only ranks that compare fencing tokens then keep the newest order.
std::shared_ptr<RankLink>
RankAgent::chooseRetryLink(const SendMapOrder &action) {
  auto status = Switch.ranks().find(action.Rank);
  if (!Settings.ChecksFences || action.Tries % 2 == 0 ||
      MapOrderQueue::mustWait(action.Order) || status == Switch.ranks().end())
    return nullptr;
  Result<TcpAddress> address = parseAddress(status->second.Endpoint);
  if (!address || !RetriesInFlight.insert(action.Rank).second)
    return nullptr;
  return directLink(address.value());
}

/// The direct link on which the Hold order of a change and its retries are
/// sent; null for other orders. If the order went through an agent whose host
/// freezes while it forwards the order, the rank that holds the step could not
/// be reached. So the order is sent to the rank itself, though calls to a rank
/// on another host are charged for. If this host freezes instead, other agents
/// can release the step.
std::shared_ptr<RankLink>
RankAgent::chooseHoldLink(const SendMapOrder &action) {
  bool isHoldOfChange = action.Order.Kind == MapOrderKind::Hold &&
                        Switch.phase() == SwitchPhase::Holding;
  auto status = Switch.ranks().find(action.Rank);
  if (!isHoldOfChange || status == Switch.ranks().end())
    return nullptr;
  Result<TcpAddress> address = parseAddress(status->second.Endpoint);
  if (!address)
    return nullptr;
  return directLink(address.value());
}
