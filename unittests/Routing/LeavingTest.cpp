//===- LeavingTest.cpp - leaving endpoints at entries and agents ----------===//
//
// An entry that was notified no longer probes a leaving endpoint, and probes it
// again once the agent has been replaced. A leaving agent admits no requests
// even from entries with a stale view.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Routing/AgentNode.h"
#include "ospreyspur/Routing/EntryNode.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using std::chrono::seconds;

static constexpr TimePoint Start{std::chrono::hours(1)};
static constexpr LinkId Link{1};

namespace {
/// One entry that knows one endpoint.
class OneEndpoint {
public:
  OneEndpoint() : Entry(DataCentreId("d"), EntryLimits(), 1) {
    auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->Services[ServiceId("s")].Endpoints = {
        {Id, ServiceId("s"), DataCentreId("d"), "", {}, false}};
    Entry.setSnapshot(snapshot);
  }

  /// Sends a new request and returns whether the entry probes the endpoint.
  bool isProbed() {
    CallerRequest request;
    request.Id = CallId(++LastCall);
    request.Service = ServiceId("s");
    request.Deadline = seconds(1);
    for (const EntryAction &it : Entry.onCall(request, Start))
      if (std::holds_alternative<SendToAgent>(it))
        return true;
    return false;
  }

  const EndpointId Id{"e"};
  EntryNode Entry;

private:
  std::uint64_t LastCall = 0;
};
} // namespace

TEST_CASE("an entry does not probe an endpoint that announced its leaving") {
  OneEndpoint fixture;
  CHECK(fixture.isProbed());
  fixture.Entry.onMessage(fixture.Id, Leaving{true}, Start);
  CHECK_FALSE(fixture.isProbed());
  fixture.Entry.onMessage(fixture.Id, Leaving{false}, Start);
  CHECK(fixture.isProbed());
}

TEST_CASE("an endpoint whose leaving agent was replaced is probed again") {
  OneEndpoint fixture;
  fixture.Entry.onMessage(fixture.Id, Leaving{true}, Start);
  fixture.Entry.onLinkDown(fixture.Id, Start);
  // The loss of the link excludes the endpoint until UnresponsiveTime has
  // passed or it replies.
  fixture.Entry.onTimer(Start + EntryLimits().UnresponsiveTime);
  fixture.Entry.onMessage(fixture.Id, ProbeReply{}, Start);
  CHECK(fixture.isProbed());
}

/// Returns the dispatch of request \p n with a ticket issued by \p agent.
static Dispatch makeDispatch(AgentNode &agent, std::uint64_t n) {
  AgentActions probeActions =
      agent.onMessage(Link, Probe{CallId(n), {}, seconds(5)}, Start);
  Dispatch out;
  out.Permit =
      std::get<ProbeReply>(std::get<SendToLink>(probeActions[0]).Body).Permit;
  out.Attempt = AttemptNumber(static_cast<std::uint32_t>(n));
  out.Deadline = seconds(5);
  return out;
}

TEST_CASE(
    "a leaving agent starts no run, refuses queued requests and completes "
    "running ones") {
  AgentLimits limits;
  limits.Slots = 1;
  AgentNode agent(EndpointId("e"), Incarnation(1), "key", limits, 1);
  agent.setLeaving(false, Start);
  Dispatch runs = makeDispatch(agent, 1);
  Dispatch waits = makeDispatch(agent, 2);
  Dispatch late = makeDispatch(agent, 3);
  agent.onMessage(Link, runs, Start);
  agent.onMessage(Link, waits, Start);
  CHECK(agent.runningCount() == 1);
  CHECK(agent.queuedCount() == 1);

  AgentActions actions = agent.setLeaving(true, Start);
  REQUIRE(actions.size() == 2);
  CHECK(std::get<Leaving>(std::get<SendToLink>(actions[0]).Body).IsLeaving);
  auto refused = std::get<Refused>(std::get<SendToLink>(actions[1]).Body);
  CHECK(refused.Id == waits.Permit.Id);
  CHECK(refused.Code == ResultCode::EndpointLeaving);
  actions = agent.onMessage(Link, late, Start);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<Refused>(std::get<SendToLink>(actions[0]).Body).Code ==
        ResultCode::EndpointLeaving);
  CHECK_FALSE(agent.isIdle());

  // A refused request stays refused when the endpoint is no longer leaving.
  agent.setLeaving(false, Start);
  actions = agent.onMessage(Link, late, Start);
  REQUIRE(actions.size() == 1);
  CHECK(std::holds_alternative<Refused>(std::get<SendToLink>(actions[0]).Body));

  actions = agent.onRunEnd(runs.Permit.Id, ResultCode::Ok, Start);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<Finish>(std::get<SendToLink>(actions[0]).Body).Code ==
        ResultCode::Ok);
  CHECK(agent.isIdle());
}

