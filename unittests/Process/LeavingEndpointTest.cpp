//===- LeavingEndpointTest.cpp - endpoints that say that they leave -------===//
//
// Endpoints that say in their answers, and nowhere else, that they are leaving,
// over real sockets.
//
//===----------------------------------------------------------------------===//

#include "NeedyWorld.h"

using namespace ospreyspur;
using ospreyspur::test::Arrival;
using ospreyspur::test::NeedyWorld;
using std::chrono::milliseconds;
using std::chrono::seconds;

// What an endpoint said of its leaving counted only once the store said it,
// too.
TEST_CASE("an endpoint that says in an answer that it leaves gets nothing "
          "more") {
  constexpr unsigned Entries = 4;
  NeedyWorld world({[](HttpResponse &answer) {
                      answer.set("Server-Leaving", "1");
                      return 200U;
                    },
                    [](HttpResponse &) { return 200U; },
                    [](HttpResponse &) { return 200U; }});
  world.addEntries(Entries);
  world.load(150, milliseconds(20));
  world.run(seconds(3) + milliseconds(500));
  const std::vector<Arrival> &arrivals = world.endpoint(0).arrivals();
  REQUIRE_FALSE(arrivals.empty());
  // What was on its way still comes; the other entries are told.
  CHECK(arrivals.back().At - arrivals.front().At <= milliseconds(300));
  CHECK(world.told().at("HTTP/1.1 200") == Entries * 150);
}
