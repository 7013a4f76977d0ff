//===- HttpExchange.h - one request and its response ------------*- C++ -*-===//
//
// The interface of HttpServer to a request handler: the request, and functions
// that send a response, either complete or as a stream.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_HTTP_HTTPEXCHANGE_H
#define OSPREYSPUR_HTTP_HTTPEXCHANGE_H

#include "ospreyspur/Http/HttpTypes.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace ospreyspur {

/// One request on a connection. Functions that write return false once the
/// client has disconnected or does not read in time.
class HttpExchange {
public:
  HttpExchange(boost::beast::tcp_stream &stream, const HttpRequest &request,
               const HttpLimits &limits);
  HttpExchange(const HttpExchange &) = delete;
  HttpExchange &operator=(const HttpExchange &) = delete;
  ~HttpExchange();

  /// The request, with its complete body.
  const HttpRequest &request() const { return Request; }

  /// Returns the value of header \p name; empty if absent.
  std::string header(std::string_view name) const;

  /// Sends a complete response.
  boost::asio::awaitable<bool> respond(HttpResponse response);

  /// Sends a complete response with \p body; \p contentType is the value of the
  /// Content-Type header.
  boost::asio::awaitable<bool>
  respond(unsigned status, std::string_view contentType, std::string body);

  /// Begins a streamed response of unknown length.
  boost::asio::awaitable<bool> beginStream(unsigned status,
                                           std::string_view contentType);
  /// Begins a streamed response of unknown length with the status and headers
  /// of \p head.
  boost::asio::awaitable<bool> beginStream(const HttpResponse &head);
  /// Calls \p onDisconnect once if the client closes its connection before the
  /// handler has returned.
  void watchDisconnect(std::function<void()> onDisconnect);
  /// Sends a part of a streamed response.
  boost::asio::awaitable<bool> writeStream(std::string data);
  /// Marks the end of a complete streamed response.
  boost::asio::awaitable<bool> endStream();
  /// Closes the connection after the handler returns, without marking the end
  /// of the response, so that the client detects that the response is
  /// incomplete.
  void abort() { MustClose = true; }
  /// Sends "Connection: close" with the response. Must be called before the
  /// response begins.
  void closeAfterResponse() { MustClose = true; }

  bool mustClose() const { return MustClose; }
  bool hasBegun() const { return HasBegun; }
  /// Whether a write was given up because the client did not read in time.
  bool hasTimedOut() const { return HasTimedOut; }

private:
  void recordWrite(const boost::system::error_code &ec);

  /// Shared with the wait for the socket, which may outlive the exchange.
  struct DisconnectWatch {
    explicit DisconnectWatch(boost::beast::tcp_stream &stream)
        : Timer(stream.get_executor()) {}

    bool IsOn = true;
    std::function<void()> OnDisconnect;
    boost::asio::steady_timer Timer;
  };

  static void pollDisconnect(const std::shared_ptr<DisconnectWatch> &watch,
                             boost::asio::ip::tcp::socket &socket);

  boost::beast::tcp_stream &Stream;
  const HttpRequest &Request;
  const HttpLimits &Limits;
  std::shared_ptr<DisconnectWatch> Watch;
  bool HasBegun = false;
  bool MustClose = false;
  bool HasTimedOut = false;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_HTTP_HTTPEXCHANGE_H
