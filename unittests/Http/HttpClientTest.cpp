//===- HttpClientTest.cpp - idle connections that close -------------------===//
//
// Guards against lost or duplicated requests when a server closes an idle
// connection without "Connection: close" in its response. Uses loopback
// sockets.
//
//===----------------------------------------------------------------------===//

#include "FreeAddress.h"

#include "ospreyspur/Http/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

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
