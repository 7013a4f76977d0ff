//===- HttpClient.h - HTTP requests to one address --------------*- C++ -*-===//
//
// Two ways to ask: call() on kept connections for short exchanges that the
// caller can repeat or settle, and run() on a connection of its own for
// requests whose fate matters: only there can "never sent" be told from "lost".
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
#include <string_view>
#include <vector>

namespace ospreyspur {

/// Whether a request may be sent a second time.
enum class Repetition : std::uint8_t {
  Never,
  /// It does no harm to send it again at once: on a new connection, if a kept
  /// one ended without a byte of an answer.
  AfterLostConnection,
};

/// The head of a streamed answer.
struct HttpRunHead {
  unsigned Status = 0;
  const boost::beast::http::fields &Fields;
};

/// Receives a streamed answer.
struct HttpSink {
  std::function<void(const HttpRunHead &)> OnHead;
  std::function<void(std::string_view data)> OnData;
};

/// Stops a run() early.
class HttpRunHandle {
public:
  /// Closes the connection; run() returns soon after.
  void stop();

private:
  friend class HttpClient;
  boost::beast::tcp_stream *Stream = nullptr;
  bool IsStopped = false;
};

/// A client of one server.
class HttpClient {
public:
  HttpClient(boost::asio::io_context &ioc, TcpAddress server);

  /// Sends \p request and reads the whole answer. Errors: PlatformRefused (the
  /// request was not sent) or PlatformTimeout (it may have arrived).
  boost::asio::awaitable<Result<HttpResponse>>
  call(HttpRequest request, Duration timeout,
       Repetition repetition = Repetition::Never);

  /// Sends \p request on a connection of its own and streams the answer into
  /// \p sink. Ok if the answer came whole; EndpointUnreachable if the
  /// connection was never made; EndpointFailed if the server closed or reset it
  /// before the answer was whole; AnswerBroken otherwise. \p idle bounds each
  /// wait.
  boost::asio::awaitable<ResultCode> run(HttpRequest request, HttpSink sink,
                                         std::shared_ptr<HttpRunHandle> handle,
                                         Duration idle);

private:
  using Stream = std::unique_ptr<boost::beast::tcp_stream>;

  boost::asio::awaitable<Result<Stream>> connect(Duration timeout);
  boost::asio::awaitable<Result<HttpResponse>>
  exchange(Stream stream, const HttpRequest &request, bool &isLost);

  boost::asio::io_context &Context;
  TcpAddress Server;
  std::vector<Stream> Idle;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_HTTP_HTTPCLIENT_H
