//===- HttpClient.cpp - HTTP requests with Beast --------------------------===//
//
// See HttpClient.h for the difference between call() and run().
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Http/HttpClient.h"

#include "ospreyspur/Http/ResponseReader.h"
#include "ospreyspur/Http/TcpKeepAlive.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <poll.h>

#include <algorithm>

using namespace ospreyspur;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

static constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
static constexpr std::size_t MaxIdleConnections = 32;
static constexpr ResponseLimits Limits;

void HttpRunHandle::stop() {
  IsStopped = true;
  if (Stream)
    Stream->cancel();
}

bool HttpRunHandle::isOpen() const {
  if (!Stream || !Stream->socket().is_open())
    return false;
  pollfd state{Stream->socket().native_handle(), POLLRDHUP, 0};
  return ::poll(&state, 1, 0) == 0;
}

HttpClient::HttpClient(asio::io_context &ioc, TcpAddress server)
    : Context(ioc), Server(std::move(server)) {}

asio::awaitable<Result<HttpResponse>>
HttpClient::call(HttpRequest request, Duration timeout,
                 ResendPolicy resendPolicy, Duration maxIdle) {
  request.keep_alive(true);
  request.prepare_payload();
  bool isLost = false;
  if (Stream kept = takeIdle(maxIdle, monotonicNow())) {
    kept->expires_after(timeout);
    Result<HttpResponse> response =
        co_await exchange(std::move(kept), request, isLost);
    if (response)
      co_return response;
    // What closed or silenced this connection may have struck the others too.
    Idle.clear();
    if (!isLost || resendPolicy != ResendPolicy::AfterLostConnection)
      co_return Error{response.error().Code,
                      "on a kept connection: " + response.error().Detail};
  }
  Result<Stream> stream = co_await connect(timeout);
  if (!stream)
    co_return stream.error();
  co_return co_await exchange(std::move(stream.value()), request, isLost);
}

HttpClient::Stream HttpClient::takeIdle(Duration maxIdle, TimePoint now) {
  if (Idle.empty() || now - Idle.back().Since > maxIdle)
    return nullptr;
  Stream out = std::move(Idle.back().Connection);
  Idle.pop_back();
  return out;
}

asio::awaitable<Result<HttpClient::Stream>>
HttpClient::connect(Duration timeout) {
  auto stream = std::make_unique<beast::tcp_stream>(Context);
  stream->expires_after(timeout);
  auto [ec] = co_await stream->async_connect(Server, AsTuple);
  if (ec)
    co_return Error{ResultCode::PlatformRefused,
                    "cannot connect: " + ec.message()};
  stream->socket().set_option(asio::ip::tcp::no_delay(true), ec);
  enableKeepAlive(stream->socket());
  co_return std::move(stream);
}

/// Sets \p isLost if the connection closed before the first byte of a response.
asio::awaitable<Result<HttpResponse>>
HttpClient::exchange(Stream stream, const HttpRequest &request, bool &isLost) {
  auto [writeError, written] =
      co_await http::async_write(*stream, request, AsTuple);
  if (writeError) {
    isLost = writeError != beast::error::timeout;
    co_return Error{ResultCode::PlatformTimeout, writeError.message()};
  }
  beast::flat_buffer buf(ResponseReader::bufferBytes(Limits));
  ResponseReader reader(*stream, buf, request.method(), Limits);
  HttpResponse response;
  boost::system::error_code readError = co_await reader.readHead();
  if (!readError) {
    response.base() = reader.head();
    readError = co_await reader.readRest(response.body());
  }
  if (readError) {
    isLost = readError != beast::error::timeout && !reader.hasReceived();
    co_return Error{ResultCode::PlatformTimeout, readError.message()};
  }
  if (reader.mayKeepConnection() && Idle.size() < MaxIdleConnections) {
    stream->expires_never();
    Idle.push_back({std::move(stream), monotonicNow()});
  }
  co_return response;
}

/// Returns why run() received no complete response. A closed or reset
/// connection indicates that the server may have exited; a timeout or a
/// malformed response does not.
static ResultCode classifyFailure(const boost::system::error_code &ec) {
  bool isClosedByServer =
      ec == asio::error::connection_reset || ec == asio::error::broken_pipe ||
      ec == asio::error::eof || ec == http::error::end_of_stream ||
      ec == http::error::partial_message;
  return isClosedByServer ? ResultCode::EndpointFailed
                          : ResultCode::AnswerBroken;
}

asio::awaitable<ResultCode>
HttpClient::run(HttpRequest request, HttpSink sink,
                std::shared_ptr<HttpRunHandle> handle, RunTimeouts timeouts) {
  request.keep_alive(false);
  request.prepare_payload();
  beast::tcp_stream stream(Context);
  struct Registration {
    HttpRunHandle &Handle;
    ~Registration() { Handle.Stream = nullptr; }
  } registration{*handle};
  handle->Stream = &stream;

  TimePoint end = monotonicNow() + timeouts.Total;
  auto startTimeout = [&] {
    stream.expires_after(std::min(timeouts.Idle, end - monotonicNow()));
  };
  startTimeout();
  auto [connectError] = co_await stream.async_connect(Server, AsTuple);
  if (connectError || handle->IsStopped)
    co_return ResultCode::EndpointUnreachable;
  boost::system::error_code ignored;
  stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  auto [writeError, written] =
      co_await http::async_write(stream, request, AsTuple);
  if (writeError)
    co_return classifyFailure(writeError);

  beast::flat_buffer buf(ResponseReader::bufferBytes(Limits));
  ResponseReader reader(stream, buf, request.method(), Limits);
  startTimeout();
  boost::system::error_code ec = co_await reader.readHead();
  if (handle->IsStopped)
    co_return ResultCode::AnswerBroken;
  if (ResponseReader::isSyntaxError(ec))
    handle->SyntaxError = ec.message();
  if (ec)
    co_return classifyFailure(ec);
  sink.OnHead({reader.head().result_int(), reader.head()});
  while (!reader.isDone()) {
    std::string data;
    startTimeout();
    ec = co_await reader.readSome(data);
    if (handle->IsStopped)
      co_return ResultCode::AnswerBroken;
    if (!data.empty())
      sink.OnData(data);
    if (ResponseReader::isSyntaxError(ec))
      handle->SyntaxError = ec.message();
    if (ec)
      co_return classifyFailure(ec);
  }
  handle->HasEndedWithConnection = reader.endsWithConnection();
  co_return ResultCode::Ok;
}
