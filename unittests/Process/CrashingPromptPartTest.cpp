//===- CrashingPromptPartTest.cpp - a prompt part that crashes endpoints --===//
//
// Guards against requests that crash endpoints one after the other because they
// share a part of their prompts. No two of them are alike, so a record kept for
// each request finds nothing: each crashed two endpoints, and 15 were sent on
// after the fifth crash. Real entries run in front of endpoints that crash on
// one part. Once the reports of the fifth crash have arrived, only a few of
// these requests may reach an endpoint, while other requests that share a part
// with them are served.
//
//===----------------------------------------------------------------------===//

#include "CrashingFleet.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::seconds;
using ::test::CrashingFleet;
using ::test::Served;
using ::test::StatusCounts;

static constexpr std::string_view CrashingPart = "dead1";
static constexpr std::string_view CommonPart = "c0ffee";
/// Time for reports to spread after the fifth crash, and the number of requests
/// that may reach endpoints after that time.
static constexpr Duration ReportTime = seconds(3);
static constexpr std::size_t CrashesBeforeBound = 5;
static constexpr std::size_t MaxLateArrivals = 3;
static constexpr unsigned Entries = 3;

static bool isCrashing(const std::string &text) {
  return text.find(CrashingPart) != std::string::npos;
}

static std::string makeHeader(const std::vector<std::string> &parts) {
  std::string out;
  for (const std::string &it : parts)
    out += (out.empty() ? "" : ",") + it + ":100";
  return "Prompt-Prefix: " + out + "\r\n";
}

/// Returns a part that no other request has.
static std::string makeOwnPart(unsigned i) {
  return "a" + std::to_string(100000 + i);
}

/// Returns the number of arrivals of crashing requests after the reports of the
/// fifth crash should have arrived.
static std::size_t lateArrivals(const CrashingFleet &fleet) {
  std::vector<TimePoint> crashes = fleet.crashTimes();
  if (crashes.size() < CrashesBeforeBound)
    return 0;
  TimePoint from = crashes[CrashesBeforeBound - 1] + ReportTime;
  std::vector<TimePoint> arrivals = fleet.arrivals();
  return std::count_if(arrivals.begin(), arrivals.end(),
                       [from](TimePoint it) { return it > from; });
}

namespace {
/// How the crashing requests list their parts.
struct PromptLayout {
  std::string Name;
  std::vector<std::string> Before;
  std::vector<std::string> After;
};
} // namespace

TEST_CASE("requests that share a crashing prompt part are not sent on without "
          "limit") {
  const std::vector<PromptLayout> layouts = {
      {"middle", {std::string(CommonPart)}, {}},
      {"first", {}, {std::string(CommonPart)}}};
  for (const PromptLayout &layout : layouts) {
    CAPTURE(layout.Name);
    CrashingFleet fleet(Entries, 8, isCrashing);
    StatusCounts crashingCounts;
    StatusCounts otherCounts;
    constexpr unsigned CrashingRequests = 40;
    for (unsigned i = 0; i < CrashingRequests; ++i) {
      std::vector<std::string> parts = layout.Before;
      parts.emplace_back(CrashingPart);
      parts.insert(parts.end(), layout.After.begin(), layout.After.end());
      parts.push_back(makeOwnPart(i));
      fleet.callAfter(milliseconds(500 + 150 * i), (i * 7) % Entries,
                      "crashing " + std::to_string(i), crashingCounts,
                      makeHeader(parts));
    }
    constexpr unsigned OtherRequests = 600;
    for (unsigned i = 0; i < OtherRequests; ++i)
      fleet.callAfter(
          milliseconds(12 * i), i % Entries, "sound " + std::to_string(i),
          otherCounts,
          makeHeader({std::string(CommonPart), makeOwnPart(1000 + i)}));
    fleet.run(milliseconds(9000));
    CHECK(fleet.crashCount() >= 1);
    CHECK(lateArrivals(fleet) <= MaxLateArrivals);
    CHECK(crashingCounts[std::string(Served)] == 0);
    unsigned answered = 0;
    for (const auto &[status, n] : crashingCounts)
      answered += n;
    CHECK(answered == CrashingRequests);
    CHECK(otherCounts[std::string(Served)] * 100 >= OtherRequests * 98);
  }
}
