//===- RateLimitedEndpointTest.cpp - advertised rate limits ---------------===//
//
// Endpoints that advertise in their responses how many requests a second they
// accept from all entries together, over real sockets.
//
//===----------------------------------------------------------------------===//

#include "PushbackSimulation.h"

using namespace ospreyspur;
using ospreyspur::test::Arrival;
using ospreyspur::test::PushbackSimulation;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr unsigned Entries = 4;

static unsigned advertiseOne(HttpResponse &response) {
  response.set("Server-Limit", "1");
  return 200;
}

static unsigned advertiseNone(HttpResponse & /*response*/) { return 200; }

/// The largest number of arrivals in any period of length \p span that begins
/// at or after \p from.
static std::size_t maxArrivalsWithin(const std::vector<Arrival> &arrivals,
                                     Duration span, TimePoint from) {
  std::size_t most = 0;
  for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
    if (first->At < from)
      continue;
    auto n = std::count_if(first, arrivals.end(), [&](const Arrival &it) {
      return it.At < first->At + span;
    });
    most = std::max(most, std::size_t(n));
  }
  return most;
}

// Guards against entries that ignore an advertised rate limit and send the
// endpoint its usual share of the requests.
TEST_CASE("an endpoint gets no more requests than its advertised rate limit") {
  PushbackSimulation simulation({advertiseOne, advertiseNone, advertiseNone});
  simulation.addEntries(Entries);
  simulation.load(350, milliseconds(20));
  TimePoint from = monotonicNow() + milliseconds(1000);
  simulation.run(seconds(7) + milliseconds(500));
  // Four requests in four seconds, and two more as two entries may each send
  // one beyond the limit.
  CHECK(maxArrivalsWithin(simulation.endpoint(0).arrivals(), seconds(4),
                          from) <= 6);
  CHECK(simulation.endpoint(0).arrivals().size() >= 4);
  CHECK(simulation.statusCounts().at("HTTP/1.1 200") == Entries * 350);
}
