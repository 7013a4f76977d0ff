//===- RankCost.h - what a rank adds to an iteration ------------*- C++ -*-===//
//
// All ranks of a group step together, so an engine iteration takes as long as
// its slowest rank. The durations follow from the engine's cost figures, which
// the service's operator states.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_SCHEDULING_RANKCOST_H
#define OSPREYSPUR_SCHEDULING_RANKCOST_H

#include "ospreyspur/Support/Time.h"

namespace ospreyspur {

struct EngineCosts;

/// Returns how long an iteration takes a rank with the slowdown factor
/// \p slowdown and \p running requests, without the experts; zero if the rank
/// has no requests.
Duration rankTime(const EngineCosts &engine, double slowdown, unsigned running);

/// Returns the time that the experts add to an iteration if all \p slots of
/// every rank are in use and the expert map is even.
Duration expertTime(const EngineCosts &engine, unsigned slots);

} // namespace ospreyspur

#endif // OSPREYSPUR_SCHEDULING_RANKCOST_H
