//===- RankReportTest.cpp - an agent's reports to its coordinator ---------===//
//
// Samples of demand, reports on change, and queries before a takeover: the
// traffic to a coordinator is bounded whatever the group's size.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/CoordinatorWatch.h"
#include "ospreyspur/Experts/DemandSampler.h"
#include "ospreyspur/Experts/StatusFilter.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr TimePoint Start{seconds(100)};

static RankStatus makeStatus(std::vector<std::uint64_t> counts) {
  RankStatus out;
  out.Group = GroupId("g");
  out.Formation = FormationEpoch(1);
  out.Size = 4;
  out.IsOpen = true;
  out.Placement = {{1, 2}};
  out.Counts = std::move(counts);
  return out;
}

TEST_CASE("a rank's restart is not counted as demand") {
  DemandSampler sampler{SampleLimits()};
  RankStatus status = makeStatus({1000, 0});
  CHECK(sampler.take(status, Start).empty());
  status.Counts = {1100, 3};
  CHECK(sampler.take(status, Start) == std::vector<std::uint32_t>{100, 3});
  status.Formation = FormationEpoch(2);
  status.Counts = {10, 10};
  CHECK(sampler.take(status, Start).empty());
  status.Counts = {5, 10};
  CHECK(sampler.take(status, Start) == std::vector<std::uint32_t>{0, 0});
}

TEST_CASE("samples of a group of any size fit its coordinator's link") {
  SampleLimits limits;
  limits.BytesPerSecond = 200000;
  DemandSampler sampler(limits);
  for (unsigned ranks : {4U, 24U, 32U, 96U, 256U})
    for (std::size_t counts : {288U, 1536U, 14848U}) {
      Duration every = sampler.interval(ranks, counts);
      double length = std::chrono::duration<double>(every).count();
      CHECK(every >= limits.MinInterval);
      CHECK(double(ranks) * double(counts) / length <=
            limits.BytesPerSecond * 1.001);
    }
  CHECK(sampler.isDue(Start));
  sampler.take(makeStatus({1, 2}), Start);
  CHECK_FALSE(sampler.isDue(Start + limits.MinInterval - Duration(1)));
  CHECK(sampler.isDue(Start + limits.MinInterval));
}

TEST_CASE(
    "a sample covers only a recent window, whatever the sampling interval") {
  SampleLimits limits;
  // One sample of each of 63 ranks in 0.64 s, as on links of 8 Mbit/s.
  limits.BytesPerSecond = 200000;
  constexpr std::size_t Counts = std::size_t(8) * 252;
  DemandSampler sampler(limits);
  RankStatus status = makeStatus(std::vector<std::uint64_t>(Counts, 0));
  status.Size = 63;
  status.Rank = 40;
  Duration every = sampler.interval(status.Size, Counts);
  CHECK(every > milliseconds(600));
  std::uint64_t counted = 0;
  unsigned reported = 0;
  unsigned reads = 0;
  for (int ms = 0; ms < 20000; ms += 10) {
    TimePoint now = Start + milliseconds(ms);
    // Each expert is chosen once per millisecond.
    counted += 10;
    if (!sampler.isDue(now))
      continue;
    ++reads;
    std::fill(status.Counts.begin(), status.Counts.end(), counted);
    std::vector<std::uint32_t> sample = sampler.take(status, now);
    if (sample.empty())
      continue;
    ++reported;
    CHECK(milliseconds(sample[0]) <= limits.Window + milliseconds(10));
    CHECK(milliseconds(sample[0]) >= limits.Window - milliseconds(10));
  }
  CHECK(reported >= 20000 / 640 - 2);
  CHECK(reported <= 20000 / 630 + 1);
  CHECK(reads <= 2 * reported + 2);
}

TEST_CASE("members that start together send their samples in turn") {
  SampleLimits limits;
  limits.BytesPerSecond = 200000;
  constexpr std::size_t Counts = std::size_t(8) * 252;
  std::vector<TimePoint> firsts;
  for (unsigned rank = 0; rank < 63; ++rank) {
    DemandSampler sampler(limits);
    RankStatus status = makeStatus(std::vector<std::uint64_t>(Counts, 0));
    status.Size = 63;
    status.Rank = rank;
    TimePoint now = Start;
    while (!sampler.isDue(now) || sampler.take(status, now).empty())
      now += milliseconds(1);
    firsts.push_back(now);
  }
  CHECK(firsts.back() - firsts.front() >= milliseconds(600));
  for (std::size_t i = 1; i < firsts.size(); ++i) {
    // The first few ranks sample at once, since their turn comes so soon.
    CHECK(firsts[i] - firsts[i - 1] >= milliseconds(0));
    CHECK(firsts[i] - firsts[i - 1] <= milliseconds(125));
  }
}