TEST_CASE("a leaving agent tracks which entries have not confirmed yet") {
  AgentNode agent(EndpointId("e"), Incarnation(1), "key", AgentLimits(), 1);
  agent.setLeaving(false, Start);
  constexpr LinkId Other{2};
  constexpr LinkId Late{3};
  agent.onMessage(Link, Probe{CallId(1), {}, seconds(5)}, Start);
  agent.onMessage(Other, Probe{CallId(2), {}, seconds(5)}, Start);
  AgentActions actions = agent.setLeaving(true, Start);
  CHECK(actions.size() == 2);
  CHECK(agent.setLeaving(true, Start).empty());
  agent.onMessage(Link, LeavingSeen{}, Start);
  CHECK_FALSE(agent.isLeavingConfirmed());
  agent.onLinkDown(Other, Start);
  CHECK(agent.isLeavingConfirmed());
  // A new entry is notified before its probe is refused.
  actions = agent.onMessage(Late, Probe{CallId(3), {}, seconds(5)}, Start);
  REQUIRE(actions.size() == 2);
  CHECK(std::get<Leaving>(std::get<SendToLink>(actions[0]).Body).IsLeaving);
  CHECK_FALSE(agent.isLeavingConfirmed());
}

TEST_CASE("an entry that confirmed the leaving does not use an outstanding "
          "offer") {
  OneEndpoint fixture;
  CHECK(fixture.isProbed());
  EntryActions actions =
      fixture.Entry.onMessage(fixture.Id, Leaving{true}, Start);
  REQUIRE(actions.size() == 1);
  CHECK(std::holds_alternative<LeavingSeen>(
      std::get<SendToAgent>(actions[0]).Body));
  ProbeReply offer;
  offer.Call = CallId(1);
  actions = fixture.Entry.onMessage(fixture.Id, offer, Start);
  for (const EntryAction &it : actions)
    CHECK_FALSE(std::holds_alternative<SendToAgent>(it));
}

/// Returns the reply of \p agent to a probe at \p now.
static ResultCode probeAt(AgentNode &agent, TimePoint now) {
  AgentActions actions =
      agent.onMessage(Link, Probe{CallId(1), {}, seconds(5)}, now);
  return std::get<ProbeReply>(std::get<SendToLink>(actions.back()).Body).Code;
}

TEST_CASE("an agent admits no requests before it knows whether its endpoint is "
          "leaving") {
  AgentNode agent(EndpointId("e"), Incarnation(1), "key", AgentLimits(), 1);
  CHECK(probeAt(agent, Start) == ResultCode::EndpointStarting);
  agent.setLeaving(true, Start);
  CHECK(probeAt(agent, Start) == ResultCode::EndpointLeaving);
  agent.setLeaving(false, Start);
  CHECK(probeAt(agent, Start) == ResultCode::Ok);
}

TEST_CASE("an agent that was paused refuses its queued requests") {
  AgentLimits limits;
  limits.Slots = 1;
  AgentNode agent(EndpointId("e"), Incarnation(1), "key", limits, 1);
  agent.setLeaving(false, Start);
  Dispatch runs = makeDispatch(agent, 1);
  Dispatch waits = makeDispatch(agent, 2);
  agent.onMessage(Link, runs, Start);
  agent.onMessage(Link, waits, Start);
  // Without a pause the timer runs in time and has no effect.
  TimePoint due = *agent.nextTimer();
  CHECK(due - Start < seconds(1));
  CHECK(agent.onTimer(due).empty());
  // After the pause, the end of the first run must not start the second
  // request, which arrived long ago.
  AgentActions actions =
      agent.onRunEnd(runs.Permit.Id, ResultCode::Ok, due + seconds(3));
  REQUIRE(actions.size() == 2);
  auto refused = std::get<Refused>(std::get<SendToLink>(actions[0]).Body);
  CHECK(refused.Id == waits.Permit.Id);
  CHECK(refused.Code == ResultCode::EndpointPaused);
  CHECK(agent.isIdle());
}

TEST_CASE(
    "no run starts on an expired ticket, even after its record was dropped") {
  AgentNode agent(EndpointId("e"), Incarnation(1), "key", AgentLimits(), 1);
  agent.setLeaving(false, Start);
  Dispatch refused = makeDispatch(agent, 1);
  Dispatch late = makeDispatch(agent, 2);
  // An entry learns that the first request never starts.
  AgentActions actions = agent.onMessage(Link, Resolve{refused.Permit}, Start);
  auto reply = std::get<ResolveReply>(std::get<SendToLink>(actions[0]).Body);
  CHECK(reply.State == RunState::NeverStarts);
  TimePoint end = Start + seconds(60);
  agent.onTimer(end);
  CHECK(agent.ledger().size() == 0);
  for (const Dispatch &it : {refused, late}) {
    actions = agent.onMessage(Link, it, end);
    REQUIRE(actions.size() == 1);
    CHECK(std::get<Refused>(std::get<SendToLink>(actions[0]).Body).Code ==
          ResultCode::TicketExpired);
  }
}
