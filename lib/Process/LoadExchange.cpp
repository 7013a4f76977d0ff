//===- LoadExchange.cpp - load reports between entries --------------------===//
//
// See LoadExchange.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/LoadExchange.h"

#include "ospreyspur/Support/Address.h"
#include "ospreyspur/Support/LogEvent.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

using namespace ospreyspur;
namespace asio = boost::asio;
using asio::ip::udp;

/// One in this many unreadable datagrams is logged.
static constexpr int LogOneIn = 100;
/// Bound on what senders of forged datagrams can make this entry send.
static constexpr std::size_t MaxReceivers = 512;

LoadExchange::LoadExchange(asio::io_context &ioc, LoadExchangeHandlers handlers)
    : Handlers(std::move(handlers)), Socket(ioc), Timer(ioc) {}

static udp::endpoint toDatagramAddress(const TcpAddress &it) {
  return {it.address(), it.port()};
}

Result<void> LoadExchange::start(const std::string &address) {
  Result<TcpAddress> parsed = parseAddress(address);
  if (!parsed)
    return parsed.error();
  udp::endpoint local = toDatagramAddress(parsed.value());
  boost::system::error_code ec;
  Socket.open(local.protocol(), ec);
  if (!ec)
    Socket.bind(local, ec);
  if (!ec)
    Socket.non_blocking(true, ec);
  if (ec)
    return Error{ResultCode::SettingInvalid,
                 "cannot receive UDP datagrams on " + address + ": " +
                     ec.message()};
  receive();
  send();
  return boost::outcome_v2::success();
}

static std::vector<udp::endpoint>
parseAll(const std::vector<std::string> &addresses) {
  std::vector<udp::endpoint> out;
  for (const std::string &it : addresses)
    if (Result<TcpAddress> parsed = parseAddress(it))
      out.push_back(toDatagramAddress(parsed.value()));
  return out;
}

void LoadExchange::setPeers(const std::vector<std::string> &sharing,
                            const std::vector<std::string> &outside) {
  Sharing = parseAll(sharing);
  Outside = parseAll(outside);
}

/// Reports to the sender of a report, too, if it is not listed yet: it has just
/// started.
void LoadExchange::addUnknownSender() {
  if (Sharing.size() >= MaxReceivers)
    return;
  auto isSender = [this](const udp::endpoint &it) { return it == Sender; };
  if (std::none_of(Sharing.begin(), Sharing.end(), isSender) &&
      std::none_of(Outside.begin(), Outside.end(), isSender))
    Sharing.push_back(Sender);
}

void LoadExchange::receive() {
  Socket.async_receive_from(
      asio::buffer(Bytes), Sender,
      [this](boost::system::error_code ec, std::size_t n) {
        if (ec == asio::error::operation_aborted)
          return;
        std::optional<LoadReport> report;
        if (!ec)
          report = decodeLoad({Bytes.data(), n});
        if (report) {
          if (!report->IsOutside)
            addUnknownSender();
          Handlers.OnReport(*report);
        } else {
          LOG_EVERY_N(WARNING, LogOneIn)
              << LogEvent("load.unreadable").with("error", ec.message());
        }
        receive();
      });
}

void LoadExchange::sendTo(const Addresses &receivers,
                          const LoadReport &report) {
  if (receivers.empty())
    return;
  std::string bytes = encodeLoad(report);
  // Errors are ignored: if the link is full the report is lost, and the next
  // one follows soon.
  boost::system::error_code ignored;
  for (const udp::endpoint &it : receivers)
    Socket.send_to(asio::buffer(bytes), it, 0, ignored);
}

void LoadExchange::send() {
  LoadReport report = Handlers.MakeReport();
  sendTo(Sharing, report);
  TimePoint now = monotonicNow();
  // One more report says that a suspect request has ended.
  bool didConcernAll = std::exchange(ConcernedAll, report.concernsAll());
  if (ConcernedAll || didConcernAll ||
      (report.IsNew && now - OutsideSentAt >= Interval)) {
    OutsideSentAt = now;
    report.Loads.clear();
    report.IsOutside = true;
    sendTo(Outside, report);
  }
  IsDue = false;
  sendAfter(Interval);
}

void LoadExchange::onChange() {
  if (!std::exchange(IsDue, true))
    sendAfter(CollectTime);
}

void LoadExchange::sendAfter(Duration wait) {
  Timer.expires_after(wait);
  Timer.async_wait([this](boost::system::error_code ec) {
    if (!ec)
      send();
  });
}
