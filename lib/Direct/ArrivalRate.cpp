//===- ArrivalRate.cpp - requests per second, by service ------------------===//
//
// See ArrivalRate.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/ArrivalRate.h"

#include <cmath>
#include <numbers>

using namespace ospreyspur;

static double secondsOf(Duration it) {
  return std::chrono::duration<double>(it).count();
}

double ArrivalRate::decay(const Count &count, TimePoint now) {
  return count.Requests *
         std::exp2(-secondsOf(now - count.At) / secondsOf(HalfLife));
}

void ArrivalRate::onRequest(const ServiceId &service, TimePoint now) {
  Count &it = Counts[service];
  it.Requests = decay(it, now) + 1;
  it.At = now;
}

double ArrivalRate::perSecond(const ServiceId &service, TimePoint now) const {
  auto it = Counts.find(service);
  if (it == Counts.end())
    return 0;
  // At a steady rate r the decayed count converges to r * HalfLife / ln 2.
  return decay(it->second, now) * std::numbers::ln2 / secondsOf(HalfLife);
}
