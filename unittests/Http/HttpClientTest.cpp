//===- HttpClientTest.cpp - idle connections that close or fall silent ----===//
//
// Guards against lost or duplicated requests when a server closes an idle
// connection without "Connection: close" in its response, and against calls
// that time out one after the other when all idle connections fell silent. Uses
// loopback sockets.
//
//===----------------------------------------------------------------------===//

#include "FreeAddress.h"
#include "SilenceableRelay.h"

#include "ospreyspur/Http/HttpClient.h"
#include "ospreyspur/Http/HttpServer.h"
#include "ospreyspur/Http/TcpKeepAlive.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <optional>

using namespace ospreyspur;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using std::chrono::seconds;

namespace {
/// Answers the first request of each connection and then closes it.
class OneResponseServer {
public:
  OneResponseServer() : Acceptor(Context, Address) {
    asio::co_spawn(Context, serve(), asio::detached);
  }

  /// Makes two calls in sequence and returns whether each succeeded.
  std::pair<bool, bool> callTwice(ResendPolicy resendPolicy) {
    std::pair<bool, bool> out;
    HttpClient client(Context, Address);
    asio::co_spawn(Context, callBoth(client, resendPolicy, out),
                   asio::detached);
    Context.run();
    return out;
  }

  unsigned connections() const { return Connections; }

private:
  asio::awaitable<void> serve() {
    for (;;) {
      tcp::socket socket = co_await Acceptor.async_accept(asio::use_awaitable);
      ++Connections;
      std::string text;
      co_await asio::async_read_until(socket, asio::dynamic_buffer(text),
                                      "\r\n\r\n", asio::use_awaitable);
      std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
      co_await asio::async_write(socket, asio::buffer(answer),
                                 asio::use_awaitable);
    }
  }

  asio::awaitable<void> callBoth(HttpClient &client, ResendPolicy resendPolicy,
                                 std::pair<bool, bool> &out) {
    HttpRequest request(boost::beast::http::verb::get, "/", 11);
    out.first = bool(co_await client.call(request, seconds(5), resendPolicy));
    out.second = bool(co_await client.call(request, seconds(5), resendPolicy));
    Context.stop();
  }

  asio::io_context Context;
  tcp::endpoint Address = test::findFreeAddress();
  tcp::acceptor Acceptor;
  unsigned Connections = 0;
};
} // namespace

TEST_CASE("a call that may be resent succeeds if its idle connection closed") {
  OneResponseServer server;
  CHECK(server.callTwice(ResendPolicy::AfterLostConnection) ==
        std::pair(true, true));
  CHECK(server.connections() == 2);
}

TEST_CASE("a call that may not be resent fails if its idle connection closed") {
  OneResponseServer server;
  CHECK(server.callTwice(ResendPolicy::Never) == std::pair(true, false));
  CHECK(server.connections() == 1);
}

// Guards against a timeout for each kept connection: all of them fell silent at
// the same moment, and the calls of one process are made on whichever is kept.
TEST_CASE("a call after one that timed out on a silent connection succeeds") {
  constexpr unsigned Connections = 4;
  constexpr Duration Timeout = std::chrono::milliseconds(100);
  asio::io_context ioc;
  HttpServer server(ioc, HttpLimits(),
                    [](HttpExchange &it) -> asio::awaitable<void> {
                      co_await it.respond(200, "text/plain", "ok");
                    });
  tcp::endpoint address = test::findFreeAddress();
  REQUIRE(server.listen(address));
  test::SilenceableRelay relay(ioc, address);
  HttpClient client(ioc, relay.address());
  unsigned good = 0;
  auto call = [&]() -> asio::awaitable<void> {
    HttpRequest request(boost::beast::http::verb::get, "/", 11);
    if (co_await client.call(std::move(request), Timeout))
      ++good;
  };
  auto run = [&](unsigned n) {
    good = 0;
    for (unsigned i = 0; i < n; ++i)
      asio::co_spawn(ioc, call(), asio::detached);
    ioc.restart();
    ioc.run_for(2 * Timeout);
    return good;
  };
  CHECK(run(Connections) == Connections);
  CHECK(relay.connectionCount() == Connections);
  relay.silence();
  CHECK(run(1) == 0);
  CHECK(run(1) == 1);
  CHECK(run(1) == 1);
}

// Guards against a long poll whose own wait is the only sign that its
// connection has fallen silent.
TEST_CASE("a call that waits on a silent connection ends before its timeout") {
  constexpr Duration Timeout = seconds(8);
  constexpr Duration Slack = std::chrono::milliseconds(500);
  asio::io_context ioc;
  HttpServer server(
      ioc, HttpLimits(), [&](HttpExchange &) -> asio::awaitable<void> {
        asio::steady_timer never(ioc, asio::steady_timer::time_point::max());
        co_await never.async_wait(asio::use_awaitable);
      });
  tcp::endpoint address = test::findFreeAddress();
  REQUIRE(server.listen(address));
  test::SilenceableRelay relay(ioc, address);
  HttpClient client(ioc, relay.address());
  std::optional<TimePoint> endedAt;
  auto call = [&]() -> asio::awaitable<void> {
    HttpRequest request(boost::beast::http::verb::get, "/", 11);
    CHECK_FALSE(co_await client.call(std::move(request), Timeout));
    endedAt = monotonicNow();
  };
  asio::co_spawn(ioc, call(), asio::detached);
  ioc.run_for(std::chrono::milliseconds(200));
  TimePoint silentSince = monotonicNow();
  relay.silence();
  ioc.restart();
  ioc.run_for(TcpKeepAlive::DetectionTime + Slack);
  REQUIRE(endedAt);
  CHECK(*endedAt - silentSince <= TcpKeepAlive::DetectionTime + Slack);
}
