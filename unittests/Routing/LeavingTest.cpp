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
  Dispatch runs = makeDispatch(agent, 1);
  Dispatch waits = makeDispatch(agent, 2);
  Dispatch late = makeDispatch(agent, 3);
  agent.onMessage(Link, runs, Start);
  agent.onMessage(Link, waits, Start);
  CHECK(agent.runningCount() == 1);
  CHECK(agent.queuedCount() == 1);

  AgentActions actions = agent.setLeaving(true, Start);
  REQUIRE(actions.size() == 1);
  auto refused = std::get<Refused>(std::get<SendToLink>(actions[0]).Body);
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
