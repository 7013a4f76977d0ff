//===- LoadExchange.h - load reports between entries ------------*- C++ -*-===//
//
// Sends this entry's load at the endpoints to the other entries, and takes
// theirs, by datagrams. A lost one is made good by the next.
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

/// What the exchange needs of its process.
struct LoadExchangeHandlers {
  std::function<LoadReport()> MakeReport;
  std::function<void(const LoadReport &)> OnReport;
};

/// The exchange on one io_context's thread.
class LoadExchange {
public:
  /// Between two reports if nothing changes.
  static constexpr Duration Interval = std::chrono::milliseconds(200);
  /// How long changes are gathered: a part of an engine's pass.
  static constexpr Duration Gather = std::chrono::milliseconds(8);

  LoadExchange(boost::asio::io_context &ioc, LoadExchangeHandlers handlers);

  /// Takes reports on \p address. Errors: SettingInvalid.
  Result<void> start(const std::string &address);
  /// This entry's load has changed: a report is due soon.
  void onChange();
  /// The other entries' "ip:port".
  void setPeers(const std::vector<std::string> &addresses);

private:
  void receive();
  void send();
  void sendAfter(Duration wait);

  LoadExchangeHandlers Handlers;
  boost::asio::ip::udp::socket Socket;
  boost::asio::steady_timer Timer;
  std::vector<boost::asio::ip::udp::endpoint> Peers;
  std::array<char, 64U << 10U> Bytes{};
  boost::asio::ip::udp::endpoint Sender;
  /// Whether a change waits to be sent.
  bool IsDue = false;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_LOADEXCHANGE_H
