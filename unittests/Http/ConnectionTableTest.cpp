//===- ConnectionTableTest.cpp - which connection to close ----------------===//
//
// Guards against clients that keep others out by holding connections open, and
// against closing a connection whose request is handled.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Http/ConnectionTable.h"

#include <doctest/doctest.h>

#include <random>

using namespace ospreyspur;
using std::chrono::milliseconds;

static TimePoint at(int ms) { return TimePoint(milliseconds(ms)); }

TEST_CASE("the connection that has waited for longest is closed first") {
  ConnectionTable table;
  ConnectionId silent = table.add(at(0));
  ConnectionId idle = table.add(at(1));
  ConnectionId fresh = table.add(at(9));
  table.beginHandling(idle);
  table.beginWaiting(idle, at(5));
  CHECK(table.longestWaiting() == silent);
  table.remove(silent);
  CHECK(table.longestWaiting() == idle);
  table.remove(idle);
  CHECK(table.longestWaiting() == fresh);
  CHECK(table.size() == 1);
}

TEST_CASE("a connection whose request is handled is never closed") {
  ConnectionTable table;
  ConnectionId id = table.add(at(0));
  table.beginReading(id, at(1));
  CHECK(table.longestReading() == id);
  table.beginHandling(id);
  CHECK_FALSE(table.longestWaiting());
  CHECK_FALSE(table.longestReading());
  CHECK(table.size() == 1);
}

TEST_CASE("a request that drips in does not renew its connection") {
  ConnectionTable table;
  ConnectionId drip = table.add(at(0));
  table.beginReading(drip, at(1));
  ConnectionId later = table.add(at(2));
  table.beginReading(later, at(3));
  CHECK(table.longestReading() == drip);
}

TEST_CASE("a removed connection stays removed") {
  ConnectionTable table;
  ConnectionId id = table.add(at(0));
  table.remove(id);
  table.beginReading(id, at(1));
  table.beginWaiting(id, at(2));
  table.remove(id);
  CHECK(table.size() == 0);
  CHECK_FALSE(table.longestWaiting());
}

// The kept order must equal a search through all connections.
TEST_CASE("the order holds for random changes") {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    ConnectionTable table;
    std::map<ConnectionId, std::optional<TimePoint>> model;
    for (int now = 0; now < 400; ++now) {
      unsigned kind = random() % 5;
      if (kind == 0 || model.empty()) {
        model[table.add(at(now))] = at(now);
        continue;
      }
      auto it =
          std::next(model.begin(), std::ptrdiff_t(random() % model.size()));
      if (kind == 1) {
        table.beginHandling(it->first);
        it->second.reset();
      } else if (kind == 2) {
        table.beginReading(it->first, at(now));
        it->second = at(now);
      } else if (kind == 3) {
        table.beginWaiting(it->first, at(now));
        it->second = at(now);
      } else {
        table.remove(it->first);
        model.erase(it);
      }
      std::optional<std::pair<TimePoint, ConnectionId>> longest;
      for (const auto &[id, since] : model)
        if (since && (!longest || std::pair(*since, id) < *longest))
          longest = {*since, id};
      REQUIRE(table.size() == model.size());
      REQUIRE(table.longestWaiting().has_value() == longest.has_value());
      if (longest)
        REQUIRE(table.longestWaiting() == longest->second);
    }
  }
}
