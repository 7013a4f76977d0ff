//===- HttpServer.h - accepts HTTP connections ------------------*- C++ -*-===//
//
// Reads requests within limits and hands each to a handler coroutine. All runs
// on the thread of the given io_context.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_HTTP_HTTPSERVER_H
#define OSPREYSPUR_HTTP_HTTPSERVER_H

#include "ospreyspur/Http/HttpExchange.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace ospreyspur {

/// Answers one request.
using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange &)>;

/// An HTTP/1.1 server on one address.
class HttpServer {
public:
  HttpServer(boost::asio::io_context &ioc, HttpLimits limits,
             HttpHandler handler);

  /// Begins to accept. Errors: SettingInvalid.
  Result<void> listen(const TcpAddress &address);

  /// Accepts no further connections; open ones finish what they do.
  void stopAccepting();

  /// Number of open connections.
  std::size_t connectionCount() const;

private:
  struct Shared;

  boost::asio::awaitable<void> acceptLoop();
  static boost::asio::awaitable<void>
  serve(std::shared_ptr<Shared> shared, boost::asio::ip::tcp::socket socket);

  std::shared_ptr<Shared> State;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_HTTP_HTTPSERVER_H
