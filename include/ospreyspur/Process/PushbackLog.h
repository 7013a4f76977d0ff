//===- PushbackLog.h - what endpoints ask for, in the log -------*- C++ -*-===//
//
// The same lines and metrics on both paths.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_PUSHBACKLOG_H
#define OSPREYSPUR_PROCESS_PUSHBACKLOG_H

#include "ospreyspur/Pushback/ClosedEndpoints.h"
#include "ospreyspur/Pushback/Pushback.h"
#include "ospreyspur/Pushback/RateLimitNote.h"
#include "ospreyspur/Support/Ids.h"
#include "ospreyspur/Support/Metrics.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace ospreyspur {

/// Logs what of \p asked cannot be read, if anything.
void logUnreadable(const EndpointId &endpoint, const Pushback &asked,
                   Metrics &metrics);

/// Logs changes of rates. \p nameOf gives an endpoint's name; \p limited
/// endpoints have a rate now.
void logRates(const std::vector<RateLimitNote> &notes,
              const std::function<EndpointId(LifeDigest)> &nameOf,
              std::size_t limited, Metrics &metrics);

/// Logs pauses; \p resting endpoints have one now.
void logRests(const std::vector<RestNote> &notes,
              const std::function<EndpointId(LifeDigest)> &nameOf,
              std::size_t resting, Metrics &metrics);

/// Logs lives that said that they leave.
void logLeaving(const std::vector<LifeDigest> &lives,
                const std::function<EndpointId(LifeDigest)> &nameOf,
                Metrics &metrics);

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_PUSHBACKLOG_H
