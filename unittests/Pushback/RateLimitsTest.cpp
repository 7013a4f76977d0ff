//===- RateLimitsTest.cpp - order of rate limit updates -------------------===//
//
// Responses on different connections overtake each other, and reports of other
// entries arrive late. Neither may replace a newer rate limit.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Pushback/RateLimits.h"
#include "ospreyspur/Pushback/ExcludedEndpoints.h"
#include "ospreyspur/Pushback/Pushback.h"
#include "ospreyspur/Rpc/LoadCodec.h"

#include <doctest/doctest.h>

#include <limits>

using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr IncarnationDigest TestIncarnation{5};
static constexpr TimePoint Start{seconds(1000)};

static bool isKnown(IncarnationDigest /*incarnation*/) { return true; }

TEST_CASE("a response to an earlier request neither lifts nor raises a rate "
          "limit") {
  RateLimits limits;
  limits.onResponse(TestIncarnation, 2.0, Start, Start + seconds(1));
  limits.onResponse(TestIncarnation, std::nullopt, Start + milliseconds(900),
                    Start + seconds(2));
  CHECK(limits.advertisedRate(TestIncarnation) == 2.0);
  limits.onResponse(TestIncarnation, 9.0, Start + milliseconds(900),
                    Start + seconds(2));
  CHECK(limits.advertisedRate(TestIncarnation) == 2.0);
  // Such a response may lower the limit.
  limits.onResponse(TestIncarnation, 1.0, Start + milliseconds(900),
                    Start + seconds(2));
  CHECK(limits.advertisedRate(TestIncarnation) == 1.0);
  limits.onResponse(TestIncarnation, 9.0, Start + seconds(3),
                    Start + seconds(4));
  CHECK(limits.advertisedRate(TestIncarnation) == 9.0);
  limits.onResponse(TestIncarnation, std::nullopt, Start + seconds(5),
                    Start + seconds(6));
  CHECK_FALSE(limits.isLimited(TestIncarnation));
}

TEST_CASE("a report that was sent before a limit was lifted sets no limit") {
  RateLimits limits;
  limits.onResponse(TestIncarnation, 2.0, Start, Start + seconds(1));
  limits.onResponse(TestIncarnation, std::nullopt, Start + seconds(2),
                    Start + seconds(3));
  limits.merge({{TestIncarnation, 2.0, seconds(4), seconds(3)}}, isKnown,
               Start + seconds(4));
  CHECK_FALSE(limits.isLimited(TestIncarnation));
  limits.merge({{TestIncarnation, 2.0, milliseconds(200), milliseconds(100)}},
               isKnown, Start + seconds(4));
  CHECK(limits.isLimited(TestIncarnation));
}

TEST_CASE("an endpoint with a rate limit of zero is tried occasionally") {
  RateLimits limits;
  limits.onResponse(TestIncarnation, 0.0, Start, Start);
  unsigned taken = 0;
  for (unsigned i = 0; i < 600; ++i)
    taken += limits.take(TestIncarnation, Start + milliseconds(100) * i);
  CHECK(taken >= 5);
  CHECK(taken <= 6);
}

TEST_CASE("an idle sender does not accumulate tokens for a burst") {
  RateLimits limits;
  limits.onResponse(TestIncarnation, 5.0, Start, Start);
  TimePoint later = Start + seconds(9);
  CHECK(limits.take(TestIncarnation, later));
  CHECK_FALSE(limits.take(TestIncarnation, later));
}

TEST_CASE("tables and reports of rate limits, backoffs and leaving endpoints "
          "are bounded") {
  RateLimits limits;
  TimePoint now = Start;
  for (std::uint64_t i = 0; i < 3 * RateLimits::MaxEndpoints; ++i)
    limits.onResponse(IncarnationDigest(i), 1.0, now, now);
  CHECK(limits.limitedCount() == RateLimits::MaxEndpoints);
  CHECK(limits.takeReport(now).size() == RateLimits::MaxRecordsPerReport);
  limits.setMembers(FleetMembers(), now + RateLimits::KeepFor);
  CHECK(limits.limitedCount() == 0);
  ExcludedEndpoints excluded;
  for (std::uint64_t i = 0; i < 3 * ExcludedEndpoints::MaxEndpoints; ++i) {
    excluded.onBackoff(IncarnationDigest(i), MaxBackoff, now);
    excluded.onLeaving(IncarnationDigest(i), false, now);
  }
  CHECK(excluded.backoffCount(now) == ExcludedEndpoints::MaxEndpoints);
  CHECK(excluded.leavingCount() == ExcludedEndpoints::MaxEndpoints);
  CHECK(excluded.takeLeavingReport().size() <= 32);
}

TEST_CASE("a report carries rate limits, and invalid ones are dropped") {
  constexpr double Nan = std::numeric_limits<double>::quiet_NaN();
  constexpr double Inf = std::numeric_limits<double>::infinity();
  LoadReport out{"n", {}, {}, {}, {}, {IncarnationDigest(8)}, true};
  out.Rates = {{IncarnationDigest(1), 2.5, seconds(3), seconds(2)},
               {IncarnationDigest(2), std::nullopt, seconds(1), seconds(1)},
               {IncarnationDigest(3), Nan, seconds(1), seconds(1)},
               {IncarnationDigest(4), -1.0, seconds(1), seconds(1)},
               {IncarnationDigest(5), Inf, seconds(1), seconds(1)}};
  std::optional<LoadReport> in = decodeLoad(encodeLoad(out));
  REQUIRE(in);
  REQUIRE(in->Rates.size() == 2);
  CHECK(in->Rates[0].PerSecond == 2.5);
  CHECK(in->Rates[0].SentAge == seconds(3));
  CHECK_FALSE(in->Rates[1].PerSecond);
  CHECK(in->Leaving == std::vector<IncarnationDigest>{IncarnationDigest(8)});
  CHECK(in->IsNew);
  out.Rates.assign(1000, {IncarnationDigest(1), 1.0, seconds(1), seconds(1)});
  out.Leaving.assign(1000, IncarnationDigest(1));
  in = decodeLoad(encodeLoad(out));
  REQUIRE(in);
  CHECK(in->Rates.size() <= 64);
  CHECK(in->Leaving.size() <= 64);
}
