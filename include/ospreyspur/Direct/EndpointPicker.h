//===- EndpointPicker.h - the endpoint for a request ------------*- C++ -*-===//
//
// Picks the least loaded endpoint at which a request can be whole in time, out
// of what an EndpointBook knows.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_ENDPOINTPICKER_H
#define OSPREYSPUR_DIRECT_ENDPOINTPICKER_H

#include "ospreyspur/Direct/ArrivalRate.h"
#include "ospreyspur/Direct/CallState.h"
#include "ospreyspur/Direct/DirectLimits.h"
#include "ospreyspur/Direct/EndpointBook.h"
#include "ospreyspur/Direct/WaitNote.h"
#include "ospreyspur/Pushback/ClosedEndpoints.h"
#include "ospreyspur/Pushback/RateLimits.h"

#include <cstddef>
#include <random>
#include <set>
#include <vector>

namespace ospreyspur {

/// Queries only; whoever uses a pick notes it in the book.
class EndpointPicker {
public:
  /// Everything is kept by reference; \p random breaks ties.
  EndpointPicker(const EndpointBook &book, const DirectLimits &limits,
                 const DataCentreId &dataCentre, const ArrivalRate &arrivals,
                 const RateLimits &rates, const ClosedEndpoints &closed,
                 std::mt19937_64 &random)
      : Book(book), Limits(limits), DataCentre(dataCentre), Arrivals(arrivals),
        Rates(rates), Closed(closed), Random(random) {}

  /// The endpoint for \p call; null if none has room for it.
  const EndpointState *pick(const CallState &call, TimePoint now) const;
  /// The endpoint for a call whose request may end it: away from \p others,
  /// where other such requests run, and in the group that has the least to
  /// lose. Null if there is none; with \p mustBeApart also if others run at
  /// each.
  const EndpointState *pickApart(const CallState &call,
                                 const std::set<LifeDigest> &others,
                                 bool mustBeApart, TimePoint now) const;
  /// Endpoints of \p service.
  std::size_t countEndpoints(const ServiceId &service) const {
    return statesOf(service).size();
  }
  /// Whether the rest of a usual answer to \p call would come from \p state's
  /// endpoint within its time. The service must have an engine.
  bool canFinish(const EndpointState &state, const CallState &call,
                 TimePoint now) const;
  /// Whether \p state's endpoint is suspect, has vanished from the list or is
  /// of a group that is slow or stands.
  bool isDoubtful(const EndpointState &state, TimePoint now) const;
  /// How many endpoints of \p call's service have which obstacle for it.
  ObstacleCounts countObstacles(const CallState &call, TimePoint now) const;
  /// Endpoints of \p service.
  std::vector<const EndpointState *> statesOf(const ServiceId &service) const;

private:
  std::size_t sampleSize(const ServiceId &service, std::size_t endpoints,
                         TimePoint now) const;
  Obstacle obstacleAt(const EndpointState &state, const CallState &call,
                      TimePoint now) const;
  double costOf(const EndpointState &state, const CallState &call,
                TimePoint now) const;

  const EndpointBook &Book;
  const DirectLimits &Limits;
  const DataCentreId &DataCentre;
  const ArrivalRate &Arrivals;
  const RateLimits &Rates;
  const ClosedEndpoints &Closed;
  std::mt19937_64 &Random;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_ENDPOINTPICKER_H
