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

/// After this time without a report an agent's rank is reached directly.
static constexpr Duration SilenceOfAgent = std::chrono::milliseconds(400);
/// Failed reads for each line in the log.
static constexpr int UnreachableOneIn = 10;
/// Between two reads of ranks whose agents are silent.
static constexpr Duration ReachEvery = std::chrono::milliseconds(200);
/// How old a rank's report may be when asked from another host: the engines
/// state 200 ms; taken with a margin.
static constexpr Duration FarReportLag = std::chrono::milliseconds(300);
/// After this time a read of the list of endpoints is given up.
static constexpr Duration ListTimeout = std::chrono::seconds(1);

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
  KvReply reply = co_await Platform.ask(std::move(call), ListTimeout);
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
