//===- HttpExchange.cpp - writes the response to one request --------------===//
//
// See HttpExchange.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Http/HttpExchange.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

using namespace ospreyspur;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

static constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
/// Interval between two checks whether a client that has sent data after its
/// request has closed its connection.
static constexpr Duration DisconnectPollInterval =
    std::chrono::milliseconds(200);

HttpExchange::HttpExchange(beast::tcp_stream &stream,
                           const HttpRequest &request, const HttpLimits &limits)
    : Stream(stream), Request(request), Limits(limits) {}

HttpExchange::~HttpExchange() {
  if (!Watch)
    return;
  Watch->IsOn = false;
  Watch->Timer.cancel();
  boost::system::error_code ignored;
  Stream.socket().cancel(ignored);
}

/// Returns whether the peer of the readable \p socket has closed or reset it.
static bool isClosedByPeer(asio::ip::tcp::socket &socket) {
  char byte = 0;
  ssize_t n = ::recv(socket.native_handle(), &byte, sizeof(byte),
                     MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

void HttpExchange::watchDisconnect(std::function<void()> onDisconnect) {
  Watch = std::make_shared<DisconnectWatch>(Stream);
  Watch->OnDisconnect = std::move(onDisconnect);
  auto &socket = Stream.socket();
  socket.async_wait(asio::socket_base::wait_read,
                    [watch = Watch, &socket](boost::system::error_code ec) {
                      if (ec || !watch->IsOn)
                        return;
                      if (isClosedByPeer(socket))
                        watch->OnDisconnect();
                      else
                        pollDisconnect(watch, socket);
                    });
}

/// Watches a client that has sent data after its request. That data is not read
/// before the response is complete, so the socket stays readable.
void HttpExchange::pollDisconnect(const std::shared_ptr<DisconnectWatch> &watch,
                                  asio::ip::tcp::socket &socket) {
  watch->Timer.expires_after(DisconnectPollInterval);
  watch->Timer.async_wait([watch, &socket](boost::system::error_code ec) {
    if (ec || !watch->IsOn)
      return;
    pollfd state{socket.native_handle(), POLLRDHUP, 0};
    if (::poll(&state, 1, 0) != 0)
      watch->OnDisconnect();
    else
      pollDisconnect(watch, socket);
  });
}

std::string HttpExchange::header(std::string_view name) const {
  auto it = Request.find(beast::string_view(name.data(), name.size()));
  return it == Request.end() ? std::string() : std::string(it->value());
}

void HttpExchange::recordWrite(const boost::system::error_code &ec) {
  MustClose = MustClose || ec;
  HasTimedOut = HasTimedOut || ec == beast::error::timeout;
}

asio::awaitable<bool> HttpExchange::respond(HttpResponse response) {
  HasBegun = true;
  response.version(Request.version());
  response.keep_alive(Request.keep_alive() && !MustClose);
  response.prepare_payload();
  // A client expects no body after HEAD, so the connection is closed to mark
  // the end of the response.
  bool isHead = Request.method() == http::verb::head;
  MustClose = MustClose || isHead || !response.keep_alive();
  Stream.expires_after(Limits.WriteTimeout);
  auto [ec, n] = co_await http::async_write(Stream, response, AsTuple);
  recordWrite(ec);
  co_return !ec;
}

asio::awaitable<bool> HttpExchange::respond(unsigned status,
                                            std::string_view contentType,
                                            std::string body) {
  HttpResponse response;
  response.result(status);
  response.set(http::field::content_type,
               beast::string_view(contentType.data(), contentType.size()));
  response.body() = std::move(body);
  co_return co_await respond(std::move(response));
}

asio::awaitable<bool> HttpExchange::beginStream(unsigned status,
                                                std::string_view contentType) {
  HttpResponse head;
  head.result(status);
  head.set(http::field::content_type,
           beast::string_view(contentType.data(), contentType.size()));
  co_return co_await beginStream(head);
}

asio::awaitable<bool> HttpExchange::beginStream(const HttpResponse &response) {
  HasBegun = true;
  http::response<http::empty_body> head;
  head.base() = response.base();
  head.version(Request.version());
  head.chunked(true);
  head.keep_alive(Request.keep_alive() && !MustClose);
  MustClose = MustClose || !head.keep_alive();
  http::response_serializer<http::empty_body> serializer(head);
  Stream.expires_after(Limits.WriteTimeout);
  auto [ec, n] = co_await http::async_write_header(Stream, serializer, AsTuple);
  recordWrite(ec);
  co_return !ec;
}

asio::awaitable<bool> HttpExchange::writeStream(std::string data) {
  if (Request.method() == http::verb::head)
    co_return true;
  Stream.expires_after(Limits.WriteTimeout);
  auto chunk = http::make_chunk(asio::buffer(data));
  auto [ec, n] = co_await asio::async_write(Stream, chunk, AsTuple);
  recordWrite(ec);
  co_return !ec;
}

asio::awaitable<bool> HttpExchange::endStream() {
  // The response to HEAD consists of the headers only.
  if (Request.method() == http::verb::head)
    co_return true;
  Stream.expires_after(Limits.WriteTimeout);
  auto last = http::make_chunk_last();
  auto [ec, n] = co_await asio::async_write(Stream, last, AsTuple);
  recordWrite(ec);
  co_return !ec;
}
