//===- SilentConnectionTest.cpp - kept connections fall silent ------------===//
//
// Guards against a request that is sent on one silent connection after the
// other until its attempts are used up: all connections that an entry keeps to
// its endpoints have fallen silent, without a reset, while new ones work. Real
// entries and endpoints on sockets.
//
//===----------------------------------------------------------------------===//

#include "PushbackSimulation.h"

using namespace ospreyspur;
using ospreyspur::test::PushbackSimulation;
using std::chrono::milliseconds;
using std::chrono::seconds;

static unsigned serveRequest(HttpResponse & /*response*/) { return 200; }

TEST_CASE("a request that may be repeated is lost on one silent connection at "
          "most") {
  constexpr unsigned Warmup = 20;
  constexpr unsigned Requests = 4;
  PushbackSimulation simulation({serveRequest, serveRequest, serveRequest});
  simulation.addRelays();
  simulation.addEntries(1);
  // The retry budget of an entry that has just started is a quarter.
  simulation.load(Warmup, milliseconds(1));
  simulation.run(milliseconds(500));
  REQUIRE(simulation.statusCounts().at("HTTP/1.1 200") == Warmup);
  simulation.silence();
  simulation.load(Requests, milliseconds(1));
  // One silent period, of 1.8 s at most, and the time of the second attempt.
  // The route allows two attempts and the callers wait for 8 s.
  simulation.run(seconds(3));
  CHECK(simulation.statusCounts().at("HTTP/1.1 200") == Warmup + Requests);
}
