//===- LeavingTest.cpp - leaving endpoints at entries and agents ----------===//
//
// An entry that was told asks a leaving endpoint no more, and asks it again
// once a new agent stands there. An agent's gate holds whatever entries
// believe.
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

  /// Whether a new request makes the entry ask the endpoint.
  bool isAsked() {
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

TEST_CASE("an entry leaves out an endpoint that said it is leaving") {
  OneEndpoint fixture;
  CHECK(fixture.isAsked());
  fixture.Entry.onMessage(fixture.Id, Leaving{true}, Start);
  CHECK_FALSE(fixture.isAsked());
  fixture.Entry.onMessage(fixture.Id, Leaving{false}, Start);
  CHECK(fixture.isAsked());
}

TEST_CASE("an endpoint whose leaving agent was replaced is asked again") {
  OneEndpoint fixture;
  fixture.Entry.onMessage(fixture.Id, Leaving{true}, Start);
  fixture.Entry.onLinkDown(fixture.Id, Start);
  // The link's loss makes the endpoint suspect for a while.
  fixture.Entry.onTimer(Start + EntryLimits().SuspectTime);
  fixture.Entry.onMessage(fixture.Id, ProbeReply{}, Start);
  CHECK(fixture.isAsked());
}

/// The dispatch of request \p n, with a ticket that \p agent gave for it.
static Dispatch makeDispatch(AgentNode &agent, std::uint64_t n) {
  AgentActions asked =
      agent.onMessage(Link, Probe{CallId(n), {}, seconds(5)}, Start);
  Dispatch out;
  out.Permit = std::get<ProbeReply>(std::get<SendToLink>(asked[0]).Body).Permit;
  out.Attempt = AttemptNumber(static_cast<std::uint32_t>(n));
  out.Deadline = seconds(5);
  return out;
}

TEST_CASE(
    "a leaving agent starts nothing, hands back what waits, ends what runs") {
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

  // What was refused stays refused when the endpoint comes back.
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

TEST_CASE("a leaving agent knows which entries have not confirmed yet") {
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
  CHECK_FALSE(agent.isLeavingSeen());
  agent.onLinkDown(Other, Start);
  CHECK(agent.isLeavingSeen());
  // A new entry is told before it is refused.
  actions = agent.onMessage(Late, Probe{CallId(3), {}, seconds(5)}, Start);
  REQUIRE(actions.size() == 2);
  CHECK(std::get<Leaving>(std::get<SendToLink>(actions[0]).Body).IsLeaving);
  CHECK_FALSE(agent.isLeavingSeen());
}

TEST_CASE(
    "an entry that confirmed sends nothing more, whatever it was offered") {
  OneEndpoint fixture;
  CHECK(fixture.isAsked());
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

/// What \p agent answers to a probe at \p now.
static ResultCode probeAt(AgentNode &agent, TimePoint now) {
  AgentActions actions =
      agent.onMessage(Link, Probe{CallId(1), {}, seconds(5)}, now);
  return std::get<ProbeReply>(std::get<SendToLink>(actions.back()).Body).Code;
}

TEST_CASE("an agent takes no work before it knows whether it is leaving") {
  AgentNode agent(EndpointId("e"), Incarnation(1), "key", AgentLimits(), 1);
  CHECK(probeAt(agent, Start) == ResultCode::EndpointStarting);
  agent.setLeaving(true, Start);
  CHECK(probeAt(agent, Start) == ResultCode::EndpointLeaving);
  agent.setLeaving(false, Start);
  CHECK(probeAt(agent, Start) == ResultCode::Ok);
}

TEST_CASE("an agent that was paused hands back what waits") {
  AgentLimits limits;
  limits.Slots = 1;
  AgentNode agent(EndpointId("e"), Incarnation(1), "key", limits, 1);
  agent.setLeaving(false, Start);
  Dispatch runs = makeDispatch(agent, 1);
  Dispatch waits = makeDispatch(agent, 2);
  agent.onMessage(Link, runs, Start);
  agent.onMessage(Link, waits, Start);
  // Without a pause the timer comes in time and nothing happens.
  TimePoint due = *agent.nextTimer();
  CHECK(due - Start < seconds(1));
  CHECK(agent.onTimer(due).empty());
  // The end of the first run would start the second, long after it came.
  AgentActions actions =
      agent.onRunEnd(runs.Permit.Id, ResultCode::Ok, due + seconds(3));
  REQUIRE(actions.size() == 2);
  auto refused = std::get<Refused>(std::get<SendToLink>(actions[0]).Body);
  CHECK(refused.Id == waits.Permit.Id);
  CHECK(refused.Code == ResultCode::EndpointPaused);
  CHECK(agent.isIdle());
}

TEST_CASE(
    "a ticket starts nothing after its end, even when its record is gone") {
  AgentNode agent(EndpointId("e"), Incarnation(1), "key", AgentLimits(), 1);
  agent.setLeaving(false, Start);
  Dispatch refused = makeDispatch(agent, 1);
  Dispatch late = makeDispatch(agent, 2);
  // An entry was told that the first never starts.
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
