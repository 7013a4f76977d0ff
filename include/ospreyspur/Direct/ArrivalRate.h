//===- ArrivalRate.h - requests per second, by service ----------*- C++ -*-===//
//
// An exponentially decaying estimate of the rate at which requests for each
// service arrive at this entry.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_ARRIVALRATE_H
#define OSPREYSPUR_DIRECT_ARRIVALRATE_H

#include "ospreyspur/Support/Ids.h"
#include "ospreyspur/Support/Time.h"

#include <unordered_map>

namespace ospreyspur {

/// Estimates the request rate of each service at one entry.
class ArrivalRate {
public:
  /// With this half-life a burst shows within about a second. With a shorter
  /// one, a rate of some ten requests per second would be estimated from too
  /// few requests.
  static constexpr Duration HalfLife = std::chrono::seconds(1);

  void onRequest(const ServiceId &service, TimePoint now);
  /// Returns the current rate in requests per second.
  double perSecond(const ServiceId &service, TimePoint now) const;

private:
  struct Count {
    /// Decayed request count as of \c At.
    double Requests = 0;
    TimePoint At;
  };

  static double decay(const Count &count, TimePoint now);

  std::unordered_map<ServiceId, Count> Counts;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_ARRIVALRATE_H
