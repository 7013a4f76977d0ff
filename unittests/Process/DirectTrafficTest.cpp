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

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <functional>
#include <list>

using namespace ospreyspur;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

static constexpr std::string_view Request =
    "POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: 8000\r\n"
    "Content-Length: 0\r\n\r\n";
static constexpr std::chrono::seconds CallerPatience(5);
static constexpr std::chrono::seconds CallerWriteTimeout(1);
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
  TrafficFixture(unsigned endpoints, Argument &&argument,
                 bool isResumable = true)
      : Traffic(Context, makeSettings(), Measures, 1) {
    REQUIRE(Traffic.start());
    auto snapshot = std::make_shared<DirectSnapshot>();
    snapshot->Config = makeConfig(isResumable);
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

  /// Sends a request and reads nothing of the response until \p isDone, but at
  /// most for CallerPatience.
  void callWithoutReading(const std::function<bool()> &isDone) {
    tcp::socket socket(Context);
    socket.connect(parseAddress(Settings.Listen).value());
    asio::write(socket, asio::buffer(Request));
    Context.restart();
    auto until = std::chrono::steady_clock::now() + CallerPatience;
    while (!isDone() && std::chrono::steady_clock::now() < until)
      Context.run_for(std::chrono::milliseconds(20));
  }

  const std::list<Endpoint> &endpoints() const { return Endpoints; }

private:
  const DirectSettings &makeSettings() {
    Settings.Name = "n";
    Settings.Listen = toText(test::findFreeAddress());
    tcp::endpoint links = test::findFreeAddress();
    Settings.LinkListen = toText(links);
    Settings.PeerPorts = std::to_string(links.port()) + ",0";
    Settings.WriteTimeout = CallerWriteTimeout;
    return Settings;
  }

  static std::string toText(const tcp::endpoint &it) {
    return it.address().to_string() + ":" + std::to_string(it.port());
  }

  static std::shared_ptr<const FleetConfig> makeConfig(bool isResumable) {
    auto config = std::make_shared<FleetConfig>();
    RouteRule route;
    route.Host = "h";
    route.Prefix = "/";
    route.Kind = RequestKind::Stream;
    route.IsResumable = isResumable;
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

namespace {
/// An endpoint that writes events until its connection is closed.
class FloodingEndpoint {
public:
  FloodingEndpoint(asio::io_context &ioc, bool &isReleased)
      : Server(ioc, HttpLimits(),
               [&isReleased](HttpExchange &it) { return run(it, isReleased); }),
        Address(test::findFreeAddress()) {
    REQUIRE(Server.listen(Address));
  }

  const tcp::endpoint &address() const { return Address; }

private:
  static asio::awaitable<void> run(HttpExchange &exchange, bool &isReleased) {
    constexpr std::size_t EventBytes = 16000;
    HttpResponse head;
    head.set("Content-Type", "text/event-stream");
    head.set("Request-Id", exchange.header("Request-Id"));
    head.set("Replica-Stamp", "s");
    bool isOpen = co_await exchange.beginStream(head);
    for (unsigned i = 1; isOpen; ++i)
      isOpen = co_await exchange.writeStream(
          "id: " + std::to_string(i) +
          "\ndata: " + std::string(EventBytes, 'x') + "\n\n");
    isReleased = true;
  }

  HttpServer Server;
  tcp::endpoint Address;
};

/// An endpoint that keeps its connections open and counts them.
class CountingEndpoint {
public:
  CountingEndpoint(asio::io_context &ioc, unsigned &connections)
      : Acceptor(ioc, test::findFreeAddress()),
        Address(Acceptor.local_endpoint()) {
    asio::co_spawn(ioc, accept(connections), asio::detached);
  }

  const tcp::endpoint &address() const { return Address; }

private:
  static constexpr std::string_view Response =
      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nReplica-Stamp: s\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
      "13\r\nid: 1\ndata: first\n\n\r\n0\r\n\r\n";

  asio::awaitable<void> accept(unsigned &connections) {
    for (;;) {
      tcp::socket socket = co_await Acceptor.async_accept(asio::use_awaitable);
      ++connections;
      asio::co_spawn(Acceptor.get_executor(), serve(std::move(socket)),
                     asio::detached);
    }
  }

  static asio::awaitable<void> serve(tcp::socket socket) {
    std::string in;
    for (;;) {
      boost::system::error_code ec;
      std::size_t n = co_await asio::async_read_until(
          socket, asio::dynamic_buffer(in), "\r\n\r\n",
          asio::redirect_error(asio::use_awaitable, ec));
      if (ec)
        co_return;
      in.erase(0, n);
      co_await asio::async_write(socket, asio::buffer(Response),
                                 asio::redirect_error(asio::use_awaitable, ec));
    }
  }

  tcp::acceptor Acceptor;
  tcp::endpoint Address;
};
} // namespace

// Guards against callers that fill an endpoint with responses that they do not
// read.
TEST_CASE("a response that its caller does not read is given up") {
  bool isReleased = false;
  TrafficFixture<FloodingEndpoint> fixture(1, isReleased);
  auto began = std::chrono::steady_clock::now();
  fixture.callWithoutReading([&] { return isReleased; });
  CHECK(isReleased);
  auto taken = std::chrono::steady_clock::now() - began;
  CHECK(taken >= CallerWriteTimeout);
  CHECK(taken < CallerPatience);
}

// Guards against a request that reaches a kept connection just as its endpoint
// closes it: whether the request ran would be unknown.
TEST_CASE("a stream that cannot resume is sent on a new connection") {
  for (bool isResumable : {true, false}) {
    CAPTURE(isResumable);
    unsigned connections = 0;
    TrafficFixture<CountingEndpoint> fixture(1, connections, isResumable);
    for (int i = 0; i < 3; ++i)
      CHECK(fixture.call().ends_with(EndOfStream));
    CHECK(connections == (isResumable ? 1 : 3));
  }
}

namespace {
/// How the first response of an UnframedEndpoint ends.
enum class StreamEnd : std::uint8_t { Whole, InsideEvent, Reset, Crash };

/// What UnframedEndpoints have in common.
struct UnframedRun {
  StreamEnd End = StreamEnd::Whole;
  /// The Last-Event-Id of each request that runs; empty for one that starts the
  /// stream.
  std::vector<std::string> Requests;
};

/// An endpoint whose responses have neither a length nor chunks and end with
/// the connection.
class UnframedEndpoint {
public:
  UnframedEndpoint(asio::io_context &ioc, UnframedRun &run)
      : Acceptor(ioc, test::findFreeAddress()),
        Address(Acceptor.local_endpoint()) {
    asio::co_spawn(ioc, accept(run), asio::detached);
  }

  const tcp::endpoint &address() const { return Address; }

private:
  static constexpr std::string_view Head =
      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nReplica-Stamp: s\r\n"
      "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n";
  static constexpr std::string_view HealthResponse =
      "HTTP/1.1 200 OK\r\nReplica-Stamp: s\r\nContent-Length: 0\r\n\r\n";
  static constexpr std::string_view FirstEvent = "id: 1\ndata: first\n\n";
  static constexpr std::string_view SecondEvent = "id: 2\ndata: second\n\n";

  asio::awaitable<void> accept(UnframedRun &run) {
    boost::system::error_code ec;
    while (!ec) {
      tcp::socket socket = co_await Acceptor.async_accept(
          asio::redirect_error(asio::use_awaitable, ec));
      if (!ec)
        asio::co_spawn(Acceptor.get_executor(), serve(std::move(socket), run),
                       asio::detached);
    }
  }

  asio::awaitable<void> serve(tcp::socket socket, UnframedRun &run) {
    static constexpr std::string_view IdHeader = "Last-Event-Id: ";
    std::string in;
    boost::system::error_code ec;
    co_await asio::async_read_until(
        socket, asio::dynamic_buffer(in), "\r\n\r\n",
        asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
      co_return;
    if (in.starts_with("GET /health")) {
      co_await asio::async_write(socket, asio::buffer(HealthResponse),
                                 asio::redirect_error(asio::use_awaitable, ec));
      co_return;
    }
    std::size_t at = in.find(IdHeader);
    bool resumes = at != std::string::npos;
    std::string after =
        resumes ? in.substr(at + IdHeader.size(), 1) : std::string();
    bool isFirst = run.Requests.empty();
    run.Requests.push_back(after);
    std::string out(Head);
    if (!resumes)
      out += FirstEvent;
    if (!isFirst || run.End == StreamEnd::Whole)
      out += SecondEvent;
    else if (run.End == StreamEnd::InsideEvent)
      out += SecondEvent.substr(0, SecondEvent.size() / 2);
    co_await asio::async_write(socket, asio::buffer(out),
                               asio::redirect_error(asio::use_awaitable, ec));
    if (!isFirst)
      co_return;
    asio::steady_timer timer(Acceptor.get_executor(),
                             std::chrono::milliseconds(20));
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    if (run.End == StreamEnd::Crash)
      Acceptor.close(ec);
    if (run.End == StreamEnd::Reset) {
      socket.set_option(asio::socket_base::linger(true, 0), ec);
      // Asio's destructor would end the connection in order.
      socket.close(ec);
    }
  }

  tcp::acceptor Acceptor;
  tcp::endpoint Address;
};
} // namespace

/// Checks that a caller receives the whole stream when its first endpoint ends
/// it in this way, and that it is continued once if it was cut.
static void checkUnframedStream(StreamEnd end) {
  UnframedRun run{end, {}};
  TrafficFixture<UnframedEndpoint> fixture(2, run);
  std::string text = fixture.call();
  CHECK(text.find("first") != std::string::npos);
  CHECK(text.find("second") != std::string::npos);
  CHECK(text.ends_with(EndOfStream));
  bool isWhole = end == StreamEnd::Whole;
  CHECK(run.Requests == (isWhole ? std::vector<std::string>{""}
                                 : std::vector<std::string>{"", "1"}));
}

TEST_CASE("a stream that ends with its connection is whole") {
  checkUnframedStream(StreamEnd::Whole);
}

TEST_CASE("a stream that ends with its connection inside an event is resumed") {
  checkUnframedStream(StreamEnd::InsideEvent);
}

TEST_CASE("a stream whose connection is reset between events is resumed") {
  checkUnframedStream(StreamEnd::Reset);
}

// Guards against a cut stream that its caller takes for whole: when an endpoint
// crashes between two events, its connections end as after a whole response.
TEST_CASE("a stream that ends with its endpoint between events is resumed") {
  checkUnframedStream(StreamEnd::Crash);
}
