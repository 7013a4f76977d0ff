//===- HttpClient.h - HTTP requests to one address --------------*- C++ -*-===//
//
// call() reuses idle connections, for short exchanges that the caller can retry
// or resolve in another way. After a call on one of them has failed, for
// whatever reason, the next call opens a new connection. run() opens a new
// connection for each request, for requests whose caller must know whether they
// may have run: only on a new connection can the client tell "never sent" from
// "lost".
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_HTTP_HTTPCLIENT_H
#define OSPREYSPUR_HTTP_HTTPCLIENT_H

#include "ospreyspur/Http/HttpTypes.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/fields.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ospreyspur {

/// Whether call() may send a request a second time.
enum class ResendPolicy : std::uint8_t {
  Never,
  /// The request is sent again at once on a new connection if an idle
  /// connection closed before the first byte of the response. For requests that
  /// are safe to send twice.
  AfterLostConnection,
};

/// Status and headers of a streamed response.
struct HttpResponseHead {
  unsigned Status = 0;
  const boost::beast::http::fields &Fields;
};

/// Receives a streamed response.
struct HttpSink {
  std::function<void(const HttpResponseHead &)> OnHead;
  std::function<void(std::string_view data)> OnData;
};

/// Limits on the time of a run().
struct RunTimeouts {
  /// Of each wait for the server.
  Duration Idle{};
  /// Of the whole run, from the connection attempt on.
  Duration Total{};
};

/// Stops a run() early.
class HttpRunHandle {
public:
  /// Cancels the pending operation; run() then closes the connection and
  /// returns.
  void stop();
  /// Whether the run has a connection that the server has not closed.
  bool isOpen() const;
  /// Whether nothing but the end of the connection marked the end of the
  /// response. A server that exits ends its connections in the same way.
  bool hasEndedWithConnection() const { return HasEndedWithConnection; }
  /// Why the bytes received are no response; empty if they are one, or if the
  /// run ended for another reason.
  const std::string &syntaxError() const { return SyntaxError; }

private:
  friend class HttpClient;
  boost::beast::tcp_stream *Stream = nullptr;
  bool IsStopped = false;
  bool HasEndedWithConnection = false;
  std::string SyntaxError;
};

/// A client of one server.
class HttpClient {
public:
  HttpClient(boost::asio::io_context &ioc, TcpAddress server);

  /// Sends \p request and reads the complete response. Uses no connection that
  /// was idle for longer than \p maxIdle. Errors: PlatformRefused (the request
  /// was not sent) or PlatformTimeout (it may have arrived).
  boost::asio::awaitable<Result<HttpResponse>>
  call(HttpRequest request, Duration timeout,
       ResendPolicy resendPolicy = ResendPolicy::Never,
       Duration maxIdle = Duration::max());

  /// Sends \p request on a new connection and streams the response to \p sink.
  /// Returns Ok if the response was complete, EndpointUnreachable if the
  /// request was not sent because the connection was not established or the run
  /// was stopped, EndpointFailed if the server closed or reset the connection
  /// before the response was complete, and AnswerBroken otherwise.
  boost::asio::awaitable<ResultCode> run(HttpRequest request, HttpSink sink,
                                         std::shared_ptr<HttpRunHandle> handle,
                                         RunTimeouts timeouts);

private:
  using Stream = std::unique_ptr<boost::beast::tcp_stream>;

  struct IdleConnection {
    Stream Connection;
    TimePoint Since;
  };

  /// Removes and returns the connection that was used last; null if it was idle
  /// for longer than \p maxIdle.
  Stream takeIdle(Duration maxIdle, TimePoint now);
  boost::asio::awaitable<Result<Stream>> connect(Duration timeout);
  boost::asio::awaitable<Result<HttpResponse>>
  exchange(Stream stream, const HttpRequest &request, bool &isLost);

  boost::asio::io_context &Context;
  TcpAddress Server;
  std::vector<IdleConnection> Idle;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_HTTP_HTTPCLIENT_H
