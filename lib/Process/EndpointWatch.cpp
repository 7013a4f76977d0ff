//===- EndpointWatch.cpp - witness that an endpoint has not exited --------===//
//
// See EndpointWatch.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/EndpointWatch.h"

#include "ospreyspur/Process/HostTimer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <utility>

using namespace ospreyspur;
namespace asio = boost::asio;

static constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
/// A process on the same host accepts a connection within a millisecond.
static constexpr Duration ConnectTimeout = std::chrono::milliseconds(100);
/// A process that exits closes all its connections within a millisecond.
static constexpr Duration ExitTime = std::chrono::milliseconds(25);

EndpointWatch::EndpointWatch(asio::io_context &ioc, TcpAddress address,
                             EndpointWatchHandlers handlers)
    : Context(ioc), Address(std::move(address)), Handlers(std::move(handlers)),
      Socket(ioc), Connected(ioc) {}

asio::awaitable<void> EndpointWatch::open() {
  if (IsConnecting) {
    co_await Connected.async_wait(AsTuple);
    co_return;
  }
  if (Current != WatchNumber(0))
    co_return;
  IsConnecting = true;
  Connected.expires_at(asio::steady_timer::time_point::max());
  co_await connect();
  IsConnecting = false;
  Connected.cancel();
}

asio::awaitable<void> EndpointWatch::connect() {
  boost::beast::tcp_stream stream(Context);
  stream.expires_after(ConnectTimeout);
  auto [ec] = co_await stream.async_connect(Address, AsTuple);
  if (ec)
    co_return;
  Socket = stream.release_socket();
  Current = WatchNumber(++LastNumber);
  asio::co_spawn(Context, awaitLoss(), asio::detached);
}

/// Waits until the connection is closed. An endpoint has nothing to send on it,
/// so one that sends something is about to close it.
asio::awaitable<void> EndpointWatch::awaitLoss() {
  char byte = 0;
  co_await Socket.async_read_some(asio::buffer(&byte, 1), AsTuple);
  boost::system::error_code ignored;
  Socket.close(ignored);
  WatchNumber lost = std::exchange(Current, WatchNumber(0));
  if (!Handlers.IsNeeded())
    co_return;
  co_await open();
  if (Current != WatchNumber(0))
    Handlers.OnReplaced(lost, Current);
}

asio::awaitable<bool> EndpointWatch::outlasts(WatchNumber watch) {
  HostTimer timer(Context, ExitTime);
  co_await timer.async_wait(AsTuple);
  co_return watch != WatchNumber(0) && watch == Current;
}
