//===- FairQueueTest.cpp - weighted shares and queue positions ------------===//
//
// Compares estimated positions and shares with the actual order of service.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Routing/FairQueue.h"
#include "ospreyspur/Routing/AgentNode.h"

#include <doctest/doctest.h>

#include <random>
#include <string>

using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr std::uint32_t Workspaces = 5;

/// Request \p n of workspace \p w, whose weight is w + 1.
static QueuedRequest makeRequest(std::uint64_t n, std::uint32_t w,
                                 std::uint32_t priority) {
  QueuedRequest request;
  request.Id = {Incarnation(1), TicketSequence(n)};
  request.Workspace = WorkspaceId("w" + std::to_string(w));
  request.Priority = priority;
  request.Weight = w + 1;
  return request;
}

TEST_CASE("the estimated position of a new request is close to its actual "
          "position") {
  std::mt19937_64 random(1);
  for (int round = 0; round < 2000; ++round) {
    FairQueue queue;
    std::uint64_t n = 0;
    for (std::uint64_t left = random() % 60; left > 0; --left)
      queue.push(makeRequest(++n,
                             static_cast<std::uint32_t>(random() % Workspaces),
                             static_cast<std::uint32_t>(random() % 2)));
    for (std::uint64_t left = random() % 20; left > 0; --left)
      queue.pop();
    auto w = static_cast<std::uint32_t>(random() % Workspaces);
    auto priority = static_cast<std::uint32_t>(random() % 2);
    QueuedRequest last = makeRequest(++n, w, priority);
    auto estimated =
        double(queue.countAhead(last.Workspace, last.Weight, priority));
    queue.push(last);
    double served = 0;
    while (queue.pop()->Id != last.Id)
      ++served;
    INFO("round " << round << ", workspace " << w);
    // Each other workspace may be ahead by one turn, which serves as many
    // requests as its weight.
    CHECK(estimated - served <= Workspaces * (Workspaces + 1) / 2);
    CHECK(served - estimated <= Workspaces * (Workspaces + 1) / 2);
  }
}

TEST_CASE("workspaces with a constant backlog are served by weight") {
  FairQueue queue;
  std::uint64_t n = 0;
  for (std::uint32_t w = 0; w < Workspaces; ++w)
    for (int i = 0; i < 1000; ++i)
      queue.push(makeRequest(++n, w, 0));
  std::map<WorkspaceId, std::uint32_t> served;
  constexpr std::uint32_t Turns = 100;
  constexpr std::uint32_t WeightSum = Workspaces * (Workspaces + 1) / 2;
  for (std::uint32_t i = 0; i < Turns * WeightSum; ++i)
    ++served[queue.pop()->Workspace];
  for (std::uint32_t w = 0; w < Workspaces; ++w)
    CHECK(served[WorkspaceId("w" + std::to_string(w))] == Turns * (w + 1));
}

namespace {
/// An agent whose only slot is occupied.
class BusyAgent {
public:
  BusyAgent() : Agent(EndpointId("e"), Incarnation(1), "key", limits(), 1) {
    Agent.setLeaving(false, Start);
    dispatch("flood");
  }

  /// Returns the reply to a probe of \p workspace with \p timeLeft.
  ProbeReply probe(const std::string &workspace, Duration timeLeft) {
    Probe probe;
    probe.Workspace = WorkspaceId(workspace);
    probe.ValidFor = seconds(5);
    probe.Deadline = timeLeft;
    AgentActions actions = Agent.onMessage(LinkId(1), probe, Start);
    return std::get<ProbeReply>(std::get<SendToLink>(actions.back()).Body);
  }

  /// Probes and then dispatches a request of \p workspace; false if the probe
  /// was refused.
  bool dispatch(const std::string &workspace) {
    ProbeReply offer = probe(workspace, seconds(60));
    if (offer.Code != ResultCode::Ok)
      return false;
    Dispatch order;
    order.Permit = offer.Permit;
    order.Deadline = seconds(60);
    Agent.onMessage(LinkId(1), order, Start);
    return true;
  }

  static constexpr TimePoint Start{std::chrono::hours(1)};

private:
  static AgentLimits limits() {
    AgentLimits limits;
    limits.Slots = 1;
    limits.MaxWait = seconds(1);
    return limits;
  }

  AgentNode Agent;
};
} // namespace

TEST_CASE("a flood of one workspace does not use up other workspaces' share") {
  BusyAgent agent;
  std::size_t taken = 0;
  while (agent.dispatch("flood"))
    REQUIRE(++taken < 100);
  CHECK(taken > 0);
  CHECK(agent.probe("flood", seconds(60)).Code == ResultCode::QueueFull);
  CHECK(agent.dispatch("other"));
}

TEST_CASE("a request that cannot finish by its deadline is refused at once") {
  BusyAgent agent;
  ProbeReply longDeadline = agent.probe("w", seconds(10));
  CHECK(longDeadline.Code == ResultCode::Ok);
  CHECK(longDeadline.Wait > Duration::zero());
  ProbeReply shortDeadline =
      agent.probe("w", longDeadline.Wait + milliseconds(1));
  CHECK(shortDeadline.Code == ResultCode::QueueFull);
  CHECK(shortDeadline.RetryAfter > Duration::zero());
}
