//===- LoadExchange.h - load reports between entries ------------*- C++ -*-===//
//
// Sends this entry's load at the endpoints to the other entries, and receives
// theirs, in UDP datagrams. Lost datagrams are not resent, as the next report
// replaces them.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_LOADEXCHANGE_H
#define OSPREYSPUR_PROCESS_LOADEXCHANGE_H

#include "ospreyspur/Rpc/LoadCodec.h"
#include "ospreyspur/Support/Result.h"
#include "ospreyspur/Support/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <string>
#include <vector>

namespace ospreyspur {

/// Callbacks of a LoadExchange into its process.
struct LoadExchangeHandlers {
  std::function<LoadReport()> MakeReport;
  std::function<void(const LoadReport &)> OnReport;
};

/// The exchange on one io_context's thread.
class LoadExchange {
public:
  /// Time between two reports if nothing changes.
  static constexpr Duration Interval = std::chrono::milliseconds(200);
  /// How long changes are collected into one report; a fraction of an engine
  /// iteration.
  static constexpr Duration CollectTime = std::chrono::milliseconds(8);

  LoadExchange(boost::asio::io_context &ioc, LoadExchangeHandlers handlers);

  /// Receives reports on \p address. Errors: SettingInvalid.
  Result<void> start(const std::string &address);
  /// Schedules a report, as this entry's load has changed.
  void onChange();
  /// Sets the addresses, as "ip:port", of the entries that share this entry's
  /// subset of endpoints, and of the other ones.
  void setPeers(const std::vector<std::string> &sharing,
                const std::vector<std::string> &outside);

private:
  using Addresses = std::vector<boost::asio::ip::udp::endpoint>;

  void receive();
  void send();
  void sendTo(const Addresses &receivers, const LoadReport &report);
  void addUnknownSender();
  void sendAfter(Duration wait);

  LoadExchangeHandlers Handlers;
  boost::asio::ip::udp::socket Socket;
  boost::asio::steady_timer Timer;
  Addresses Sharing;
  Addresses Outside;
  TimePoint OutsideSentAt;
  /// Whether the previous report concerned all entries.
  bool ConcernedAll = false;
  std::array<char, 64U << 10U> Bytes{};
  boost::asio::ip::udp::endpoint Sender;
  /// Whether a change has not been sent yet.
  bool IsDue = false;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_LOADEXCHANGE_H
