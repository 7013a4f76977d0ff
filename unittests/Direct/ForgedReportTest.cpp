//===- ForgedReportTest.cpp - load reports of anybody ---------------------===//
//
// Guards against senders of datagrams that make an entry keep more and more, or
// whose numbers overflow its sums.
//
//===----------------------------------------------------------------------===//

#include "NodeFixture.h"

#include "ospreyspur/Direct/FleetSize.h"
#include "ospreyspur/Rpc/LoadCodec.h"

#include "generated/peer.pb.h"

#include <limits>
#include <set>

using namespace test;

static constexpr unsigned Largest = std::numeric_limits<std::uint32_t>::max();

TEST_CASE("a report with a long name or large numbers is refused or cut") {
  wire::LoadReport report;
  report.set_node(std::string(60000, 'n'));
  CHECK_FALSE(decodeLoad(report.SerializeAsString()));
  report.set_node("n");
  wire::EndpointLoad *load = report.add_loads();
  load->set_endpoint("e");
  load->set_running(Largest);
  load->set_unread(Largest);
  report.add_loads()->set_endpoint(std::string(60000, 'e'));
  std::optional<LoadReport> decoded = decodeLoad(report.SerializeAsString());
  REQUIRE(decoded);
  REQUIRE(decoded->Loads.size() == 1);
  CHECK(decoded->Loads.front().Running < Largest / 4096);
  CHECK(decoded->Loads.front().PendingPromptTokens < Largest / 32);
}

TEST_CASE("names of entries that are not listed are kept up to a bound") {
  FleetSize fleet;
  TimePoint now{std::chrono::seconds(100)};
  fleet.setListed({"listed"}, now);
  for (unsigned i = 0; i < 100000; ++i)
    fleet.onReport("forged-" + std::to_string(i), now);
  fleet.onReport("listed", now);
  CHECK(fleet.count(std::chrono::seconds(10), now) < 5000);
}

TEST_CASE("reports are kept up to a bound") {
  NodeFixture fixture(1);
  for (unsigned i = 0; i < 100000; ++i)
    fixture.Node.setPeerLoad("forged-" + std::to_string(i),
                             {{EndpointId("e0"), 1, 1}}, fixture.Now);
  const EndpointState *state =
      fixture.Node.endpointTable().find(EndpointId("e0"));
  REQUIRE(state);
  CHECK(state->PeerRequests < 10000);
}
