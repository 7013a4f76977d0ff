//===- EngineIncarnationTest.cpp - how an agent reports engine crashes ----===//
//
// An agent distinguishes a crash of its engine from a truncated response, and
// numbers the engine's incarnations so that every entry counts a crash once.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Routing/AgentNode.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
/// An agent with a link from one entry.
class LoneAgent {
public:
  LoneAgent() : Node(EndpointId("e"), Incarnation(7), "key", AgentLimits(), 1) {
    Node.setLeaving(false, Now);
  }

  /// Starts a new request and returns its id.
  RequestId start() {
    RequestId id;
    for (const AgentAction &it : Node.onMessage(Link, Probe{}, Now))
      if (const auto *sent = std::get_if<SendToLink>(&it))
        if (const auto *reply = std::get_if<ProbeReply>(&sent->Body))
          Permit = reply->Permit;
    Dispatch order;
    order.Permit = Permit;
    order.Deadline = seconds(5);
    order.Repeatable = true;
    for (const AgentAction &it : Node.onMessage(Link, order, Now))
      if (const auto *run = std::get_if<StartRun>(&it))
        id = run->Id;
    return id;
  }

  /// Returns the agent's reply to a probe.
  ResultCode probe() {
    for (const AgentAction &it : Node.onMessage(Link, Probe{}, Now))
      if (const auto *sent = std::get_if<SendToLink>(&it))
        if (const auto *reply = std::get_if<ProbeReply>(&sent->Body))
          return reply->Code;
    return ResultCode::Ok;
  }

  Finish end(RequestId id, ResultCode code) {
    return findFinish(Node.onRunEnd(id, code, Now));
  }

  /// Attaches another entry to the latest request.
  Finish attach() {
    Dispatch order;
    order.Permit = Permit;
    order.Attempt = AttemptNumber(9);
    return findFinish(Node.onMessage(LinkId(2), order, Now));
  }

  AgentNode Node;
  TimePoint Now{std::chrono::hours(1)};

private:
  static Finish findFinish(const AgentActions &actions) {
    for (const AgentAction &it : actions)
      if (const auto *sent = std::get_if<SendToLink>(&it))
        if (const auto *finish = std::get_if<Finish>(&sent->Body))
          return *finish;
    return {};
  }

  static constexpr LinkId Link{1};
  Ticket Permit;
};
} // namespace

TEST_CASE("all runs that one engine crash ended report the same incarnation "
          "number") {
  LoneAgent agent;
  RequestId first = agent.start();
  RequestId second = agent.start();
  Finish one = agent.end(first, ResultCode::EndpointFailed);
  Finish two = agent.end(second, ResultCode::EndpointFailed);
  CHECK(one.Code == ResultCode::EndpointFailed);
  CHECK(two.Code == ResultCode::EndpointFailed);
  CHECK(one.Incarnation == two.Incarnation);
  CHECK(agent.attach().Incarnation == two.Incarnation);
}

TEST_CASE("separate engine crashes report different incarnations") {
  LoneAgent agent;
  Finish one = agent.end(agent.start(), ResultCode::EndpointFailed);
  agent.Now += seconds(1);
  Finish two = agent.end(agent.start(), ResultCode::EndpointFailed);
  CHECK(one.Incarnation != two.Incarnation);
}

TEST_CASE("a truncated response does not count as an engine crash") {
  LoneAgent agent;
  Finish cut = agent.end(agent.start(), ResultCode::AnswerBroken);
  Finish next = agent.end(agent.start(), ResultCode::EndpointFailed);
  CHECK(cut.Code == ResultCode::AnswerBroken);
  CHECK(cut.Incarnation == next.Incarnation);
}

TEST_CASE("an engine exit while the endpoint is leaving is not attributed to a "
          "request") {
  LoneAgent agent;
  RequestId id = agent.start();
  agent.Node.setLeaving(true, agent.Now);
  CHECK(agent.end(id, ResultCode::EndpointFailed).Code ==
        ResultCode::AnswerBroken);
}

/// Guards against an endpoint that is down and attracts all requests because
/// its queue is always the shortest.
TEST_CASE("an agent makes no offers while its endpoint is down") {
  LoneAgent agent;
  CHECK(agent.probe() == ResultCode::Ok);
  agent.end(agent.start(), ResultCode::EndpointUnreachable);
  CHECK(agent.probe() == ResultCode::EndpointUnreachable);
  agent.Now += seconds(1);
  CHECK(agent.probe() == ResultCode::Ok);
  agent.end(agent.start(), ResultCode::EndpointFailed);
  CHECK(agent.probe() == ResultCode::EndpointUnreachable);
}
