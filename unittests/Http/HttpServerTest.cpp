//===- HttpServerTest.cpp - a server that stops ---------------------------===//
//
// Real sockets on loopback, each step awaited: what a client has begun before
// the server stops accepting is answered whole.
//
//===----------------------------------------------------------------------===//

#include "FreeAddress.h"

#include "ospreyspur/Http/HttpServer.h"

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace ospreyspur;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

static constexpr std::string_view Request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

static asio::awaitable<void> answer(HttpExchange &exchange) {
  co_await exchange.respond(200, "text/plain", "whole");
}

namespace {
/// A server on a free port of loopback.
class Fixture {
public:
  Fixture() : Server(Context, HttpLimits(), answer) {
    REQUIRE(Server.listen(Address));
  }

  /// A connection that the system has opened and the server has not accepted.
  tcp::socket connect() {
    tcp::socket socket(Context);
    socket.connect(Address);
    return socket;
  }

  /// Everything that the server sends until it closes; its error, if any.
  std::string readAll(tcp::socket &socket) {
    std::string text;
    boost::system::error_code ec;
    asio::async_read(socket, asio::dynamic_buffer(text),
                     [&](boost::system::error_code it, std::size_t /*n*/) {
                       ec = it;
                       Context.stop();
                     });
    Context.restart();
    Context.run();
    return ec == asio::error::eof ? text : ec.message();
  }

  asio::io_context Context;
  HttpServer Server;
  tcp::endpoint Address = test::findFreeAddress();
};
} // namespace

TEST_CASE("connections opened before a server stops accepting are served") {
  Fixture fixture;
  tcp::socket first = fixture.connect();
  tcp::socket second = fixture.connect();
  asio::write(first, asio::buffer(Request));
  fixture.Server.stopAccepting();
  fixture.Context.poll();
  CHECK(fixture.Server.busyCount() > 0);
  // The second client's request comes after the stop.
  asio::write(second, asio::buffer(Request));
  for (tcp::socket *it : {&first, &second}) {
    std::string text = fixture.readAll(*it);
    CHECK(text.starts_with("HTTP/1.1 200"));
    CHECK(text.ends_with("whole"));
  }
  boost::system::error_code ec;
  tcp::socket late(fixture.Context);
  late.connect(fixture.Address, ec);
  CHECK(ec == asio::error::connection_refused);
}

TEST_CASE("a stopping server asks its clients to close and counts none idle") {
  Fixture fixture;
  tcp::socket client = fixture.connect();
  fixture.Context.poll();
  CHECK(fixture.Server.busyCount() == 1);
  fixture.Server.closeAfterAnswers();
  asio::write(client, asio::buffer(Request));
  CHECK(fixture.readAll(client).find("Connection: close") != std::string::npos);
  fixture.Context.restart();
  fixture.Context.poll();
  CHECK(fixture.Server.busyCount() == 0);
}

TEST_CASE("a server that stops accepting closes resting connections") {
  Fixture fixture;
  tcp::socket client = fixture.connect();
  asio::write(client, asio::buffer(Request));
  fixture.Context.poll();
  // Its first request is answered; the connection rests.
  while (client.available() == 0)
    fixture.Context.poll();
  fixture.Context.poll();
  fixture.Server.stopAccepting();
  // The close is there at once; waiting for it would also see the read timeout.
  client.non_blocking(true);
  std::string text;
  boost::system::error_code ec;
  asio::read(client, asio::dynamic_buffer(text), ec);
  CHECK(text.ends_with("whole"));
  CHECK(ec == asio::error::eof);
}

TEST_CASE("connections wait for a server that queues until it accepts") {
  asio::io_context ioc;
  HttpServer server(ioc, HttpLimits(), answer);
  tcp::endpoint address = test::findFreeAddress();
  REQUIRE(server.bind(address));
  REQUIRE(server.beginQueueing());
  tcp::socket client(ioc);
  client.connect(address);
  asio::write(client, asio::buffer(Request));
  ioc.poll();
  CHECK(client.available() == 0);
  REQUIRE(server.beginAccepting());
  ioc.restart();
  while (client.available() == 0)
    ioc.run_one();
  CHECK(client.available() > 0);
}

TEST_CASE("a client that hangs up while it waits is noticed") {
  asio::io_context ioc;
  bool isNoticed = false;
  tcp::endpoint address = test::findFreeAddress();
  HttpServer server(ioc, HttpLimits(),
                    [&](HttpExchange &exchange) -> asio::awaitable<void> {
                      asio::steady_timer timer(ioc, std::chrono::seconds(30));
                      exchange.watchHangUp([&] {
                        isNoticed = true;
                        timer.cancel();
                      });
                      boost::system::error_code ec;
                      co_await timer.async_wait(
                          asio::redirect_error(asio::use_awaitable, ec));
                      exchange.cut();
                    });
  REQUIRE(server.listen(address));
  tcp::socket client(ioc);
  client.connect(address);
  asio::write(client, asio::buffer(Request));
  ioc.poll();
  CHECK_FALSE(isNoticed);
  client.close();
  while (!isNoticed)
    ioc.run_one();
  CHECK(isNoticed);
}
