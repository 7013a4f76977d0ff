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

  /// Takes the address without accepting yet. Errors: SettingInvalid.
  Result<void> bind(const TcpAddress &address);

  /// From now on connections wait until they are accepted; before, they are
  /// turned away. Errors: SettingInvalid.
  Result<void> beginQueueing();

  /// Begins to accept on the bound address. Errors: SettingInvalid.
  Result<void> beginAccepting();

  /// bind(), then beginAccepting().
  Result<void> listen(const TcpAddress &address);

  /// Bounds for what is read from now on.
  void setLimits(const HttpLimits &limits);

  /// From now on every answer asks its client to close the connection.
  void closeAfterAnswers();

  /// Accepts no connections but those that clients have opened by now, and
  /// closes those that rest between two requests.
  void stopAccepting();

  /// Number of connections with a request begun or answered, or still without
  /// their first request.
  std::size_t busyCount() const;

private:
  struct Shared;

  boost::asio::awaitable<void> acceptLoop();
  void admit(boost::asio::ip::tcp::socket socket);
  static boost::asio::awaitable<void>
  serve(std::shared_ptr<Shared> shared, boost::asio::ip::tcp::socket socket);

  std::shared_ptr<Shared> State;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_HTTP_HTTPSERVER_H
