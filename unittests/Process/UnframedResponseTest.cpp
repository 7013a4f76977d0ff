//===- UnframedResponseTest.cpp - the end of a response without a length --===//
//
// Guards against a part of a response that its caller takes for the whole: if
// the response has neither a length nor chunks, a crash of its endpoint ends
// the connection just like the end of the response. A real entry runs in front
// of such an endpoint, and knows different things of it at that moment.
//
//===----------------------------------------------------------------------===//

#include "UnframedEndpoint.h"

#include "ospreyspur/Process/DirectTraffic.h"
#include "ospreyspur/Support/Address.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
namespace asio = boost::asio;
using ospreyspur::test::CheckReply;
using ospreyspur::test::UnframedEnd;
using ospreyspur::test::UnframedEndpoint;
using tcp = asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// What the entry knows of the endpoint at the end of the response.
enum class ListedAs : std::uint8_t { Ready, Leaving, Missing, Absent };

static constexpr std::array AllStates = {ListedAs::Ready, ListedAs::Leaving,
                                         ListedAs::Missing, ListedAs::Absent};
static constexpr std::array CutEnds = {
    UnframedEnd::Crash, UnframedEnd::CrashAndRestart, UnframedEnd::Silence};

static constexpr std::array AllReplies = {
    CheckReply::Named, CheckReply::LikeRequests, CheckReply::BusyAtFirst};

static constexpr std::string_view LastChunk = "\r\n0\r\n\r\n";
static constexpr std::string_view FirstEvent = "id: 1\ndata: first\n\n";
static constexpr std::string_view SecondEvent = "id: 2\ndata: second\n\n";
static constexpr std::string_view Common =
    "HTTP/1.1 200 OK\r\nReplica-Stamp: s\r\nConnection: close\r\n";

namespace {
/// An entry in front of one endpoint, and one caller.
class UnframedFixture {
public:
  explicit UnframedFixture(bool isStream)
      : IsStream(isStream),
        Endpoint(Context,
                 std::string(Common) + "Content-Type: " +
                     (isStream ? "text/event-stream" : "text/plain") + "\r\n",
                 std::string(FirstEvent), std::string(SecondEvent)),
        Traffic(Context, makeSettings(), Measures, 1) {
    REQUIRE(Traffic.start());
    publish(ListedAs::Ready);
  }

  /// Sends a request whose response ends in this way, once the entry knows
  /// this of the endpoint. Returns all that the caller receives until its
  /// connection is closed.
  std::string call(ListedAs state, UnframedEnd end) {
    asio::co_spawn(Context, sendRequest(), asio::detached);
    run([this] { return Endpoint.runs() > 0; });
    Context.run_for(milliseconds(20));
    publish(state);
    Endpoint.end(end);
    run([this] { return IsClosed; });
    CHECK(IsClosed);
    return Received;
  }

  UnframedEndpoint &endpoint() { return Endpoint; }

private:
  template <typename Condition> void run(const Condition &isDone) {
    auto until = std::chrono::steady_clock::now() + seconds(6);
    Context.restart();
    while (!isDone() && std::chrono::steady_clock::now() < until)
      Context.run_for(milliseconds(10));
  }

  asio::awaitable<void> sendRequest() {
    constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
    tcp::socket socket(Context);
    co_await socket.async_connect(parseAddress(Settings.Listen).value(),
                                  AsTuple);
    std::string request =
        "POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: 8000\r\n"
        "Connection: close\r\nContent-Length: 0\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(request), AsTuple);
    boost::system::error_code ec;
    while (!ec) {
      std::array<char, 4096> buf;
      auto [readError, n] =
          co_await socket.async_read_some(asio::buffer(buf), AsTuple);
      Received.append(buf.data(), n);
      ec = readError;
    }
    IsClosed = true;
  }

