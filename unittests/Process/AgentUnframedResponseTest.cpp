//===- AgentUnframedResponseTest.cpp - the same through an agent ----------===//
//
// Guards against an agent that reports a part of a response as the whole: if
// the response has neither a length nor chunks, a crash of the endpoint ends
// the connection just like the end of the response. A real agent runs in front
// of such an endpoint; a link offers one request.
//
//===----------------------------------------------------------------------===//

#include "UnframedEndpoint.h"

#include "ospreyspur/Process/AgentTraffic.h"
#include "ospreyspur/Rpc/PeerClient.h"

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include <optional>

using namespace ospreyspur;
using ospreyspur::test::UnframedEnd;
using ospreyspur::test::UnframedEndpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr std::string_view FirstHalf = "the first half and ";
static constexpr std::string_view SecondHalf = "the second half";

namespace {
/// An agent, its endpoint and a link from an entry.
class AgentFixture {
public:
  AgentFixture()
      : Endpoint(Context,
                 "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                 "Connection: close\r\n",
                 std::string(FirstHalf), std::string(SecondHalf)),
        Agent(Context, makeSettings(), Endpoint.address(), Incarnation(7),
              "key", Measures, 1) {
    REQUIRE(Agent.start());
    Agent.setLeaving(false);
    Link = std::make_unique<PeerClient>(
        Settings.Listen,
        PeerClientHandlers{[this](const std::vector<Message> &messages) {
                             boost::asio::post(
                                 Context, [this, messages] { take(messages); });
                           },
                           [] {}});
  }
  ~AgentFixture() { Link.reset(); }
  AgentFixture(const AgentFixture &) = delete;
  AgentFixture &operator=(const AgentFixture &) = delete;

  /// Sends a request and runs until the endpoint has sent the first half.
  void begin() {
    Probe probe;
    probe.Call = CallId(1);
    probe.Workspace = WorkspaceId("w");
    probe.ValidFor = seconds(4);
    probe.Deadline = seconds(5);
    Link->send(probe);
    run([this] { return Body == FirstHalf; });
    CHECK(Body == FirstHalf);
  }

  /// Ends the response in this way and returns the agent's result.
  ResultCode end(UnframedEnd how) {
    Endpoint.end(how);
    run([this] { return Result.has_value(); });
    REQUIRE(Result);
    return *Result;
  }

  void runFor(Duration span) {
    Context.restart();
    Context.run_for(span);
  }

  UnframedEndpoint &endpoint() { return Endpoint; }
  const std::string &body() const { return Body; }

private:
  template <typename Condition> void run(const Condition &isDone) {
    auto until = monotonicNow() + seconds(5);
    while (!isDone() && monotonicNow() < until)
      runFor(milliseconds(10));
  }

  const AgentSettings &makeSettings() {
    auto address = test::findFreeAddress();
    Settings.EndpointName = "e";
    Settings.Listen = "127.0.0.1:" + std::to_string(address.port());
    Settings.EndpointIdle = seconds(5);
    return Settings;
  }

  void take(const std::vector<Message> &messages) {
    for (const Message &message : messages) {
      if (const auto *reply = std::get_if<ProbeReply>(&message))
        dispatch(*reply);
      if (const auto *chunk = std::get_if<Chunk>(&message))
        Body += chunk->Data;
      if (const auto *finish = std::get_if<Finish>(&message))
        Result = finish->Code;
    }
  }

  void dispatch(const ProbeReply &reply) {
    REQUIRE(reply.Code == ResultCode::Ok);
    Dispatch order;
    order.Permit = reply.Permit;
    order.Attempt = AttemptNumber(1);
    order.Deadline = seconds(5);
    order.Method = "GET";
    order.Target = "/x";
    Link->send(order);
  }

  boost::asio::io_context Context;
  Metrics Measures;
  AgentSettings Settings;
  UnframedEndpoint Endpoint;
  AgentTraffic Agent;
  std::unique_ptr<PeerClient> Link;
  std::string Body;
  std::optional<ResultCode> Result;
};
} // namespace

TEST_CASE("an agent reports a whole response without a length as complete") {
  AgentFixture fixture;
  fixture.begin();
  CHECK(fixture.end(UnframedEnd::Whole) == ResultCode::Ok);
  CHECK(fixture.body() == std::string(FirstHalf) + std::string(SecondHalf));
}

TEST_CASE("an agent does not report part of a response as complete if the "
          "endpoint crashes") {
  for (UnframedEnd how : {UnframedEnd::Crash, UnframedEnd::CrashAndRestart}) {
    CAPTURE(int(how));
    AgentFixture fixture;
    fixture.begin();
    CHECK(fixture.end(how) != ResultCode::Ok);
    CHECK(fixture.endpoint().runs() == 1);
  }
}

// An endpoint may close a connection that is idle for long, so that the agent
// has to watch it on a new one.
TEST_CASE("an agent knows whether a response is whole after its endpoint has "
          "closed idle connections") {
  for (UnframedEnd how :
       {UnframedEnd::Whole, UnframedEnd::Crash, UnframedEnd::CrashAndRestart}) {
    CAPTURE(int(how));
    AgentFixture fixture;
    fixture.begin();
    fixture.endpoint().closeIdle();
    fixture.runFor(milliseconds(100));
    bool isWhole = how == UnframedEnd::Whole;
    CHECK((fixture.end(how) == ResultCode::Ok) == isWhole);
  }
}
