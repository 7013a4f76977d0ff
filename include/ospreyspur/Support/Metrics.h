//===- Metrics.h - counters, gauges and distributions -----------*- C++ -*-===//
//
// Collects the metrics of a process and formats them as text for metric
// scrapers. Distributions are kept by Boost.Accumulators.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_SUPPORT_METRICS_H
#define OSPREYSPUR_SUPPORT_METRICS_H

#include "ospreyspur/Support/Time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace ospreyspur {

/// The metrics of one process. All functions may be called from any thread.
class Metrics {
public:
  Metrics();
  ~Metrics();

  /// Adds \p n to the counter \p name. Labels, if any, are part of the name:
  /// `requests_total{outcome="complete"}`.
  void count(const std::string &name, std::uint64_t n = 1);

  /// Sets the gauge \p name.
  void set(const std::string &name, double value);

  /// Adds a duration to the distribution \p name.
  void observe(const std::string &name, Duration value);

  /// All metrics as text, one value on each line.
  std::string text() const;

private:
  class Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_SUPPORT_METRICS_H