  void publish(ListedAs state) {
    auto snapshot = std::make_shared<DirectSnapshot>();
    auto config = std::make_shared<FleetConfig>();
    RouteRule route;
    route.Host = "h";
    route.Prefix = "/";
    route.Kind = IsStream ? RequestKind::Stream : RequestKind::OnceOnly;
    route.Services = {{ServiceId("s"), 1}};
    config->Routes.push_back(route);
    config->Services[ServiceId("s")].Name = ServiceId("s");
    snapshot->Config = config;
    EndpointRecord record;
    record.Name = "e0";
    record.Id = EndpointId(record.Name);
    record.Service = ServiceId("s");
    record.Address = Endpoint.address();
    record.Slots = 2;
    record.IsLeaving = state == ListedAs::Leaving;
    if (state != ListedAs::Absent)
      snapshot->Endpoints.push_back({record, state == ListedAs::Missing});
    Traffic.setSnapshot(snapshot);
  }

  const DirectSettings &makeSettings() {
    auto toText = [](const tcp::endpoint &it) {
      return it.address().to_string() + ":" + std::to_string(it.port());
    };
    Settings.Name = "n";
    Settings.Listen = toText(test::findFreeAddress());
    tcp::endpoint links = test::findFreeAddress();
    Settings.LinkListen = toText(links);
    Settings.PeerPorts = std::to_string(links.port()) + ",0";
    return Settings;
  }

  bool IsStream;
  asio::io_context Context;
  Metrics Measures;
  DirectSettings Settings;
  UnframedEndpoint Endpoint;
  DirectTraffic Traffic;
  std::string Received;
  bool IsClosed = false;
};
} // namespace

static bool isSuccess(const std::string &text) {
  return text.starts_with("HTTP/1.1 200");
}

static bool hasBothEvents(const std::string &text) {
  return text.find(FirstEvent) != std::string::npos &&
         text.find(SecondEvent) != std::string::npos;
}

/// Calls \p check with a fixture for each state and reply.
template <typename Check>
static void checkAll(bool isStream, const Check &check) {
  for (ListedAs state : AllStates)
    for (CheckReply reply : AllReplies) {
      CAPTURE(int(state));
      CAPTURE(int(reply));
      UnframedFixture fixture(isStream);
      fixture.endpoint().setCheckReply(reply);
      check(fixture, state);
    }
}

// Whatever the entry knows of the endpoint, only a reply of the incarnation
// that sent the response shows that it ended the response itself.
TEST_CASE("part of a response without a length is never a success") {
  for (UnframedEnd end : CutEnds) {
    CAPTURE(int(end));
    checkAll(false, [&](UnframedFixture &fixture, ListedAs state) {
      std::string text = fixture.call(state, end);
      CHECK_FALSE(isSuccess(text));
      CHECK(fixture.endpoint().runs() == 1);
    });
  }
}

TEST_CASE("part of a stream without a length has no end") {
  for (UnframedEnd end : CutEnds) {
    CAPTURE(int(end));
    checkAll(true, [&](UnframedFixture &fixture, ListedAs state) {
      std::string text = fixture.call(state, end);
      CHECK(text.find(FirstEvent) != std::string::npos);
      CHECK_FALSE(text.ends_with(LastChunk));
      CHECK(fixture.endpoint().runs() == 1);
    });
  }
}

TEST_CASE("a whole response without a length is a success") {
  for (bool isStream : {false, true})
    checkAll(isStream, [&](UnframedFixture &fixture, ListedAs state) {
      std::string text = fixture.call(state, UnframedEnd::Whole);
      CHECK(isSuccess(text));
      CHECK(hasBothEvents(text));
      CHECK(text.ends_with(LastChunk) == isStream);
      CHECK(fixture.endpoint().runs() == 1);
    });
}

TEST_CASE("a whole response without a length is a success though its endpoint "
          "replies late") {
  UnframedFixture fixture(false);
  fixture.endpoint().setCheckDelay(milliseconds(250));
  std::string text = fixture.call(ListedAs::Ready, UnframedEnd::Whole);
  CHECK(isSuccess(text));
  CHECK(hasBothEvents(text));
}

// Guards against checks that add to the load of an endpoint which is full.
TEST_CASE("an endpoint that rejects health checks gets few of them") {
  constexpr unsigned MostChecks = 20;
  UnframedFixture fixture(false);
  fixture.endpoint().setCheckReply(CheckReply::Busy);
  std::string text = fixture.call(ListedAs::Ready, UnframedEnd::Whole);
  CHECK_FALSE(isSuccess(text));
  CHECK(fixture.endpoint().rejectedChecks() >= 3);
  CHECK(fixture.endpoint().rejectedChecks() <= MostChecks);
}
