//===- EndpointWatch.h - witness that an endpoint has not exited *- C++ -*-===//
//
// An idle connection to an endpoint that runs on the same host. All connections
// of a process close when it exits, so while this one lasts, what accepted it
// is the same incarnation; a new connection may reach a later one.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_ENDPOINTWATCH_H
#define OSPREYSPUR_PROCESS_ENDPOINTWATCH_H

#include "ospreyspur/Support/Address.h"
#include "ospreyspur/Support/StrongType.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>

namespace ospreyspur {

/// Numbers the connections of one EndpointWatch; 0 is none.
using WatchNumber = StrongType<struct WatchNumberTag, std::uint64_t>;

/// Callbacks of an EndpointWatch.
struct EndpointWatchHandlers {
  /// Whether a connection that was lost is to be replaced at once.
  std::function<bool()> IsNeeded;
  /// The connection \p lost was replaced by \p current.
  std::function<void(WatchNumber lost, WatchNumber current)> OnReplaced;
};

/// Watches the endpoint at one address; runs on one thread.
class EndpointWatch {
public:
  EndpointWatch(boost::asio::io_context &ioc, TcpAddress address,
                EndpointWatchHandlers handlers);

  /// Opens the connection unless it is open. Fails silently: the watch then has
  /// no current connection.
  boost::asio::awaitable<void> open();
  /// The open connection; 0 if there is none.
  WatchNumber current() const { return Current; }
  /// Whether the connection \p watch is still open once all connections of a
  /// process that exits now would be closed.
  boost::asio::awaitable<bool> outlasts(WatchNumber watch);

private:
  boost::asio::awaitable<void> connect();
  boost::asio::awaitable<void> awaitLoss();

  boost::asio::io_context &Context;
  TcpAddress Address;
  EndpointWatchHandlers Handlers;
  boost::asio::ip::tcp::socket Socket;
  /// Cancelled when an attempt to connect has ended.
  boost::asio::steady_timer Connected;
  bool IsConnecting = false;
  WatchNumber Current = WatchNumber(0);
  std::uint64_t LastNumber = 0;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_ENDPOINTWATCH_H
