//===- DirectTrafficTest.cpp - silent endpoints over real sockets ---------===//
//
// An endpoint that sends nothing for a while in the middle of a stream. The
// stream must migrate to another endpoint if possible; otherwise the caller's
// connection must stay open, as the endpoint may continue.
//
//===----------------------------------------------------------------------===//

#include "FreeAddress.h"

#include "ospreyspur/Http/HttpServer.h"
#include "ospreyspur/Process/DirectTraffic.h"
#include "ospreyspur/Support/Address.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <list>

using namespace ospreyspur;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

static constexpr std::string_view Request =
    "POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: 8000\r\n"
    "Content-Length: 0\r\n\r\n";
static constexpr std::chrono::seconds CallerPatience(5);
static constexpr std::string_view EndOfStream = "\r\n0\r\n\r\n";

namespace {
/// An endpoint that writes one event, pauses, and writes another.
class PausingEndpoint {
public:
  PausingEndpoint(asio::io_context &ioc, Duration pause)
      : Context(ioc), Pause(pause),
        Server(ioc, HttpLimits(), [this](HttpExchange &it) { return run(it); }),
        Address(test::findFreeAddress()) {
    REQUIRE(Server.listen(Address));
  }

  const tcp::endpoint &address() const { return Address; }
  /// The Last-Event-Id of each request; empty for one that starts the stream.
  const std::vector<std::string> &requests() const { return Requests; }

private:
  asio::awaitable<void> run(HttpExchange &exchange) {
    Requests.push_back(exchange.header("Last-Event-Id"));
    HttpResponse head;
    head.set("Content-Type", "text/event-stream");
    head.set("Request-Id", exchange.header("Request-Id"));
    head.set("Replica-Stamp", "s");
    co_await exchange.beginStream(head);
    if (Requests.back().empty()) {
      co_await exchange.writeStream("id: 1\ndata: first\n\n");
      asio::steady_timer timer(Context, Pause);
      boost::system::error_code ec;
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    co_await exchange.writeStream("id: 2\ndata: second\n\n");
    co_await exchange.endStream();
  }

  asio::io_context &Context;
  Duration Pause;
  std::vector<std::string> Requests;
  HttpServer Server;
  tcp::endpoint Address;
};

/// An entry in front of endpoints that are each constructed with an argument of
/// the test.
template <typename Endpoint> class TrafficFixture {
public:
  template <typename Argument>
  TrafficFixture(unsigned endpoints, Argument &&argument)
      : Traffic(Context, makeSettings(), Measures, 1) {
    REQUIRE(Traffic.start());
    auto snapshot = std::make_shared<DirectSnapshot>();
    snapshot->Config = makeConfig();
    for (unsigned i = 0; i < endpoints; ++i) {
      const Endpoint &it = Endpoints.emplace_back(Context, argument);
      EndpointRecord record;
      record.Name = "e" + std::to_string(i);
      record.Id = EndpointId(record.Name);
      record.Service = ServiceId("s");
      record.Address = it.address();
      record.Slots = 2;
      snapshot->Endpoints.push_back({record, false});
    }
    Traffic.setSnapshot(snapshot);
  }

  /// Sends a request and returns all data received until \p end or until the
  /// connection is closed. The caller gives up after CallerPatience, by which
  /// time each test's response should long be complete.
  std::string call(std::string_view end = EndOfStream) {
    tcp::socket socket(Context);
    socket.connect(parseAddress(Settings.Listen).value());
    asio::write(socket, asio::buffer(Request));
    std::string text;
    asio::async_read_until(socket, asio::dynamic_buffer(text), end,
                           [this](boost::system::error_code /*ec*/,
                                  std::size_t /*n*/) { Context.stop(); });
    Context.restart();
    Context.run_for(CallerPatience);
    return text;
  }

  const std::list<Endpoint> &endpoints() const { return Endpoints; }

private:
  const DirectSettings &makeSettings() {
    Settings.Name = "n";
    Settings.Listen = toText(test::findFreeAddress());
    tcp::endpoint links = test::findFreeAddress();
    Settings.LinkListen = toText(links);
    Settings.PeerPorts = std::to_string(links.port()) + ",0";
    return Settings;
  }

  static std::string toText(const tcp::endpoint &it) {
    return it.address().to_string() + ":" + std::to_string(it.port());
  }

  static std::shared_ptr<const FleetConfig> makeConfig() {
    auto config = std::make_shared<FleetConfig>();
    RouteRule route;
    route.Host = "h";
    route.Prefix = "/";
    route.Kind = RequestKind::Stream;
    route.IsResumable = true;
    route.Attempts = 2;
    route.Services = {{ServiceId("s"), 1}};
    config->Routes.push_back(route);
    config->Services.emplace(ServiceId("s"),
                             ServiceRule{ServiceId("s"), 100, std::nullopt});
    return config;
  }

  asio::io_context Context;
  Metrics Measures;
  DirectSettings Settings;
  std::list<Endpoint> Endpoints;
  DirectTraffic Traffic;
};
} // namespace

namespace {
/// An endpoint that responds with status 500, or closes the connection without
/// a response.
class FailingEndpoint {
public:
  FailingEndpoint(asio::io_context &ioc, unsigned &served)
      : Server(ioc, HttpLimits(),
               [&served](HttpExchange &it) { return run(it, served); }),
        Address(test::findFreeAddress()) {
    REQUIRE(Server.listen(Address));
  }

  const tcp::endpoint &address() const { return Address; }

private:
  /// The first request to any of the endpoints gets a response; for later ones
  /// the connection is closed.
  static asio::awaitable<void> run(HttpExchange &exchange, unsigned &served) {
    if (served++ > 0) {
      exchange.abort();
      co_return;
    }
    HttpResponse response;
    response.result(500);
    response.set("Request-Id", exchange.header("Request-Id"));
    response.set("Replica-Stamp", "s");
    co_await exchange.respond(std::move(response));
  }

  HttpServer Server;
  tcp::endpoint Address;
};
} // namespace

TEST_CASE("a request that failed once and then lost its connection gets 502") {
  unsigned served = 0;
  TrafficFixture<FailingEndpoint> fixture(2, served);
  std::string text = fixture.call("\r\n\r\n");
  CHECK(served == 2);
  CHECK(text.starts_with("HTTP/1.1 502"));
}

/// Longer than any idle period after which a stream migrates.
static constexpr Duration LongPause =
    DirectLimits().MaxSilence + std::chrono::milliseconds(400);

TEST_CASE("an idle stream is not cut off if no other endpoint is available") {
  TrafficFixture<PausingEndpoint> fixture(1, LongPause);
  std::string text = fixture.call();
  CHECK(text.find("first") != std::string::npos);
  CHECK(text.find("second") != std::string::npos);
  CHECK(text.ends_with(EndOfStream));
  CHECK(fixture.endpoints().front().requests().size() == 1);
}

TEST_CASE("an idle stream migrates and resumes after its last event if another "
          "endpoint has free slots") {
  TrafficFixture<PausingEndpoint> fixture(2,
                                          Duration(std::chrono::seconds(60)));
  std::string text = fixture.call();
  CHECK(text.find("second") != std::string::npos);
  CHECK(text.ends_with(EndOfStream));
  std::vector<std::string> all;
  for (const PausingEndpoint &it : fixture.endpoints())
    all.insert(all.end(), it.requests().begin(), it.requests().end());
  std::sort(all.begin(), all.end());
  CHECK(all == std::vector<std::string>{"", "1"});
}
