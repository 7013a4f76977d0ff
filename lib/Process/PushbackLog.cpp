//===- PushbackLog.cpp - log and metrics of pushback ----------------------===//
//
// See PushbackLog.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/PushbackLog.h"

#include "ospreyspur/Support/LogEvent.h"

#include <glog/logging.h>

#include <string>

using namespace ospreyspur;

/// One in this many unreadable values is logged.
static constexpr int LogOneIn = 100;

void ospreyspur::logMalformedPushback(const EndpointId &endpoint,
                                      const Pushback &pushback,
                                      Metrics &metrics) {
  if (pushback.Malformed.empty())
    return;
  metrics.count("pushback_unreadable_total");
  LOG_EVERY_N(WARNING, LogOneIn) << LogEvent("pushback.unreadable")
                                        .with("endpoint", endpoint.get())
                                        .with("value", pushback.Malformed);
}

static const char *wordOf(const RateLimitLogRecord &record) {
  if (!record.After)
    return "lifted";
  if (!record.Before)
    return "set";
  return *record.After < *record.Before ? "lowered" : "raised";
}

void ospreyspur::logRateLimits(
    const std::vector<RateLimitLogRecord> &records,
    const std::function<EndpointId(IncarnationDigest)> &nameOf,
    std::size_t limitedCount, Metrics &metrics) {
  for (const RateLimitLogRecord &record : records) {
    metrics.count("rate_limit_changes_total{change=\"" +
                  std::string(wordOf(record)) + "\"}");
    LOG(INFO) << LogEvent("endpoint.rate")
                     .with("endpoint", nameOf(record.Incarnation).get())
                     .with("change", wordOf(record))
                     .with("per_s", record.After.value_or(-1))
                     .with("before_per_s", record.Before.value_or(-1))
                     .with("from", record.IsFromPeer ? "entry" : "answer")
                     .with("age_ms", toMillis(record.Age))
                     .with("rank", record.Rank)
                     .with("senders", record.Owners);
  }
  if (!records.empty())
    metrics.set("endpoints_rate_limited", double(limitedCount));
}

void ospreyspur::logBackoffs(
    const std::vector<BackoffLogRecord> &records,
    const std::function<EndpointId(IncarnationDigest)> &nameOf,
    std::size_t backoffCount, Metrics &metrics) {
  for (const BackoffLogRecord &record : records)
    LOG(INFO) << LogEvent("endpoint.rests")
                     .with("endpoint", nameOf(record.Incarnation).get())
                     .with("rest_ms", toMillis(record.Backoff));
  metrics.count("endpoint_rests_total", records.size());
  metrics.set("endpoints_resting", double(backoffCount));
}

void ospreyspur::logLeaving(
    const std::vector<IncarnationDigest> &incarnations,
    const std::function<EndpointId(IncarnationDigest)> &nameOf,
    Metrics &metrics) {
  for (IncarnationDigest it : incarnations)
    LOG(INFO) << LogEvent("endpoint.leaves").with("endpoint", nameOf(it).get());
  metrics.count("endpoint_leaves_total", incarnations.size());
}
