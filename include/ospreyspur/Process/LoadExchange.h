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
  /// Between two reports: two or three passes of an engine.
  static constexpr Duration Interval = std::chrono::milliseconds(100);

  LoadExchange(boost::asio::io_context &ioc, LoadExchangeHandlers handlers);

  /// Takes reports on \p address. Errors: SettingInvalid.
  Result<void> start(const std::string &address);
  /// The other entries' "ip:port".
  void setPeers(const std::vector<std::string> &addresses);

private:
  void receive();
  void send();

  LoadExchangeHandlers Handlers;
  boost::asio::ip::udp::socket Socket;
  boost::asio::steady_timer Timer;
  std::vector<boost::asio::ip::udp::endpoint> Peers;
  std::array<char, 64U << 10U> Bytes{};
  boost::asio::ip::udp::endpoint Sender;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_LOADEXCHANGE_H
