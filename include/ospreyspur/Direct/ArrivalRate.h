//===- ArrivalRate.h - requests a second, by service ------------*- C++ -*-===//
//
// A running mean of how often requests for a service come to this entry.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_ARRIVALRATE_H
#define OSPREYSPUR_DIRECT_ARRIVALRATE_H

#include "ospreyspur/Support/Ids.h"
#include "ospreyspur/Support/Time.h"

#include <unordered_map>

namespace ospreyspur {

/// Measures the arrivals of one entry.
class ArrivalRate {
public:
  /// A burst shows within about a second; at some ten requests a second fewer
  /// would tell little.
  static constexpr Duration HalfLife = std::chrono::seconds(1);

  void onRequest(const ServiceId &service, TimePoint now);
  /// Requests a second.
  double perSecond(const ServiceId &service, TimePoint now) const;

private:
  struct Count {
    /// Faded to At.
    double Requests = 0;
    TimePoint At;
  };

  static double fade(const Count &count, TimePoint now);

  std::unordered_map<ServiceId, Count> Counts;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_ARRIVALRATE_H
