//===- HttpServer.cpp - connections and requests --------------------------===//
//
// A slow or misbehaving client takes up one connection and no more than its
// limits allow; other connections are not affected.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Http/HttpServer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <cerrno>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

using namespace ospreyspur;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

static constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

struct HttpServer::SharedState {
  SharedState(asio::io_context &ioc, HttpLimits limits, HttpHandler handler)
      : Acceptor(ioc), Limits(limits), Handler(std::move(handler)) {}

  asio::ip::tcp::acceptor Acceptor;
  HttpLimits Limits;
  HttpHandler Handler;
  std::size_t Connections = 0;
  std::size_t Busy = 0;
  bool ClosesAfterResponses = false;
  /// Connections that are idle between two requests.
  std::set<beast::tcp_stream *> IdleStreams;
};

namespace {
/// Increments a counter for the lifetime of this object.
class ScopedCount {
public:
  explicit ScopedCount(std::size_t &n) : N(n) { ++N; }
  ScopedCount(const ScopedCount &) = delete;
  ScopedCount &operator=(const ScopedCount &) = delete;
  ~ScopedCount() { --N; }

private:
  std::size_t &N;
};
} // namespace

HttpExchange::HttpExchange(beast::tcp_stream &stream,
                           const HttpRequest &request, const HttpLimits &limits)
    : Stream(stream), Request(request), Limits(limits) {}

