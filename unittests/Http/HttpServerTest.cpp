//===- HttpServerTest.cpp - stopping, disconnects and limits --------------===//
//
// Guards against incomplete responses and reset connections when a server stops
// accepting, against undetected disconnects, and against clients that make a
// server hold more than its limits. Uses loopback sockets, and each step waits
// for the previous one.
//
//===----------------------------------------------------------------------===//

#include "FreeAddress.h"

#include "ospreyspur/Http/HttpServer.h"
#include "ospreyspur/Support/ByteBudget.h"

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

static asio::awaitable<void> sendResponse(HttpExchange &exchange) {
  co_await exchange.respond(200, "text/plain", "whole");
}

namespace {
/// A server on a free port of loopback.
class ServerFixture {
public:
  ServerFixture() : Server(Context, HttpLimits(), sendResponse) {
    REQUIRE(Server.listen(Address));
  }

  /// Opens a connection that the kernel has queued and the server has not yet
  /// accepted.
  tcp::socket connect() {
    tcp::socket socket(Context);
    socket.connect(Address);
    return socket;
  }

  /// Returns all data that the server sends until it closes the connection, or
  /// the message of the error if reading fails.
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
  ServerFixture fixture;
  tcp::socket first = fixture.connect();
  tcp::socket second = fixture.connect();
  asio::write(first, asio::buffer(Request));
  fixture.Server.stopAccepting();
  fixture.Context.poll();
  CHECK(fixture.Server.busyCount() > 0);
  // The second client sends its request after the stop.
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

TEST_CASE("a stopping server asks clients to close and then has none busy") {
  ServerFixture fixture;
  tcp::socket client = fixture.connect();
  fixture.Context.poll();
  CHECK(fixture.Server.busyCount() == 1);
  fixture.Server.closeAfterResponses();
  asio::write(client, asio::buffer(Request));
  CHECK(fixture.readAll(client).find("Connection: close") != std::string::npos);
  fixture.Context.restart();
  fixture.Context.poll();
  CHECK(fixture.Server.busyCount() == 0);
}

TEST_CASE("a server that stops accepting closes idle connections") {
  ServerFixture fixture;
  tcp::socket client = fixture.connect();
  asio::write(client, asio::buffer(Request));
  fixture.Context.poll();
  // The first request has been answered and the connection is idle.
  while (client.available() == 0)
    fixture.Context.poll();
  fixture.Context.poll();
  fixture.Server.stopAccepting();
  // A non-blocking read shows that the connection is closed already; a blocking
  // read would also succeed after the server's read timeout.
  client.non_blocking(true);
  std::string text;
  boost::system::error_code ec;
  asio::read(client, asio::dynamic_buffer(text), ec);
  CHECK(text.ends_with("whole"));
  CHECK(ec == asio::error::eof);
}

TEST_CASE("connections queue on a listening server until it accepts") {
  asio::io_context ioc;
  HttpServer server(ioc, HttpLimits(), sendResponse);
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

TEST_CASE("a client that disconnects while a handler runs is detected") {
  asio::io_context ioc;
  bool isDetected = false;
  tcp::endpoint address = test::findFreeAddress();
  HttpServer server(ioc, HttpLimits(),
                    [&](HttpExchange &exchange) -> asio::awaitable<void> {
                      asio::steady_timer timer(ioc, std::chrono::seconds(30));
                      exchange.watchDisconnect([&] {
                        isDetected = true;
                        timer.cancel();
                      });
                      boost::system::error_code ec;
                      co_await timer.async_wait(
                          asio::redirect_error(asio::use_awaitable, ec));
                      exchange.abort();
                    });
  REQUIRE(server.listen(address));
  tcp::socket client(ioc);
  client.connect(address);
  asio::write(client, asio::buffer(Request));
  ioc.poll();
  CHECK_FALSE(isDetected);
  client.close();
  while (!isDetected)
    ioc.run_one();
  CHECK(isDetected);
}

/// Returns the response to \p text of a server with the limits \p limits.
static std::string respondTo(const HttpLimits &limits, const std::string &text,
                             const HttpHandler &handler,
                             ListenerContext context = {}) {
  asio::io_context ioc;
  tcp::endpoint address = test::findFreeAddress();
  HttpServer server(ioc, limits, handler, std::move(context));
  REQUIRE(server.listen(address));
  tcp::socket client(ioc);
  client.connect(address);
  // The server may close the connection before it has read all.
  asio::async_write(client, asio::buffer(text),
                    [](boost::system::error_code, std::size_t) {});
  std::string out;
  asio::async_read(client, asio::dynamic_buffer(out),
                   [&](boost::system::error_code, std::size_t) { ioc.stop(); });
  ioc.run();
  return out;
}

static constexpr std::string_view ChunkedHead =
    "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
    "Transfer-Encoding: chunked\r\nX-Kept: 1\r\n\r\n";

// Trailers that count as headers choose the route, the key or the id of a
// request after the headers have been checked.
TEST_CASE("trailers do not become headers") {
  std::string seen;
  std::string response =
      respondTo(HttpLimits(),
                std::string(ChunkedHead) +
                    "3\r\nabc\r\n0\r\nHost: other\r\nX-T: 1\r\n\r\n",
                [&](HttpExchange &exchange) -> asio::awaitable<void> {
                  for (const auto &it : exchange.request())
                    seen += std::string(it.name_string()) + '=' +
                            std::string(it.value()) + ';';
                  seen += exchange.request().body();
                  co_await exchange.respond(200, "text/plain", "whole");
                });
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(seen ==
        "Host=h;Connection=close;Transfer-Encoding=chunked;X-Kept=1;abc");
}

TEST_CASE("chunk headers and trailers without end are refused") {
  std::string endless(1U << 20U, '0');
  for (const std::string &part : {std::string("1\r\nx\r\n0\r\nX-T: "),
                                  std::string("1;e="), std::string()}) {
    std::string text(ChunkedHead);
    text += part;
    text += endless;
    std::string response = respondTo(HttpLimits(), text, sendResponse);
    CHECK(response.starts_with("HTTP/1.1 431"));
    CHECK(response.ends_with("chunk headers are too large\n"));
  }
}

// What has arrived may be more than the new limit allows.
TEST_CASE("limits that become lower apply to data that has arrived") {
  asio::io_context ioc;
  tcp::endpoint address = test::findFreeAddress();
  HttpLimits lower;
  lower.MaxHeaderBytes = 512;
  HttpServer *current = nullptr;
  HttpServer server(ioc, HttpLimits(),
                    [&](HttpExchange &exchange) -> asio::awaitable<void> {
                      current->setLimits(lower);
                      co_await sendResponse(exchange);
                    });
  current = &server;
  REQUIRE(server.listen(address));
  tcp::socket client(ioc);
  client.connect(address);
  std::string text(Request);
  text += "GET / HTTP/1.1\r\nX-Long: ";
  text += std::string(8000, 'x');
  asio::write(client, asio::buffer(text));
  std::string out;
  asio::async_read(client, asio::dynamic_buffer(out),
                   [&](boost::system::error_code, std::size_t) { ioc.stop(); });
  ioc.run();
  CHECK(out.starts_with("HTTP/1.1 200"));
  CHECK(out.find("HTTP/1.1 431") != std::string::npos);
}

TEST_CASE("a connection whose headers do not arrive in time is closed") {
  HttpLimits limits;
  limits.HeaderTimeout = std::chrono::milliseconds(20);
  std::string response =
      respondTo(limits, "GET / HTTP/1.1\r\nHost:", sendResponse);
  CHECK(response.empty());
}

TEST_CASE("requests that exceed the memory for all requests are refused") {
  ListenerContext context;
  context.IdHeader = "X-Id";
  context.RequestBytes = std::make_shared<ByteBudget>(64U << 10U);
  std::string head = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                     "X-Id: 7\r\nContent-Length: ";
  std::string large(80000, 'x');
  std::string response = respondTo(HttpLimits(), head + "80000\r\n\r\n" + large,
                                   sendResponse, context);
  CHECK(response.starts_with("HTTP/1.1 503"));
  CHECK(response.find("Retry-After: 0.1\r\n") != std::string::npos);
  CHECK(response.find("X-Id: 7\r\n") != std::string::npos);
  CHECK(context.RequestBytes->used() == 0);
  response =
      respondTo(HttpLimits(), head + "3\r\n\r\nabc", sendResponse, context);
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(context.RequestBytes->used() == 0);
}

// Silent connections must not keep a client out that sends its request.
TEST_CASE("a connection that waits is closed when there are too many") {
  asio::io_context ioc;
  tcp::endpoint address = test::findFreeAddress();
  HttpLimits limits;
  limits.MaxConnections = 4;
  HttpServer server(ioc, limits, sendResponse);
  REQUIRE(server.listen(address));
  std::vector<tcp::socket> silent;
  for (int i = 0; i < 20; ++i) {
    silent.emplace_back(ioc).connect(address);
    ioc.poll();
  }
  tcp::socket client(ioc);
  client.connect(address);
  asio::write(client, asio::buffer(std::string(
                          "GET / HTTP/1.1\r\nConnection: close\r\n\r\n")));
  std::string out;
  asio::async_read(client, asio::dynamic_buffer(out),
                   [&](boost::system::error_code, std::size_t) { ioc.stop(); });
  ioc.run();
  CHECK(out.starts_with("HTTP/1.1 200"));
}

// No response may say that a request did not run if it is running.
TEST_CASE("a connection is refused only if all others have running requests") {
  asio::io_context ioc;
  tcp::endpoint address = test::findFreeAddress();
  HttpLimits limits;
  limits.MaxConnections = 2;
  asio::steady_timer timer(ioc, std::chrono::hours(1));
  int running = 0;
  HttpServer server(ioc, limits,
                    [&](HttpExchange &exchange) -> asio::awaitable<void> {
                      ++running;
                      boost::system::error_code ec;
                      co_await timer.async_wait(
                          asio::redirect_error(asio::use_awaitable, ec));
                      co_await sendResponse(exchange);
                    });
  REQUIRE(server.listen(address));
  std::vector<tcp::socket> clients;
  for (int i = 0; i < 2; ++i) {
    clients.emplace_back(ioc).connect(address);
    asio::write(clients.back(), asio::buffer(Request));
  }
  while (running < 2)
    ioc.run_one();
  tcp::socket late(ioc);
  late.connect(address);
  std::string out;
  asio::async_read(late, asio::dynamic_buffer(out),
                   [&](boost::system::error_code, std::size_t) { ioc.stop(); });
  ioc.run();
  CHECK(out.starts_with("HTTP/1.1 503"));
  CHECK(running == 2);
}

TEST_CASE("a client that has sent more and then disconnects is detected") {
  asio::io_context ioc;
  bool isDetected = false;
  tcp::endpoint address = test::findFreeAddress();
  HttpServer server(ioc, HttpLimits(),
                    [&](HttpExchange &exchange) -> asio::awaitable<void> {
                      asio::steady_timer timer(ioc, std::chrono::seconds(30));
                      exchange.watchDisconnect([&] {
                        isDetected = true;
                        timer.cancel();
                      });
                      boost::system::error_code ec;
                      co_await timer.async_wait(
                          asio::redirect_error(asio::use_awaitable, ec));
                      exchange.abort();
                    });
  REQUIRE(server.listen(address));
  tcp::socket client(ioc);
  client.connect(address);
  asio::write(client, asio::buffer(Request));
  asio::write(client, asio::buffer(Request));
  ioc.poll();
  client.close();
  asio::steady_timer limit(ioc, std::chrono::seconds(20));
  limit.async_wait([&](boost::system::error_code) { ioc.stop(); });
  while (!isDetected && !ioc.stopped())
    ioc.run_one();
  CHECK(isDetected);
}
