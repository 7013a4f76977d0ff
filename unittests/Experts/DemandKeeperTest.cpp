//===- DemandKeeperTest.cpp - demand that outlasts a coordinator ----------===//
//
// What one coordinator kept is what the next reads; damaged texts are nothing;
// the service is asked rarely.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/DemandKeeper.h"
#include "ospreyspur/Experts/DemandMeter.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr TimePoint Start{std::chrono::hours(1)};
static const std::vector<double> Demand = {10, 0, 5};

/// Has \p keeper read that nothing was kept.
static void readNothing(DemandKeeper &keeper, TimePoint now) {
  std::optional<KvCall> call = keeper.nextCall({}, now);
  REQUIRE(call.has_value());
  REQUIRE(std::holds_alternative<KvGet>(*call));
  CHECK_FALSE(keeper.onReply({ResultCode::NotFound, {}, {}}, now).has_value());
}

TEST_CASE("what one coordinator kept the next one reads") {
  DemandKeeper first("k");
  readNothing(first, Start);
  TimePoint later = Start + DemandKeeper::KeepEvery;
  std::optional<KvCall> call = first.nextCall(Demand, later);
  REQUIRE(call.has_value());
  auto put = std::get<KvPut>(*call);
  CHECK(put.Expected == Revision(0));
  DemandKeeper second("k");
  REQUIRE(second.nextCall({}, later).has_value());
  std::optional<std::vector<double>> kept =
      second.onReply({ResultCode::Ok, Revision(7), put.Value}, later);
  REQUIRE(kept.has_value());
  CHECK(*kept == std::vector<double>{255, 0, 128});
}

TEST_CASE("demand is kept rarely and not before it was read") {
  DemandKeeper keeper("k");
  readNothing(keeper, Start);
  unsigned writes = 0;
  for (TimePoint now = Start; now < Start + seconds(40);
       now += milliseconds(60)) {
    if (!keeper.nextCall(Demand, now))
      continue;
    ++writes;
    keeper.onReply({ResultCode::Ok, Revision(writes), {}}, now);
  }
  CHECK(writes == 9);
}

TEST_CASE("after a write without an answer the revision is read again") {
  DemandKeeper keeper("k");
  readNothing(keeper, Start);
  TimePoint now = Start + DemandKeeper::KeepEvery;
  REQUIRE(std::holds_alternative<KvPut>(*keeper.nextCall(Demand, now)));
  keeper.onReply({ResultCode::PlatformTimeout, {}, {}}, now);
  now += DemandKeeper::KeepEvery;
  CHECK(std::holds_alternative<KvGet>(*keeper.nextCall(Demand, now)));
}

TEST_CASE("no demand is no reason to write") {
  DemandKeeper keeper("k");
  readNothing(keeper, Start);
  TimePoint now = Start + DemandKeeper::KeepEvery;
  CHECK_FALSE(keeper.nextCall({}, now).has_value());
  CHECK_FALSE(keeper.nextCall({0, 0}, now).has_value());
}

TEST_CASE("a damaged text of demand is none") {
  for (const char *it : {"", "{}", "[1,", "[-1]", "[256]", "[0.5]", "[\"1\"]"})
    CHECK_FALSE(parseDemand(it).has_value());
}

TEST_CASE("kept demand stands until something is measured") {
  DemandMeter meter{Duration(milliseconds(400))};
  meter.seed({255, 0}, Start);
  CHECK(meter.demand()[0] > 0);
  meter.add(0, FormationEpoch(2), {0, 0}, Start);
  CHECK(meter.demand()[0] > 100 * meter.demand()[1]);
  meter.add(0, FormationEpoch(2), {0, 50}, Start + milliseconds(100));
  CHECK(meter.demand()[1] > 10 * meter.demand()[0]);
  // Later ones come too late.
  meter.seed({255, 0}, Start + milliseconds(100));
  CHECK(meter.demand()[1] > 10 * meter.demand()[0]);
}
