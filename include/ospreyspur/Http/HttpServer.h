//===- HttpServer.h - accepts HTTP connections ------------------*- C++ -*-===//
//
// Reads requests within limits and passes each to a handler coroutine. All code
// runs on the thread of the given io_context.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_HTTP_HTTPSERVER_H
#define OSPREYSPUR_HTTP_HTTPSERVER_H

#include "ospreyspur/Http/HttpExchange.h"
#include "ospreyspur/Http/ListenerContext.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace ospreyspur {

/// Handles one request and sends the response.
using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange &)>;

/// An HTTP/1.1 server on one address.
class HttpServer {
public:
  HttpServer(boost::asio::io_context &ioc, HttpLimits limits,
             HttpHandler handler, ListenerContext context = {});

  /// Binds to the address without listening. Errors: SettingInvalid.
  Result<void> bind(const TcpAddress &address);

  /// Starts to listen: the kernel queues new connections until they are
  /// accepted, and refuses them before this call. Errors: SettingInvalid.
  Result<void> beginQueueing();

  /// Starts to accept connections on the bound address. Errors: SettingInvalid.
  Result<void> beginAccepting();

  /// bind(), then beginAccepting().
  Result<void> listen(const TcpAddress &address);

  /// Sets the limits that apply from now on.
  void setLimits(const HttpLimits &limits);

  /// Sends "Connection: close" with every response from now on.
  void closeAfterResponses();

  /// Accepts the connections that clients have already opened, then no more,
  /// and closes connections that are idle between two requests.
  void stopAccepting();

  /// Number of connections that have a request being read or handled or that
  /// have not received their first request yet.
  std::size_t busyCount() const;

  /// What the server's connections share.
  struct SharedState;

private:
  boost::asio::awaitable<void> acceptLoop();
  void admit(boost::asio::ip::tcp::socket socket);
  static boost::asio::awaitable<void>
  serve(std::shared_ptr<SharedState> shared,
        boost::asio::ip::tcp::socket socket);

  std::shared_ptr<SharedState> State;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_HTTP_HTTPSERVER_H
