//===- DemandMeterTest.cpp - abrupt shifts of demand ----------------------===//
//
// A group of 63 ranks, each sampled once every 0.6 s. The ranks' streams prefer
// nine topics in proportions that differ between ranks; every 3.3 s other
// experts are in demand. The most popular of 252 experts has 0.047 of its set's
// demand, the n-th most popular about n^-0.67 of that, and a shift moves about
// a quarter of the demand.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/DemandMeter.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <random>

using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
constexpr std::size_t Experts = 252;
constexpr std::size_t Topics = 9;
constexpr TimePoint Start{seconds(100)};

/// The experts that a group's streams choose.
class StreamDemand {
public:
  explicit StreamDemand(std::uint64_t seed) : Random(seed) {
    constexpr double Exponent = -0.67;
    std::vector<double> common;
    for (std::size_t i = 1; i <= Experts; ++i)
      common.push_back(std::pow(double(i), Exponent));
    double all = std::accumulate(common.begin(), common.end(), 0.0);
    for (double &it : common)
      it /= all;
    // Topics share most of their popular experts.
    for (auto &it : TopicDemands)
      it = reordered(common, drawSwaps(Experts / 24));
  }

  /// Swaps a part of the popularity ranking, for all topics alike.
  void shift() {
    std::vector<std::size_t> to = drawSwaps(Experts / 2);
    for (auto &topic : TopicDemands)
      topic = reordered(topic, to);
  }

  /// The demand of a group with equal parts of each topic.
  std::vector<double> demand() const {
    std::vector<double> out(Experts, 0.0);
    for (const auto &topic : TopicDemands)
      for (std::size_t i = 0; i < Experts; ++i)
        out[i] += topic[i] / double(Topics);
    return out;
  }

  /// Counts of one rank, whose decoding \p streams have randomly drawn topics.
  std::vector<std::uint32_t> sample(unsigned streams) {
    std::vector<double> sum(Experts, 0.0);
    for (unsigned n = 0; n < streams; ++n) {
      const auto &topic = TopicDemands[Random() % Topics];
      for (std::size_t i = 0; i < Experts; ++i)
        sum[i] += 500 * topic[i];
    }
    std::vector<std::uint32_t> out;
    out.reserve(Experts);
    for (double it : sum)
      out.push_back(std::poisson_distribution<std::uint32_t>(it)(Random));
    return out;
  }

private:
  /// The new position of each expert after \p n random swaps.
  std::vector<std::size_t> drawSwaps(std::size_t n) {
    std::vector<std::size_t> out(Experts);
    std::iota(out.begin(), out.end(), std::size_t(0));
    while (n-- > 0)
      std::swap(out[Random() % Experts], out[Random() % Experts]);
    return out;
  }

  static std::vector<double> reordered(const std::vector<double> &from,
                                       const std::vector<std::size_t> &to) {
    std::vector<double> out(from.size());
    for (std::size_t i = 0; i < from.size(); ++i)
      out[to[i]] = from[i];
    return out;
  }

  std::mt19937_64 Random;
  std::array<std::vector<double>, Topics> TopicDemands;
};

/// The fraction in which \p measured and \p demand differ.
double distance(const std::vector<double> &measured,
                const std::vector<double> &demand) {
  double all = std::accumulate(measured.begin(), measured.end(), 0.0);
  double out = 0;
  for (std::size_t i = 0; i < demand.size(); ++i)
    out += std::abs(measured[i] / all - demand[i]);
  return out / 2;
}

/// A meter that receives a sample every 10 ms.
struct MeteredGroup {
  explicit MeteredGroup(std::uint64_t seed) : Streams(seed) {}

  void run(Duration length, unsigned streams) {
    for (TimePoint end = Now + length; Now < end; Now += milliseconds(10))
      Meter.add(Streams.sample(streams), Now);
  }

  StreamDemand Streams;
  DemandMeter Meter{DemandLimits()};
  TimePoint Now = Start;
};
} // namespace

TEST_CASE("a demand shift is detected at once and old demand is dropped") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    MeteredGroup group(seed);
    group.run(seconds(3), 6);
    for (int shift = 0; shift < 5; ++shift) {
      std::uint64_t before = group.Meter.shifts();
      group.Streams.shift();
      group.run(milliseconds(150), 6);
      CHECK(group.Meter.shifts() > before);
      group.run(milliseconds(200), 6);
      CHECK(group.Meter.isSettled(group.Now));
      // A sum with a half-life of 0.4 s would still contain half of the old
      // demand.
      CHECK(distance(group.Meter.demand(), group.Streams.demand()) < 0.09);
      group.run(seconds(3), 6);
      CHECK(distance(group.Meter.demand(), group.Streams.demand()) < 0.04);
    }
  }
}

TEST_CASE("the sum never restarts while the demand is stable") {
  // With few streams, the demand changes whenever one of them ends.
  for (unsigned streams : {1U, 2U, 6U})
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      INFO("seed " << seed << ", " << streams << " streams");
      MeteredGroup group(seed);
      group.run(seconds(20), streams);
      CHECK(group.Meter.shifts() == 0);
    }
}

TEST_CASE("a plan after a demand shift waits for further samples") {
  MeteredGroup group(1);
  group.run(seconds(3), 6);
  group.Streams.shift();
  while (group.Meter.shifts() == 0)
    group.run(milliseconds(10), 6);
  CHECK_FALSE(group.Meter.isSettled(group.Now - milliseconds(10)));
  // If no more samples arrive, the plan is not delayed indefinitely.
  CHECK(group.Meter.isSettled(group.Now + DemandLimits().MaxSettlingTime));
}

TEST_CASE("old demand decays") {
  DemandLimits limits;
  limits.HalfLife = milliseconds(500);
  DemandMeter meter{limits};
  TimePoint now{seconds(10)};
  CHECK(meter.demand().empty());
  meter.add({100, 0}, now + seconds(1));
  CHECK(meter.demand()[0] == doctest::Approx(100));
  meter.add({0, 40}, now + milliseconds(1500));
  CHECK(meter.demand()[0] == doctest::Approx(50));
  CHECK(meter.demand()[1] == doctest::Approx(40));
}

TEST_CASE("counts of another size restart the sum") {
  MeteredGroup group(1);
  group.run(seconds(2), 6);
  group.Meter.add({1, 2, 3}, group.Now);
  CHECK(group.Meter.demand() == std::vector<double>{1, 2, 3});
}
