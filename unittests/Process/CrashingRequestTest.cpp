//===- CrashingRequestTest.cpp - a request that crashes endpoints ---------===//
//
// Guards against a request that is sent to one endpoint after the other and
// crashes each, with all other requests that run there. Its caller retries at
// any entry with a new request id. If entries attribute a lost attempt only to
// the endpoint and forget the attempt with the call, nothing stops the request:
// eleven endpoints crashed in eight seconds and whole groups stalled. Real
// entries run in front of endpoints that crash on one request body. The request
// must not be sent on after the third crash; attempts that are in flight then
// may crash three more endpoints.
//
//===----------------------------------------------------------------------===//

#include "CrashingFleet.h"

#include <doctest/doctest.h>

using std::chrono::milliseconds;
using ::test::CrashingFleet;
using ::test::Served;
using ::test::StatusCounts;

static constexpr std::string_view CrashingBody =
    "crashes any endpoint that runs it";

static bool isCrashing(const std::string &text) {
  return text.find(CrashingBody) != std::string::npos;
}

/// Most crashes allowed: three until the request is quarantined, and three more
/// endpoints that may run the request at the same time.
static constexpr unsigned MaxCrashes = 6;

TEST_CASE("a request that crashes endpoints is not sent on without limit") {
  constexpr unsigned Entries = 3;
  CrashingFleet fixture(Entries, 8, isCrashing);
  StatusCounts crashingCounts;
  for (unsigned i = 0; i < 40; ++i)
    fixture.callAfter(milliseconds(100 * i), i % Entries,
                      std::string(CrashingBody), crashingCounts);
  StatusCounts innocentCounts;
  constexpr unsigned InnocentRequests = 400;
  for (unsigned i = 0; i < InnocentRequests; ++i)
    fixture.callAfter(milliseconds(10 * i), i % Entries,
                      "innocent " + std::to_string(i), innocentCounts);
  fixture.run(milliseconds(5500));
  CHECK(fixture.crashCount() >= 1);
  CHECK(fixture.crashCount() <= MaxCrashes);
  CHECK(crashingCounts[std::string(Served)] == 0);
  unsigned answered = 0;
  for (const auto &[status, n] : crashingCounts)
    answered += n;
  CHECK(answered == 40);
  // Requests that ran on the same endpoints are retried on others.
  CHECK(innocentCounts[std::string(Served)] >= InnocentRequests - 2);
}

TEST_CASE("a crash is detected though the endpoint accepts connections") {
  constexpr unsigned Entries = 3;
  CrashingFleet fixture(Entries, 8, isCrashing);
  fixture.listenLast();
  StatusCounts crashingCounts;
  for (unsigned i = 0; i < 40; ++i)
    fixture.callAfter(milliseconds(100 * i), i % Entries,
                      std::string(CrashingBody), crashingCounts);
  fixture.run(milliseconds(5500));
  CHECK(fixture.crashCount() >= 1);
  CHECK(fixture.crashCount() <= MaxCrashes);
}

TEST_CASE("no request is refused for crashes that no request causes") {
  constexpr unsigned Entries = 3;
  CrashingFleet fixture(Entries, 8, isCrashing);
  for (unsigned i = 0; i < 12; ++i)
    fixture.crashAfter(milliseconds(200 + 250 * i), i % 8);
  StatusCounts counts;
  constexpr unsigned Requests = 400;
  for (unsigned i = 0; i < Requests; ++i)
    fixture.callAfter(milliseconds(10 * i), i % Entries,
                      "innocent " + std::to_string(i), counts);
  fixture.run(milliseconds(5500));
  CHECK(fixture.crashCount() == 0);
  CHECK(counts[std::string(Served)] >= Requests - 2);
}

TEST_CASE("a new entry learns of quarantined requests from other entries") {
  constexpr unsigned Entries = 3;
  CrashingFleet fixture(Entries, 8, isCrashing);
  StatusCounts crashingCounts;
  for (unsigned i = 0; i < 10; ++i)
    fixture.callAfter(milliseconds(100 * i), i % Entries,
                      std::string(CrashingBody), crashingCounts);
  fixture.run(milliseconds(2500));
  unsigned before = fixture.crashCount();
  CHECK(before >= 1);
  unsigned last = fixture.addEntry();
  fixture.run(milliseconds(1000));
  for (unsigned i = 0; i < 10; ++i)
    fixture.callAfter(milliseconds(100 * i), last, std::string(CrashingBody),
                      crashingCounts);
  fixture.run(milliseconds(2500));
  CHECK(fixture.crashCount() == before);
}
