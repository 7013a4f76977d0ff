//===- EngineLifeTest.cpp - what an agent says of its engine's end --------===//
//
// An agent tells the end of its engine from a cut answer, and numbers the
// engine's lives so that one end counts once at every entry.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Routing/AgentNode.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
/// An agent and one entry's link to it.
class LoneAgent {
public:
  LoneAgent() : Node(EndpointId("e"), Incarnation(7), "key", AgentLimits(), 1) {
    Node.setLeaving(false, Now);
  }

  /// Runs a new request. Returns its id.
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

  /// What the agent answers to a probe.
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

  /// Another entry attaches to the latest request.
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

TEST_CASE("one end of an engine has one number in all that it ended") {
  LoneAgent agent;
  RequestId first = agent.start();
  RequestId second = agent.start();
  Finish one = agent.end(first, ResultCode::EndpointFailed);
  Finish two = agent.end(second, ResultCode::EndpointFailed);
  CHECK(one.Code == ResultCode::EndpointFailed);
  CHECK(two.Code == ResultCode::EndpointFailed);
  CHECK(one.Life == two.Life);
  CHECK(agent.attach().Life == two.Life);
}

TEST_CASE("each end of an engine has a number of its own") {
  LoneAgent agent;
  Finish one = agent.end(agent.start(), ResultCode::EndpointFailed);
  agent.Now += seconds(1);
  Finish two = agent.end(agent.start(), ResultCode::EndpointFailed);
  CHECK(one.Life != two.Life);
}

TEST_CASE("a cut answer is no end of the engine") {
  LoneAgent agent;
  Finish cut = agent.end(agent.start(), ResultCode::AnswerBroken);
  Finish next = agent.end(agent.start(), ResultCode::EndpointFailed);
  CHECK(cut.Code == ResultCode::AnswerBroken);
  CHECK(cut.Life == next.Life);
}

TEST_CASE("an engine that ends while its endpoint leaves speaks against no "
          "request") {
  LoneAgent agent;
  RequestId id = agent.start();
  agent.Node.setLeaving(true, agent.Now);
  CHECK(agent.end(id, ResultCode::EndpointFailed).Code ==
        ResultCode::AnswerBroken);
}

/// Guards against an endpoint that is down and draws requests, as it always has
/// the shortest queue.
TEST_CASE("an agent makes no offers while its endpoint is found down") {
  LoneAgent agent;
  CHECK(agent.probe() == ResultCode::Ok);
  agent.end(agent.start(), ResultCode::EndpointUnreachable);
  CHECK(agent.probe() == ResultCode::EndpointUnreachable);
  agent.Now += seconds(1);
  CHECK(agent.probe() == ResultCode::Ok);
  agent.end(agent.start(), ResultCode::EndpointFailed);
  CHECK(agent.probe() == ResultCode::EndpointUnreachable);
}
