//===- Metrics.cpp - counters, gauges and distributions -------------------===//
//
// Quantiles come from the extended P-square estimator, which keeps a few
// markers instead of the samples.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Support/Metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>

#include <array>
#include <iterator>
#include <map>
#include <mutex>
#include <sstream>

using namespace ospreyspur;
namespace acc = boost::accumulators;

static constexpr std::array<double, 3> Probabilities = {0.5, 0.95, 0.99};

namespace {
using Distribution =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum,
                                            acc::tag::extended_p_square>>;
} // namespace

class Metrics::Impl {
public:
  std::mutex Mutex;
  std::map<std::string, std::uint64_t> Counters;
  std::map<std::string, double> Gauges;
  std::map<std::string, Distribution> Distributions;
};

Metrics::Metrics() : Pimpl(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::count(const std::string &name, std::uint64_t n) {
  std::lock_guard lock(Pimpl->Mutex);
  Pimpl->Counters[name] += n;
}

void Metrics::set(const std::string &name, double value) {
  std::lock_guard lock(Pimpl->Mutex);
  Pimpl->Gauges[name] = value;
}

void Metrics::observe(const std::string &name, Duration value) {
  std::lock_guard lock(Pimpl->Mutex);
  auto it = Pimpl->Distributions.find(name);
  if (it == Pimpl->Distributions.end()) {
    Distribution empty(acc::extended_p_square_probabilities = Probabilities);
    it = Pimpl->Distributions.emplace(name, empty).first;
  }
  it->second(std::chrono::duration<double>(value).count());
}

std::string Metrics::text() const {
  std::lock_guard lock(Pimpl->Mutex);
  std::ostringstream os;
  for (const auto &[name, n] : Pimpl->Counters)
    os << "ospreyspur_" << name << ' ' << n << '\n';
  for (const auto &[name, value] : Pimpl->Gauges)
    os << "ospreyspur_" << name << ' ' << value << '\n';
  for (const auto &[name, it] : Pimpl->Distributions) {
    for (std::ptrdiff_t i = 0; i < std::ssize(Probabilities); ++i)
      os << "ospreyspur_" << name << "_seconds{quantile=\"" << Probabilities[i]
         << "\"} " << acc::extended_p_square(it)[i] << '\n';
    os << "ospreyspur_" << name << "_seconds_sum " << acc::sum(it) << '\n';
    os << "ospreyspur_" << name << "_seconds_count " << acc::count(it) << '\n';
  }
  return os.str();
}
