//===- RestingEndpointTest.cpp - endpoints that ask for a pause -----------===//
//
// Endpoints that turn requests away and say for how long they want none of that
// entry, over real sockets.
//
//===----------------------------------------------------------------------===//

#include "NeedyWorld.h"

using namespace ospreyspur;
using ospreyspur::test::Arrival;
using ospreyspur::test::NeedyWorld;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr unsigned Entries = 4;
static constexpr Duration Rest = seconds(2);
/// Requests that were on their way still come so long after a refusal.
static constexpr Duration OnTheWay = milliseconds(500);

static unsigned asksForRest(HttpResponse &answer) {
  answer.set("Retry-After", "2");
  return 503;
}

static unsigned serves(HttpResponse & /*answer*/) { return 200; }

/// Requests that came from an entry within a rest that it had been asked for,
/// once those on their way had come.
static std::size_t countWithinRests(const std::vector<Arrival> &arrivals) {
  std::size_t n = 0;
  std::map<char, std::vector<TimePoint>> byEntry;
  for (const Arrival &it : arrivals)
    byEntry[it.Label.front()].push_back(it.At);
  for (const auto &[entry, times] : byEntry)
    for (TimePoint at : times)
      n += std::any_of(times.begin(), times.end(), [at](TimePoint asked) {
        return at > asked + OnTheWay && at < asked + Rest;
      });
  return n;
}

// An endpoint that turned all away was the first choice again 100 ms later, as
// nothing ran there.
TEST_CASE("an endpoint that asks for a pause gets nothing until it ends") {
  NeedyWorld world({asksForRest, serves, serves});
  world.addEntries(Entries);
  world.load(300, milliseconds(20));
  world.run(seconds(6) + milliseconds(500));
  CHECK(countWithinRests(world.endpoint(0).arrivals()) == 0);
  CHECK(world.endpoint(0).arrivals().size() >= Entries);
  CHECK(world.told().at("HTTP/1.1 200") == Entries * 300);
}

TEST_CASE("callers hear at once that all endpoints rest, and return spread") {
  NeedyWorld world({asksForRest, asksForRest, asksForRest});
  world.addEntries(Entries);
  world.load(100, milliseconds(20));
  world.run(seconds(4));
  for (unsigned i = 0; i < 3; ++i)
    CHECK(countWithinRests(world.endpoint(i).arrivals()) == 0);
  CHECK(world.told().at("HTTP/1.1 503") >= Entries * 90);
  std::vector<double> returns = world.retryAfters();
  REQUIRE(returns.size() >= Entries * 90);
  std::sort(returns.begin(), returns.end());
  CHECK(returns[returns.size() * 3 / 4] - returns[returns.size() / 4] >= 0.3);
}
