//===- LeavingEndpointTest.cpp - leaving reported in responses ------------===//
//
// Endpoints that report only in their responses that they are leaving, over
// real sockets.
//
//===----------------------------------------------------------------------===//

#include "PushbackSimulation.h"

using namespace ospreyspur;
using ospreyspur::test::Arrival;
using ospreyspur::test::PushbackSimulation;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against entries that ignore the header by which an endpoint reports
// that it is leaving, and wait until the store shows the same.
TEST_CASE("an endpoint that reports in a response that it is leaving gets no "
          "more requests") {
  constexpr unsigned Entries = 4;
  PushbackSimulation simulation({[](HttpResponse &response) {
                                   response.set("Server-Leaving", "1");
                                   return 200U;
                                 },
                                 [](HttpResponse &) { return 200U; },
                                 [](HttpResponse &) { return 200U; }});
  simulation.addEntries(Entries);
  simulation.load(150, milliseconds(20));
  simulation.run(seconds(3) + milliseconds(500));
  const std::vector<Arrival> &arrivals = simulation.endpoint(0).arrivals();
  REQUIRE_FALSE(arrivals.empty());
  // Requests in flight still arrive, and the first entry needs some time to
  // report the leaving endpoint to the other entries.
  CHECK(arrivals.back().At - arrivals.front().At <= milliseconds(300));
  CHECK(simulation.statusCounts().at("HTTP/1.1 200") == Entries * 150);
}
