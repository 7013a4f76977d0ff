//===- HttpConnection.cpp - one client of an HttpServer -------------------===//
//
// See HttpConnection.h.
//
//===----------------------------------------------------------------------===//

#include "HttpConnection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <tuple>
#include <utility>

using namespace ospreyspur;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

static constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

/// Size of the read buffer beyond the limit on headers, so that the parser sees
/// headers that exceed the limit.
static constexpr std::size_t BufferMargin = 1U << 10U;
/// Memory of a request beside its headers and its body.
static constexpr std::size_t RequestOverheadBytes = 4U << 10U;
/// How often the headers of a request are in memory while it is handled.
static constexpr std::size_t HeaderCopies = 2;
/// After a refusal, input is read and discarded for this time and up to this
/// size: closing a connection with unread data resets it, and the client may
/// then lose the response.
static constexpr Duration DiscardTime = std::chrono::seconds(1);
static constexpr std::size_t MaxDiscardedBytes = 256U << 10U;
static constexpr std::size_t DiscardBufferBytes = 4U << 10U;
/// Retry-After of a request for which there is no memory; another process may
/// have some.
static constexpr std::string_view RetryAfterSeconds = "0.1";

static constexpr std::string_view ContinueResponse =
    "HTTP/1.1 100 Continue\r\n\r\n";

/// Returns why a request could not be read; Cancelled if there is no client to
/// report it to.
static ResultCode codeOfReadError(const boost::system::error_code &ec) {
  if (ec == http::error::body_limit)
    return ResultCode::TooLarge;
  if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
    return ResultCode::HeadersTooLarge;
  if (ec == beast::error::timeout)
    return ResultCode::Cancelled;
  if (ec == boost::system::errc::not_enough_memory)
    return ResultCode::MemoryExhausted;
  if (ec.category() == make_error_code(http::error::bad_method).category() &&
      ec != http::error::end_of_stream && ec != http::error::partial_message)
    return ResultCode::BadRequest;
  return ResultCode::Cancelled;
}

/// Returns whether the client waits for "100 Continue" before it sends the
/// body.
static bool expectsContinue(const HttpRequest &request) {
  return beast::iequals(request[http::field::expect], "100-continue");
}

/// Returns the memory that the headers of \p request take up.
static std::size_t headerBytes(const HttpRequest &request) {
  std::size_t n = request.target().size();
  for (const auto &it : request)
    n += it.name_string().size() + it.value().size() + sizeof(it);
  return n;
}

HttpConnection::HttpConnection(std::shared_ptr<HttpServer::SharedState> server,
                               asio::ip::tcp::socket socket)
    : Server(std::move(server)), Stream(std::move(socket)),
      Id(Server->Table.add(monotonicNow())),
      RequestBytes(Server->Context.RequestBytes) {
  boost::system::error_code ignored;
  Client = Stream.socket().remote_endpoint(ignored);
  Stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  Server->Connections.emplace(Id, this);
  // A new connection counts as busy, because its first request is on the way.
  setBusy(true);
}

HttpConnection::~HttpConnection() {
  setBusy(false);
  Server->Table.remove(Id);
  Server->Connections.erase(Id);
}

void HttpConnection::close() {
  IsClosed = true;
  RequestBytes.reset();
  Stream.close();
}

void HttpConnection::setBusy(bool isBusy) {
  if (std::exchange(IsBusy, isBusy) == isBusy)
    return;
  if (isBusy)
    ++Server->Busy;
  else
    --Server->Busy;
}

/// Takes memory for the request. If there is none left, clients that have kept
/// the server waiting for longer than this one lose theirs.
bool HttpConnection::reserve(std::size_t n) {
  while (!RequestBytes.grow(n)) {
    std::optional<ConnectionId> longest = Server->Table.longestReading();
    if (!longest || *longest == Id)
      return false;
    Server->evict(*longest, "memory");
  }
  return true;
}

asio::awaitable<void> HttpConnection::run() {
  for (bool isOpen = true; isOpen;) {
    Parser parser;
    ErrorCode ec = co_await readRequest(parser);
    if (IsClosed)
      break;
    HttpRequest request = parser.release();
    HttpExchange exchange(Stream, request, Server->Limits);
    if (Server->ClosesAfterResponses)
      exchange.closeAfterResponse();
    if (ec) {
      co_await refuse(exchange, ec);
      break;
    }
    Server->Table.beginHandling(Id);
    Stream.expires_never();
    co_await Server->Handler(exchange);
    isOpen = !exchange.mustClose();
    setBusy(false);
    RequestBytes.reset();
    Server->Table.beginWaiting(Id, monotonicNow());
  }
  boost::system::error_code ignored;
  Stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
}

