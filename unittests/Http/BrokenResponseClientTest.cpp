//===- BrokenResponseClientTest.cpp - the same at the other HTTP clients --===//
//
// Guards against bytes that are no response and that calls to the store and to
// ranks, runs of an agent and health checks take for one.
//
//===----------------------------------------------------------------------===//

#include "RawEndpoint.h"
#include "ResponseCorpus.h"

#include "ospreyspur/Http/HttpClient.h"
#include "ospreyspur/Process/LivenessCheck.h"
#include "platform/RequestWire.h"

#include <doctest/doctest.h>

#include <optional>

using namespace ospreyspur;
using namespace ospreyspur::test;
namespace asio = boost::asio;
using std::chrono::seconds;

static constexpr Duration Timeout = seconds(2);

namespace {
/// A server that sends given bytes to each request.
class RawServer {
public:
  explicit RawServer(RawReply reply)
      : Script{{std::move(reply)}, true}, Endpoint(Context, "e0", Script) {}

  /// Runs \p operation until it ends.
  template <typename T> T await(asio::awaitable<T> operation) {
    std::optional<T> out;
    asio::co_spawn(
        Context,
        [&]() -> asio::awaitable<void> {
          out.emplace(co_await std::move(operation));
        },
        asio::detached);
    Context.restart();
    TimePoint until = monotonicNow() + 3 * Timeout;
    while (!out && monotonicNow() < until)
      Context.run_for(std::chrono::milliseconds(2));
    REQUIRE(out);
    return std::move(*out);
  }

  asio::io_context &context() { return Context; }
  const TcpAddress &address() const { return Endpoint.address(); }
  unsigned runs() const { return Script.Runs; }
  std::size_t repeatedBytes() const { return Script.RepeatedBytes; }
  /// Whether the client closes its connection within a short time.
  bool isClosed() {
    Context.restart();
    Context.run_for(std::chrono::milliseconds(50));
    return Script.Closed == 1;
  }

private:
  asio::io_context Context;
  RawScript Script;
  RawEndpoint Endpoint;
};
} // namespace

static HttpRequest makeRequest(const char *target = "/") {
  HttpRequest request(boost::beast::http::verb::get, target, 11);
  request.set("Request-Id", "r1");
  return request;
}

TEST_CASE("a call takes no broken response for one") {
  for (const RawResponse &it : brokenResponses()) {
    CAPTURE(it.Name);
    RawServer server({it.Bytes});
    HttpClient client(server.context(), server.address());
    CHECK_FALSE(server.await(client.call(makeRequest(), Timeout)));
    CHECK(server.runs() == 1);
  }
}

TEST_CASE("a call takes an unusual but sound response") {
  for (const SoundResponse &it : soundResponses()) {
    CAPTURE(it.Sent.Name);
    RawServer server({it.Sent.Bytes});
    HttpClient client(server.context(), server.address());
    Result<HttpResponse> response =
        server.await(client.call(makeRequest(), Timeout));
    REQUIRE(response);
    CHECK(response.value().result_int() == it.Status);
    CHECK(response.value().body() == it.Body);
    CHECK(std::string(response.value()["Replica-Stamp"]) == "s");
  }
}

namespace {
/// What a streamed response brought.
struct Streamed {
  ResultCode Code = ResultCode::Ok;
  std::optional<unsigned> Status;
  std::string Body;
};
} // namespace

static Streamed stream(RawServer &server, Duration total = Timeout) {
  Streamed out;
  HttpClient client(server.context(), server.address());
  HttpSink sink;
  sink.OnHead = [&](const HttpResponseHead &head) { out.Status = head.Status; };
  sink.OnData = [&](std::string_view data) { out.Body += data; };
  out.Code = server.await(client.run(makeRequest(), sink,
                                     std::make_shared<HttpRunHandle>(),
                                     RunTimeouts{Timeout, total}));
  return out;
}

TEST_CASE("a run takes nothing from a broken head") {
  for (const RawResponse &it : brokenHeads()) {
    CAPTURE(it.Name);
    RawServer server({it.Bytes});
    Streamed streamed = stream(server);
    CHECK(streamed.Code != ResultCode::Ok);
    CHECK_FALSE(streamed.Status);
    CHECK(streamed.Body.empty());
  }
}

TEST_CASE("a run with a broken body is not complete") {
  for (const RawResponse &it : brokenBodies()) {
    CAPTURE(it.Name);
    RawServer server({it.Bytes});
    CHECK(stream(server).Code != ResultCode::Ok);
  }
}