HttpExchange::~HttpExchange() {
  if (!Watch)
    return;
  Watch->IsOn = false;
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
  Watch = std::make_shared<DisconnectWatch>();
  Watch->OnDisconnect = std::move(onDisconnect);
  auto &socket = Stream.socket();
  socket.async_wait(asio::socket_base::wait_read,
                    [watch = Watch, &socket](boost::system::error_code ec) {
                      if (!ec && watch->IsOn && isClosedByPeer(socket))
                        watch->OnDisconnect();
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

HttpServer::HttpServer(asio::io_context &ioc, HttpLimits limits,
                       HttpHandler handler)
    : State(std::make_shared<SharedState>(ioc, limits, std::move(handler))) {}

static Error makeListenError(const TcpAddress &address,
                             const boost::system::error_code &ec) {
  return {ResultCode::SettingInvalid,
          "cannot listen on " + address.address().to_string() + ":" +
              std::to_string(address.port()) + ": " + ec.message()};
}

Result<void> HttpServer::bind(const TcpAddress &address) {
  boost::system::error_code ec;
  auto &acceptor = State->Acceptor;
  acceptor.open(address.protocol(), ec);
  if (!ec)
    acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec)
    acceptor.bind(address, ec);
  if (ec)
    return makeListenError(address, ec);
  return boost::outcome_v2::success();
}

Result<void> HttpServer::beginQueueing() {
  boost::system::error_code ec;
  auto &acceptor = State->Acceptor;
  acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec)
    return makeListenError(acceptor.local_endpoint(), ec);
  return boost::outcome_v2::success();
}

Result<void> HttpServer::beginAccepting() {
  Result<void> queueing = beginQueueing();
  if (queueing)
    asio::co_spawn(State->Acceptor.get_executor(), acceptLoop(),
                   asio::detached);
  return queueing;
}

Result<void> HttpServer::listen(const TcpAddress &address) {
  Result<void> bound = bind(address);
  return bound ? beginAccepting() : bound;
}

void HttpServer::setLimits(const HttpLimits &limits) { State->Limits = limits; }

void HttpServer::closeAfterResponses() { State->ClosesAfterResponses = true; }

void HttpServer::stopAccepting() {
  auto &acceptor = State->Acceptor;
  State->ClosesAfterResponses = true;
  // Accepts all queued connections first, because close() would reset them.
  boost::system::error_code ec;
  acceptor.non_blocking(true, ec);
  while (!ec) {
    asio::ip::tcp::socket socket(acceptor.get_executor());
    acceptor.accept(socket, ec);
    if (!ec)
      admit(std::move(socket));
  }
  acceptor.close(ec);
  for (beast::tcp_stream *it : std::exchange(State->IdleStreams, {}))
    it->close();
}

std::size_t HttpServer::busyCount() const { return State->Busy; }

asio::awaitable<void> HttpServer::acceptLoop() {
  auto shared = State;
  while (shared->Acceptor.is_open()) {
    auto [ec, socket] = co_await shared->Acceptor.async_accept(AsTuple);
    if (!ec)
      admit(std::move(socket));
  }
}

void HttpServer::admit(asio::ip::tcp::socket socket) {
  if (State->Connections >= State->Limits.MaxConnections)
    return;
  asio::co_spawn(State->Acceptor.get_executor(),
                 serve(State, std::move(socket)), asio::detached);
}

/// Returns the status for a request that could not be read; 0 to close the
/// connection without a response.
static unsigned statusOfReadError(const boost::system::error_code &ec) {
  if (ec == http::error::body_limit)
    return 413;
  if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
    return 431;
  if (ec == beast::error::timeout)
    return 0;
  if (ec.category() == make_error_code(http::error::bad_method).category() &&
      ec != http::error::end_of_stream)
    return 400;
  return 0;
}

/// Size of the read buffer beyond the limit on headers, so that the parser sees
/// headers that exceed the limit.
static constexpr std::size_t BufferMargin = 1U << 10U;

static constexpr std::string_view ContinueResponse =
    "HTTP/1.1 100 Continue\r\n\r\n";

/// Returns whether the client waits for "100 Continue" before it sends the
/// body.
static bool expectsContinue(const HttpRequest &request) {
  return beast::iequals(request[http::field::expect], "100-continue");
}

asio::awaitable<void> HttpServer::serve(std::shared_ptr<SharedState> shared,
                                        asio::ip::tcp::socket socket) {
  ScopedCount connection(shared->Connections);
  // A new connection counts as busy, because its first request is on the way.
  std::optional<ScopedCount> busy(std::in_place, shared->Busy);
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buf;
  for (bool isOpen = true; isOpen;) {
    http::request_parser<http::string_body> parser;
    // The parser buffers a chunk's size and extensions and all trailers until
    // they are complete, and its own limits do not count them.
    buf.max_size(shared->Limits.MaxHeaderBytes + BufferMargin);
    parser.header_limit(
        static_cast<std::uint32_t>(shared->Limits.MaxHeaderBytes));
    parser.body_limit(shared->Limits.MaxBodyBytes);
    stream.expires_after(shared->Limits.ReadTimeout);
    bool isIdle = !busy && buf.size() == 0;
    if (isIdle)
      shared->IdleStreams.insert(&stream);
    auto [ec, begun] =
        co_await http::async_read_some(stream, buf, parser, AsTuple);
    shared->IdleStreams.erase(&stream);
    if (!busy)
      busy.emplace(shared->Busy);
    if (!ec && !parser.is_done() && expectsContinue(parser.get()))
      ec = std::get<0>(co_await asio::async_write(
          stream, asio::buffer(ContinueResponse), AsTuple));
    if (!ec && !parser.is_header_done())
      ec = std::get<0>(
          co_await http::async_read_header(stream, buf, parser, AsTuple));
    // The parser adds trailers to the headers.
    std::optional<http::request_header<>> headers;
    if (!ec && parser.chunked())
      headers = parser.get().base();
    if (!ec && !parser.is_done())
      ec = std::get<0>(co_await http::async_read(stream, buf, parser, AsTuple));
    if (headers)
      parser.get().base() = std::move(*headers);
    HttpRequest request = parser.release();
    HttpExchange exchange(stream, request, shared->Limits);
    if (shared->ClosesAfterResponses)
      exchange.closeAfterResponse();
    if (ec) {
      exchange.abort();
      if (unsigned status = statusOfReadError(ec))
        co_await exchange.respond(status, "text/plain",
                                  "the request cannot be read\n");
      break;
    }
    stream.expires_never();
    co_await shared->Handler(exchange);
    isOpen = !exchange.mustClose();
    busy.reset();
  }
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
}
