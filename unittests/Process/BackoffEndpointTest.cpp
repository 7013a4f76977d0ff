//===- BackoffEndpointTest.cpp - endpoints in backoff ---------------------===//
//
// Endpoints that refuse requests with a Retry-After, during which the entry
// must send them none, over real sockets.
//
//===----------------------------------------------------------------------===//

#include "PushbackSimulation.h"

using namespace ospreyspur;
using ospreyspur::test::Arrival;
using ospreyspur::test::PushbackSimulation;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr unsigned Entries = 4;
static constexpr Duration Backoff = seconds(2);
/// How long after a refusal requests in flight may still arrive.
static constexpr Duration InFlightTime = milliseconds(500);

static unsigned refuseWithRetryAfter(HttpResponse &response) {
  response.set("Retry-After", "2");
  return 503;
}

static unsigned serveRequest(HttpResponse & /*response*/) { return 200; }

/// Number of requests that arrived from an entry during a backoff that this
/// entry had received, apart from requests in flight at its beginning.
static std::size_t countDuringBackoffs(const std::vector<Arrival> &arrivals) {
  std::size_t n = 0;
  std::map<char, std::vector<TimePoint>> byEntry;
  for (const Arrival &it : arrivals)
    byEntry[it.Label.front()].push_back(it.At);
  for (const auto &[entry, times] : byEntry)
    for (TimePoint at : times)
      n += std::any_of(times.begin(), times.end(), [at](TimePoint asked) {
        return at > asked + InFlightTime && at < asked + Backoff;
      });
  return n;
}

// Guards against entries that, 100 ms after a refusal, prefer the endpoint in
// backoff again because no requests run there.
TEST_CASE("an endpoint in backoff gets no requests until the backoff ends") {
  PushbackSimulation simulation(
      {refuseWithRetryAfter, serveRequest, serveRequest});
  simulation.addEntries(Entries);
  simulation.load(300, milliseconds(20));
  simulation.run(seconds(6) + milliseconds(500));
  CHECK(countDuringBackoffs(simulation.endpoint(0).arrivals()) == 0);
  CHECK(simulation.endpoint(0).arrivals().size() >= Entries);
  CHECK(simulation.statusCounts().at("HTTP/1.1 200") == Entries * 300);
}

TEST_CASE("callers are refused with spread Retry-After values while all "
          "endpoints are in backoff") {
  PushbackSimulation simulation(
      {refuseWithRetryAfter, refuseWithRetryAfter, refuseWithRetryAfter});
  simulation.addEntries(Entries);
  simulation.load(100, milliseconds(20));
  simulation.run(seconds(4));
  for (unsigned i = 0; i < 3; ++i)
    CHECK(countDuringBackoffs(simulation.endpoint(i).arrivals()) == 0);
  CHECK(simulation.statusCounts().at("HTTP/1.1 503") >= Entries * 90);
  std::vector<double> returns = simulation.retryAfters();
  REQUIRE(returns.size() >= Entries * 90);
  std::sort(returns.begin(), returns.end());
  CHECK(returns[returns.size() * 3 / 4] - returns[returns.size() / 4] >= 0.3);
}
