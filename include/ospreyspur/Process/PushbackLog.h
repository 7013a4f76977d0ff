//===- PushbackLog.h - log and metrics of pushback --------------*- C++ -*-===//
//
// Logs and counts the rate limits, backoffs and leaving states that endpoints
// send in their responses. Used by agents and by direct entries.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_PUSHBACKLOG_H
#define OSPREYSPUR_PROCESS_PUSHBACKLOG_H

#include "ospreyspur/Pushback/ExcludedEndpoints.h"
#include "ospreyspur/Pushback/Pushback.h"
#include "ospreyspur/Pushback/RateLimitLogRecord.h"
#include "ospreyspur/Support/Ids.h"
#include "ospreyspur/Support/Metrics.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace ospreyspur {

/// Logs the malformed header value in \p pushback, if there is one.
void logMalformedPushback(const EndpointId &endpoint, const Pushback &pushback,
                          Metrics &metrics);

/// Logs changes of advertised rate limits. \p nameOf returns an endpoint's
/// name; \p limitedCount is the number of endpoints that have a rate limit now.
void logRateLimits(const std::vector<RateLimitLogRecord> &records,
                   const std::function<EndpointId(IncarnationDigest)> &nameOf,
                   std::size_t limitedCount, Metrics &metrics);

/// Logs backoffs; \p backoffCount is the number of endpoints in backoff now.
void logBackoffs(const std::vector<BackoffLogRecord> &records,
                 const std::function<EndpointId(IncarnationDigest)> &nameOf,
                 std::size_t backoffCount, Metrics &metrics);

/// Logs the endpoint incarnations that have reported that they are leaving.
void logLeaving(const std::vector<IncarnationDigest> &incarnations,
                const std::function<EndpointId(IncarnationDigest)> &nameOf,
                Metrics &metrics);

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_PUSHBACKLOG_H
