//===- LivenessCheck.cpp - checks if an endpoint has exited ---------------===//
//
// Connections to a process that has exited are refused until the process is
// restarted, which takes seconds; the engine then reports a new incarnation.
// While a process exits, its sockets are closed one by one: the listening
// socket may still accept a connection that is reset a moment later.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/LivenessCheck.h"

#include "ospreyspur/Http/ResponseReader.h"
#include "ospreyspur/Process/HostTimer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>

using namespace ospreyspur;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// How long a connection attempt to an endpoint that cut off a response may
/// take; inside a region a connection is established within milliseconds.
static constexpr Duration CheckTimeout = std::chrono::milliseconds(300);

/// How long an endpoint may take to respond to a query.
static constexpr Duration QueryTimeout = std::chrono::milliseconds(400);
static constexpr ResponseLimits Limits{16U << 10U, 1U << 20U};

/// How often an endpoint that accepts connections and closes them at once is
/// checked, and the time between two checks. A connection that stays open for
/// CheckInterval belongs to a running process: an exiting process closes all
/// its sockets within a millisecond.
static constexpr unsigned MaxLivenessChecks = 3;
static constexpr Duration CheckInterval = std::chrono::milliseconds(25);

static constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

static asio::awaitable<void> sleepFor(asio::io_context &ioc, Duration span) {
  HostTimer timer(ioc, span);
  co_await timer.async_wait(AsTuple);
}

/// Whether the other side keeps the connection for CheckInterval.
static asio::awaitable<bool> staysOpen(beast::tcp_stream &stream) {
  char byte = 0;
  stream.expires_after(CheckInterval);
  auto [ec, n] =
      co_await stream.async_read_some(asio::buffer(&byte, 1), AsTuple);
  co_return ec == beast::error::timeout;
}

/// Sends the query; empty if the response does not tell the incarnation.
static asio::awaitable<std::optional<bool>>
isExpectedIncarnation(beast::tcp_stream &stream,
                      const IncarnationQuery &query) {
  stream.expires_after(QueryTimeout);
  auto [writeError, written] =
      co_await http::async_write(stream, query.Request, AsTuple);
  if (writeError)
    co_return std::nullopt;
  beast::flat_buffer buf(ResponseReader::bufferBytes(Limits));
  ResponseReader reader(stream, buf, query.Request.method(), Limits);
  HttpResponse response;
  boost::system::error_code ec = co_await reader.readHead();
  if (!ec) {
    response.base() = reader.head();
    ec = co_await reader.readRest(response.body());
  }
  if (ec)
    co_return std::nullopt;
  co_return query.IsExpected(response);
}

asio::awaitable<EndpointLiveness>
ospreyspur::checkLiveness(asio::io_context &ioc, TcpAddress address,
                          std::optional<IncarnationQuery> query) {
  for (unsigned i = 0; i < MaxLivenessChecks; ++i) {
    if (i > 0)
      co_await sleepFor(ioc, CheckInterval);
    beast::tcp_stream stream(ioc);
    stream.expires_after(CheckTimeout);
    auto [ec] = co_await stream.async_connect(address, AsTuple);
    if (ec == asio::error::connection_refused)
      co_return EndpointLiveness::Exited;
    if (ec == beast::error::timeout)
      co_return EndpointLiveness::Unknown;
    if (ec)
      continue;
    if (!query) {
      if (co_await staysOpen(stream))
        co_return EndpointLiveness::Alive;
      continue;
    }
    std::optional<bool> isExpected =
        co_await isExpectedIncarnation(stream, *query);
    if (isExpected)
      co_return *isExpected ? EndpointLiveness::Alive
                            : EndpointLiveness::Exited;
  }
  co_return EndpointLiveness::Unknown;
}

asio::awaitable<void> ospreyspur::waitForClose(asio::io_context &ioc,
                                               TcpAddress address,
                                               Duration limit) {
  beast::tcp_stream stream(ioc);
  stream.expires_after(CheckTimeout);
  auto [connectError] = co_await stream.async_connect(address, AsTuple);
  char byte = 0;
  if (!connectError) {
    stream.expires_after(std::max<Duration>(limit, Duration::zero()));
    co_await stream.async_read_some(asio::buffer(&byte, 1), AsTuple);
  }
  co_await sleepFor(ioc, CheckInterval);
}

const char *ospreyspur::toString(EndpointLiveness liveness) {
  static constexpr std::array Words = {"alive", "ended", "unknown"};
  return Words.at(static_cast<std::size_t>(liveness));
}
