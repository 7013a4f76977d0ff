//===- HttpExchange.h - one request and its answer --------------*- C++ -*-===//
//
// What a request handler of HttpServer works on: the request, and the ways to
// answer it, whole or piece by piece.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_HTTP_HTTPEXCHANGE_H
#define OSPREYSPUR_HTTP_HTTPEXCHANGE_H

#include "ospreyspur/Http/HttpTypes.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace ospreyspur {

/// One request on a connection. Functions that write return false once the
/// client is gone.
class HttpExchange {
public:
  HttpExchange(boost::beast::tcp_stream &stream, const HttpRequest &request,
               const HttpLimits &limits);
  HttpExchange(const HttpExchange &) = delete;
  HttpExchange &operator=(const HttpExchange &) = delete;
  ~HttpExchange();

  /// The request, with its whole body.
  const HttpRequest &request() const { return Request; }

  /// The value of header \p name, empty if absent.
  std::string header(std::string_view name) const;

  /// Answers with a whole response.
  boost::asio::awaitable<bool> respond(HttpResponse response);

  /// Answers with \p body; \p contentType as in the header.
  boost::asio::awaitable<bool>
  respond(unsigned status, std::string_view contentType, std::string body);

  /// Begins an answer whose length is not known.
  boost::asio::awaitable<bool> beginStream(unsigned status,
                                           std::string_view contentType);
  /// Begins an answer whose length is not known with the status and headers of
  /// \p head.
  boost::asio::awaitable<bool> beginStream(const HttpResponse &head);
  /// Calls \p onHangUp once if the client closes its connection before the
  /// handler has ended. A client that has sent more than this request is not
  /// watched.
  void watchHangUp(std::function<void()> onHangUp);
  /// Adds to a streamed answer.
  boost::asio::awaitable<bool> writeStream(std::string data);
  /// Ends a streamed answer as whole.
  boost::asio::awaitable<bool> endStream();
  /// Makes the connection close without ending the answer, so that the client
  /// sees it as cut.
  void cut() { MustClose = true; }
  /// Makes the answer ask the client to close the connection. Call before the
  /// answer begins.
  void closeAfterAnswer() { MustClose = true; }

  bool mustClose() const { return MustClose; }
  bool hasBegun() const { return HasBegun; }

private:
  /// Outlives the exchange, as the wait for the socket may.
  struct HangUpWatch {
    bool IsOn = true;
    std::function<void()> OnHangUp;
  };

  boost::beast::tcp_stream &Stream;
  const HttpRequest &Request;
  const HttpLimits &Limits;
  std::shared_ptr<HangUpWatch> Watch;
  bool HasBegun = false;
  bool MustClose = false;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_HTTP_HTTPEXCHANGE_H
