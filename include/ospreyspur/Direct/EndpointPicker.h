//===- EndpointPicker.h - picks an endpoint for a request -------*- C++ -*-===//
//
// Picks the least loaded of the endpoints at which a request can complete
// before its deadline, based on an EndpointTable.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_ENDPOINTPICKER_H
#define OSPREYSPUR_DIRECT_ENDPOINTPICKER_H

#include "ospreyspur/Direct/ArrivalRate.h"
#include "ospreyspur/Direct/CallState.h"
#include "ospreyspur/Direct/ColdEndpoints.h"
#include "ospreyspur/Direct/DirectLimits.h"
#include "ospreyspur/Direct/EndpointTable.h"
#include "ospreyspur/Direct/WaitLogRecord.h"
#include "ospreyspur/Pushback/ExcludedEndpoints.h"
#include "ospreyspur/Pushback/RateLimits.h"
#include "ospreyspur/Scheduling/SlowRanks.h"

#include <cstddef>
#include <random>
#include <set>
#include <vector>

namespace ospreyspur {

/// Picks endpoints without changing any state; the caller records a pick in the
/// EndpointTable.
class EndpointPicker {
public:
  /// Keeps references to all arguments. \p random breaks ties.
  EndpointPicker(const EndpointTable &table, const DirectLimits &limits,
                 const DataCentreId &dataCentre, const ArrivalRate &arrivals,
                 const RateLimits &rates, const ColdEndpoints &cold,
                 const ExcludedEndpoints &excluded, const SlowRanks &slowRanks,
                 std::mt19937_64 &random)
      : Table(table), Limits(limits), DataCentre(dataCentre),
        Arrivals(arrivals), Rates(rates), Cold(cold), Excluded(excluded),
        Slow(slowRanks), Random(random) {}

  /// Returns the endpoint for \p call; null if none has capacity for it. An
  /// endpoint outside of the entry's subset is picked only if the subset has no
  /// good one.
  const EndpointState *pick(const CallState &call, TimePoint now) const;
  /// Returns the endpoint for a suspect request: preferably none of \p others,
  /// which run other suspect requests, and one in the group with the fewest
  /// running requests. Returns null if there is none; with \p mustBeIsolated,
  /// endpoints in \p others are excluded.
  const EndpointState *pickIsolated(const CallState &call,
                                    const std::set<IncarnationDigest> &others,
                                    bool mustBeIsolated, TimePoint now) const;
  /// Endpoints of \p service.
  std::size_t countEndpoints(const ServiceId &service) const {
    return statesOf(service).size();
  }
  /// Whether \p state's endpoint can deliver the rest of a response of usual
  /// length before the deadline of \p call. The service must have an engine.
  bool canFinish(const EndpointState &state, const CallState &call,
                 TimePoint now) const;
  /// Whether \p state's endpoint is used only if there is no other: it is
  /// avoided after failures, is missing from the list, has just started, or
  /// belongs to a group that is slow or stalled.
  bool isLastChoice(const EndpointState &state, TimePoint now) const;
  /// Returns how many endpoints of \p call's service have each obstacle.
  ObstacleCounts countObstacles(const CallState &call, TimePoint now) const;
  /// Endpoints of \p service.
  std::vector<const EndpointState *> statesOf(const ServiceId &service) const {
    return Table.statesOf(service);
  }

private:
  const EndpointState *pickFrom(std::vector<const EndpointState *> states,
                                const CallState &call, TimePoint now) const;
  std::size_t sampleSize(const ServiceId &service, std::size_t endpoints,
                         TimePoint now) const;
  Obstacle obstacleAt(const EndpointState &state, const CallState &call,
                      TimePoint now) const;
  double costOf(const EndpointState &state, const CallState &call,
                TimePoint now) const;

  const EndpointTable &Table;
  const DirectLimits &Limits;
  const DataCentreId &DataCentre;
  const ArrivalRate &Arrivals;
  const RateLimits &Rates;
  const ColdEndpoints &Cold;
  const ExcludedEndpoints &Excluded;
  const SlowRanks &Slow;
  std::mt19937_64 &Random;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_ENDPOINTPICKER_H
