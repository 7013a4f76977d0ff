//===- HttpConnection.h - one client of an HttpServer -----------*- C++ -*-===//
//
// Reads the requests of one connection within the limits and passes each to the
// server's handler.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_LIB_HTTP_HTTPCONNECTION_H
#define OSPREYSPUR_LIB_HTTP_HTTPCONNECTION_H

#include "HttpServerState.h"

#include "ospreyspur/Support/ByteReservation.h"
#include "ospreyspur/Support/ResultCode.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>

namespace ospreyspur {

/// One connection of a client; all functions run on the server's thread.
class HttpConnection {
public:
  HttpConnection(std::shared_ptr<HttpServer::SharedState> server,
                 boost::asio::ip::tcp::socket socket);
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;
  ~HttpConnection();

  /// Serves requests until the connection is closed.
  boost::asio::awaitable<void> run();
  /// Closes the socket and returns the memory that was reserved for a request;
  /// run() then returns.
  void close();
  /// Whether the connection waits for a request of which nothing has arrived.
  bool isIdle() const { return IsIdle; }
  /// The client's address, for the log.
  const boost::asio::ip::tcp::endpoint &client() const { return Client; }

private:
  using ErrorCode = boost::system::error_code;
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  boost::asio::awaitable<ErrorCode> readRequest(Parser &parser);
  boost::asio::awaitable<ErrorCode> awaitFirstBytes(Parser &parser);
  boost::asio::awaitable<ErrorCode> readHeaders(Parser &parser);
  boost::asio::awaitable<ErrorCode> readBody(Parser &parser);
  boost::asio::awaitable<void> refuse(HttpExchange &exchange, ErrorCode ec);
  boost::asio::awaitable<void> discardInput();
  bool reserve(std::size_t n);
  void setBusy(bool isBusy);

  std::shared_ptr<HttpServer::SharedState> Server;
  boost::beast::tcp_stream Stream;
  boost::asio::ip::tcp::endpoint Client;
  boost::beast::flat_buffer Buffer;
  ConnectionId Id;
  /// Memory of the request that is being read or handled.
  ByteReservation RequestBytes;
  bool HasRequestBegun = false;
  /// Whether this side has closed the connection.
  bool IsClosed = false;
  bool IsBusy = false;
  bool IsIdle = false;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_LIB_HTTP_HTTPCONNECTION_H