TEST_CASE("a run takes an unusual but sound response") {
  for (const SoundResponse &it : soundResponses()) {
    CAPTURE(it.Sent.Name);
    RawServer server({it.Sent.Bytes});
    Streamed streamed = stream(server);
    CHECK(streamed.Code == ResultCode::Ok);
    CHECK(streamed.Status.value_or(0) == it.Status);
    CHECK(streamed.Body == it.Body);
  }
}

// Each part arrives within the time limit of a wait for the server.
TEST_CASE("a run and a call end at a bound of time") {
  constexpr Duration Total = std::chrono::milliseconds(300);
  for (const EndlessResponse &it : endlessResponses()) {
    CAPTURE(it.Name);
    RawReply reply{it.Bytes, it.Repeated.substr(0, 8),
                   std::chrono::milliseconds(10)};
    TimePoint began = monotonicNow();
    RawServer streaming(reply);
    CHECK(stream(streaming, Total).Code == ResultCode::AnswerBroken);
    RawServer calling(reply);
    HttpClient client(calling.context(), calling.address());
    CHECK_FALSE(calling.await(client.call(makeRequest(), Total)));
    CHECK(monotonicNow() - began < 2 * Timeout);
    CHECK(streaming.isClosed());
    CHECK(calling.isClosed());
  }
}

TEST_CASE("a run and a call end at a bound of size") {
  constexpr std::size_t MaxSentBytes = 160U << 20U;
  constexpr Duration Total = seconds(4);
  for (const EndlessResponse &it : endlessResponses()) {
    CAPTURE(it.Name);
    RawServer streaming({it.Bytes, it.Repeated});
    CHECK(stream(streaming, Total).Code == ResultCode::AnswerBroken);
    RawServer calling({it.Bytes, it.Repeated});
    HttpClient client(calling.context(), calling.address());
    CHECK_FALSE(calling.await(client.call(makeRequest(), Total)));
    CHECK(streaming.repeatedBytes() < MaxSentBytes);
    CHECK(calling.repeatedBytes() < MaxSentBytes);
  }
}

static EndpointLiveness check(RawServer &server) {
  IncarnationQuery query{platform::makeHealthCall("/health", "e0", Timeout),
                         [](const HttpResponse &response) {
                           return platform::isFromEndpoint(response, "e0");
                         }};
  return server.await(
      checkLiveness(server.context(), server.address(), std::move(query)));
}

TEST_CASE("a broken response to a health check tells nothing") {
  for (RawResponse it : brokenResponses()) {
    CAPTURE(it.Name);
    RawServer server({it.Bytes});
    CHECK((check(server) == EndpointLiveness::Unknown));
  }
}

TEST_CASE(
    "an unusual but sound response to a health check tells the endpoint") {
  for (const SoundResponse &it : soundResponses()) {
    CAPTURE(it.Sent.Name);
    RawServer server({it.Sent.Bytes});
    CHECK((check(server) == EndpointLiveness::Alive));
  }
}

/// Calls \p test with a server for each cut response, and each way in which its
/// connection may end.
template <typename Test>
static void forEachCut(const Test &test, std::size_t step = 1) {
  for (bool endsWithReset : {false, true})
    for (const RawResponse &it : allCutResponses("r1", step)) {
      CAPTURE(it.Name);
      CAPTURE(endsWithReset);
      RawReply reply{it.Bytes};
      reply.EndsWithReset = endsWithReset;
      RawServer server(std::move(reply));
      test(server);
    }
}

TEST_CASE("a call takes no response that was cut off for a whole one") {
  forEachCut([](RawServer &server) {
    HttpClient client(server.context(), server.address());
    CHECK_FALSE(server.await(client.call(makeRequest(), Timeout)));
  });
}

// A head that was cut off is not passed on, not even as an empty response.
TEST_CASE("a run takes no response that was cut off for a whole one") {
  forEachCut([](RawServer &server) {
    Streamed streamed = stream(server);
    CHECK(streamed.Code != ResultCode::Ok);
    CHECK((streamed.Status || streamed.Body.empty()));
  });
}

TEST_CASE("a run takes nothing from a head that was cut off") {
  for (const RawResponse &it : cutUnframedHeads("r1")) {
    CAPTURE(it.Name);
    RawServer server({it.Bytes});
    CHECK_FALSE(stream(server).Status);
  }
}

TEST_CASE("a response to a health check that was cut off tells nothing") {
  // Each takes the time limit of a check.
  constexpr std::size_t CutStep = 7;
  forEachCut(
      [](RawServer &server) {
        CHECK((check(server) == EndpointLiveness::Unknown));
      },
      CutStep);
}