TEST_CASE("a status in which only the step is new is reported at intervals") {
  StatusFilter filter;
  RankStatus status = makeStatus({});
  std::optional<RankStatus> first = filter.filter(status, "a:1", Start);
  REQUIRE(first);
  CHECK(first->Placement == status.Placement);
  unsigned reported = 0;
  for (int ms = 60; ms <= 1800; ms += 60) {
    status.Step = StepNumber(status.Step.get() + 1);
    std::optional<RankStatus> it =
        filter.filter(status, "a:1", Start + milliseconds(ms));
    reported += it ? 1 : 0;
    CHECK((!it || it->Placement.empty()));
  }
  CHECK(reported == 10);
}

TEST_CASE("every change that a coordinator decides by is reported at once") {
  using Change = void (*)(RankStatus &);
  for (Change change : std::initializer_list<Change>{
           [](RankStatus &it) { it.Formation = FormationEpoch(2); },
           [](RankStatus &it) { it.IsOpen = false; },
           [](RankStatus &it) { it.Map = MapVersion(7); },
           [](RankStatus &it) { it.Prepared = MapVersion(7); },
           [](RankStatus &it) {
             it.Armed = ArmedMap{MapVersion(7), StepNumber(3)};
           },
           [](RankStatus &it) { it.Held = StepNumber(3); },
           [](RankStatus &it) { it.SampledCounts = {1}; }}) {
    StatusFilter filter;
    RankStatus status = makeStatus({});
    REQUIRE(filter.filter(status, "a:1", Start));
    CHECK_FALSE(filter.filter(status, "a:1", Start));
    change(status);
    CHECK(filter.filter(status, "a:1", Start));
  }
}

TEST_CASE("a new coordinator, or one after a broken link, gets a full report") {
  StatusFilter filter;
  RankStatus status = makeStatus({});
  REQUIRE(filter.filter(status, "a:1", Start));
  std::optional<RankStatus> other = filter.filter(status, "b:1", Start);
  REQUIRE(other);
  CHECK(other->Placement == status.Placement);
  filter.reset();
  std::optional<RankStatus> again = filter.filter(status, "b:1", Start);
  REQUIRE(again);
  CHECK(again->Placement == status.Placement);
}

TEST_CASE("a coordinator that replies keeps its lease") {
  for (unsigned rank : {0U, 5U, 31U, 255U}) {
    CoordinatorWatch watch;
    unsigned takeovers = 0;
    for (int ms = 0; ms < 2400; ms += 60) {
      TimePoint now = Start + milliseconds(ms);
      StallAdvice advice = watch.onStalled("a:1", rank, now);
      takeovers += advice == StallAdvice::TakeOver ? 1 : 0;
      if (advice == StallAdvice::Ask)
        watch.onQueryReply(now + milliseconds(30));
    }
    CHECK(takeovers == 0);
  }
}

TEST_CASE(
    "a coordinator that replies but stays stalled too long loses its lease") {
  CoordinatorWatch watch;
  unsigned takeovers = 0;
  for (int ms = 0; ms < 3000; ms += 60) {
    TimePoint now = Start + milliseconds(ms);
    StallAdvice advice = watch.onStalled("a:1", 3, now);
    takeovers += advice == StallAdvice::TakeOver ? 1 : 0;
    if (advice == StallAdvice::Ask)
      watch.onQueryReply(now);
  }
  CHECK(takeovers == 1);
}

TEST_CASE(
    "ranks wait in turn before they take over a silent coordinator's lease") {
  auto takesAfter = [](unsigned rank) {
    CoordinatorWatch watch;
    for (int ms = 0;; ++ms)
      if (watch.onStalled("a:1", rank, Start + milliseconds(ms)) ==
          StallAdvice::TakeOver)
        return ms;
  };
  CHECK(takesAfter(0) == 150);
  CHECK(takesAfter(1) == 180);
  CHECK(takesAfter(2) == 210);
  CHECK(takesAfter(255) == 650);
}

TEST_CASE("a successor is also queried before its lease is taken over") {
  // The members of a large group learn one after the other that the lease has
  // moved to another coordinator, which is working and replies.
  for (unsigned rank : {2U, 16U, 31U, 255U})
    for (int learnedAfter : {30, 200, 600}) {
      CoordinatorWatch watch;
      unsigned takeovers = 0;
      for (int ms = 0; ms < 2400; ms += 30) {
        TimePoint now = Start + milliseconds(ms);
        bool isNew = ms >= learnedAfter;
        StallAdvice advice = watch.onStalled(isNew ? "b:1" : "a:1", rank, now);
        if (!isNew)
          continue;
        takeovers += advice == StallAdvice::TakeOver ? 1 : 0;
        if (advice == StallAdvice::Ask)
          watch.onQueryReply(now + milliseconds(30));
      }
      CHECK(takeovers == 0);
    }
}
