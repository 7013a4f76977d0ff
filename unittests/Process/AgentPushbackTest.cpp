//===- AgentPushbackTest.cpp - pushback from an agent's endpoint ----------===//
//
// Runs an agent in front of an endpoint that sends pushback in its responses,
// over real sockets. A link offers requests every 20 ms and sends those that
// the agent accepts.
//
//===----------------------------------------------------------------------===//

#include "PushbackSimulation.h"

#include "ospreyspur/Process/AgentTraffic.h"
#include "ospreyspur/Rpc/PeerClient.h"

using namespace ospreyspur;
using ospreyspur::test::Arrival;
using ospreyspur::test::PushbackEndpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
/// An agent, its endpoint and a link from an entry.
class AgentFixture {
public:
  explicit AgentFixture(PushbackEndpoint::ResponseMaker response)
      : Endpoint(Context, "e", std::move(response)),
        Agent(Context, makeSettings(), Endpoint.record().Address,
              Incarnation(7), "key", Measures, 1) {
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

  /// Offers a request every 20 ms for \p span.
  void load(Duration span) {
    End = monotonicNow() + span;
    offer();
    Context.run_for(span + milliseconds(300));
  }

  const std::vector<Arrival> &arrivals() const { return Endpoint.arrivals(); }
  /// The agent's replies to the requests that it did not accept.
  const std::vector<ProbeReply> &refusals() const { return Refusals; }

private:
  const AgentSettings &makeSettings() {
    auto address = test::findFreeAddress();
    Settings.EndpointName = "e";
    Settings.Listen = "127.0.0.1:" + std::to_string(address.port());
    Settings.EndpointIdle = seconds(5);
    return Settings;
  }

  void offer() {
    if (monotonicNow() >= End)
      return;
    Probe probe;
    probe.Call = CallId(++LastCall);
    probe.Workspace = WorkspaceId("w");
    probe.ValidFor = seconds(4);
    probe.Deadline = seconds(5);
    Link->send(probe);
    Timer.expires_after(milliseconds(20));
    Timer.async_wait([this](boost::system::error_code ec) {
      if (!ec)
        offer();
    });
  }

  void take(const std::vector<Message> &messages) {
    for (const Message &message : messages) {
      const auto *reply = std::get_if<ProbeReply>(&message);
      if (!reply)
        continue;
      if (reply->Code != ResultCode::Ok) {
        Refusals.push_back(*reply);
        continue;
      }
      Dispatch order;
      order.Permit = reply->Permit;
      order.Attempt = AttemptNumber(1);
      order.Deadline = seconds(5);
      order.Repeatable = true;
      order.Method = "GET";
      order.Target = "/x";
      Link->send(order);
    }
  }

  boost::asio::io_context Context;
  Metrics Measures;
  AgentSettings Settings;
  PushbackEndpoint Endpoint;
  AgentTraffic Agent;
  std::unique_ptr<PeerClient> Link;
  boost::asio::steady_timer Timer{Context};
  TimePoint End;
  std::uint64_t LastCall = 0;
  std::vector<ProbeReply> Refusals;
};
} // namespace

// Guards against an agent that ignores its endpoint's rate limit and sends as
// many requests as the endpoint has slots.
TEST_CASE("an agent sends its endpoint no more requests than the rate limit "
          "that the endpoint advertises") {
  AgentFixture fixture([](HttpResponse &response) {
    response.set("Ospreyspur-Rate-Limit", "2");
    return 200U;
  });
  fixture.load(seconds(5));
  // Two requests a second, and those sent before the first response.
  CHECK(fixture.arrivals().size() <= 14);
  CHECK(fixture.arrivals().size() >= 6);
}

// Guards against an agent that keeps sending requests to an endpoint that
// refuses all of them.
TEST_CASE("an agent sends its endpoint nothing during a backoff") {
  AgentFixture fixture([](HttpResponse &response) {
    response.set("Retry-After", "2");
    return 503U;
  });
  fixture.load(seconds(3));
  const std::vector<Arrival> &arrivals = fixture.arrivals();
  REQUIRE_FALSE(arrivals.empty());
  TimePoint first = arrivals.front().At;
  CHECK(std::none_of(arrivals.begin(), arrivals.end(), [&](const Arrival &it) {
    return it.At > first + milliseconds(500) && it.At < first + seconds(2);
  }));
  // The endpoint gets requests again afterwards.
  CHECK(arrivals.back().At >= first + seconds(2));
}

// Guards against an agent that takes requests for a leaving endpoint until the
// host list, too, shows that the endpoint is leaving.
TEST_CASE("an agent takes no more requests once a response of its endpoint "
          "says that the endpoint is leaving") {
  AgentFixture fixture([](HttpResponse &response) {
    response.set("Ospreyspur-Leaving", "1");
    return 200U;
  });
  fixture.load(seconds(2));
  const std::vector<Arrival> &arrivals = fixture.arrivals();
  REQUIRE_FALSE(arrivals.empty());
  CHECK(arrivals.back().At - arrivals.front().At <= milliseconds(300));
  REQUIRE_FALSE(fixture.refusals().empty());
  CHECK(fixture.refusals().back().Code == ResultCode::EndpointLeaving);
}