/// Reports to the client that its request could not be read.
asio::awaitable<void> HttpConnection::refuse(HttpExchange &exchange,
                                             ErrorCode ec) {
  ResultCode code = codeOfReadError(ec);
  exchange.abort();
  if (ec == beast::error::timeout && HasRequestBegun)
    Server->recordRefusal("timeout", 0, Client, "");
  if (code == ResultCode::Cancelled)
    co_return;
  const ResultInfo &info = describe(code);
  const std::string &idHeader = Server->Context.IdHeader;
  std::string id = idHeader.empty() ? "" : exchange.header(idHeader);
  Server->recordRefusal(info.Name, info.HttpStatus, Client, id);
  HttpResponse response;
  response.result(info.HttpStatus);
  if (!id.empty())
    response.set(idHeader, id);
  response.set(http::field::content_type, "text/plain");
  if (code == ResultCode::MemoryExhausted)
    response.set(http::field::retry_after,
                 {RetryAfterSeconds.data(), RetryAfterSeconds.size()});
  response.body() = std::to_string(static_cast<unsigned>(code)) + ' ' +
                    std::string(info.Message) + '\n';
  RequestBytes.reset();
  if (co_await exchange.respond(std::move(response)))
    co_await discardInput();
}

asio::awaitable<void> HttpConnection::discardInput() {
  boost::system::error_code ec;
  Stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
  Stream.expires_after(DiscardTime);
  std::array<char, DiscardBufferBytes> buf;
  for (std::size_t n = 0; !ec && n < MaxDiscardedBytes;) {
    std::size_t got = 0;
    std::tie(ec, got) =
        co_await Stream.async_read_some(asio::buffer(buf), AsTuple);
    n += got;
  }
}

asio::awaitable<HttpConnection::ErrorCode>
HttpConnection::readRequest(Parser &parser) {
  const HttpLimits &limits = Server->Limits;
  // The parser buffers a chunk's size and extensions and all trailers until
  // they are complete, and its own limits do not count them.
  Buffer.max_size(
      std::max(limits.MaxHeaderBytes + BufferMargin, Buffer.size()));
  parser.header_limit(static_cast<std::uint32_t>(limits.MaxHeaderBytes));
  parser.body_limit(limits.MaxBodyBytes);
  ErrorCode ec = co_await awaitFirstBytes(parser);
  if (!ec && !parser.is_header_done())
    ec = co_await readHeaders(parser);
  if (!ec &&
      !reserve(RequestOverheadBytes + HeaderCopies * headerBytes(parser.get())))
    ec = make_error_code(boost::system::errc::not_enough_memory);
  if (!ec && !parser.is_done())
    ec = co_await readBody(parser);
  co_return ec;
}

asio::awaitable<HttpConnection::ErrorCode>
HttpConnection::awaitFirstBytes(Parser &parser) {
  HasRequestBegun = false;
  IsIdle = !IsBusy && Buffer.size() == 0;
  // A client that sends nothing for long takes up no buffer meanwhile.
  if (IsIdle)
    Buffer.shrink_to_fit();
  Stream.expires_after(Server->Limits.ReadTimeout);
  auto [ec, n] =
      co_await http::async_read_some(Stream, Buffer, parser, AsTuple);
  IsIdle = false;
  setBusy(true);
  HasRequestBegun = parser.got_some() || Buffer.size() > 0;
  if (HasRequestBegun)
    Server->Table.beginReading(Id, monotonicNow());
  co_return ec;
}

asio::awaitable<HttpConnection::ErrorCode>
HttpConnection::readHeaders(Parser &parser) {
  Stream.expires_after(Server->Limits.HeaderTimeout);
  auto [ec, n] =
      co_await http::async_read_header(Stream, Buffer, parser, AsTuple);
  co_return ec;
}

asio::awaitable<HttpConnection::ErrorCode>
HttpConnection::readBody(Parser &parser) {
  Stream.expires_after(Server->Limits.ReadTimeout);
  ErrorCode ec;
  if (expectsContinue(parser.get()))
    ec = std::get<0>(co_await asio::async_write(
        Stream, asio::buffer(ContinueResponse), AsTuple));
  // The parser adds trailers to the headers.
  std::optional<http::request_header<>> headers;
  if (parser.chunked())
    headers = parser.get().base();
  parser.eager(true);
  while (!ec && !parser.is_done()) {
    std::size_t before = parser.get().body().size();
    ec = std::get<0>(
        co_await http::async_read_some(Stream, Buffer, parser, AsTuple));
    std::size_t added = parser.get().body().size() - before;
    if (!ec && !reserve(Server->Context.BodyCopies * added))
      ec = make_error_code(boost::system::errc::not_enough_memory);
  }
  if (headers)
    parser.get().base() = std::move(*headers);
  co_return ec;
}
