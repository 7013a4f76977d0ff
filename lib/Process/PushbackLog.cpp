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

void ospreyspur::logUnreadable(const EndpointId &endpoint,
                               const Pushback &asked, Metrics &metrics) {
  if (asked.Malformed.empty())
    return;
  metrics.count("pushback_unreadable_total");
  LOG_EVERY_N(WARNING, LogOneIn) << LogEvent("pushback.unreadable")
                                        .with("endpoint", endpoint.get())
                                        .with("value", asked.Malformed);
}

static const char *wordOf(const RateLimitNote &note) {
  if (!note.After)
    return "lifted";
  if (!note.Before)
    return "set";
  return *note.After < *note.Before ? "lowered" : "raised";
}

void ospreyspur::logRates(const std::vector<RateLimitNote> &notes,
                          const std::function<EndpointId(LifeDigest)> &nameOf,
                          std::size_t limited, Metrics &metrics) {
  for (const RateLimitNote &note : notes) {
    metrics.count("rate_limit_changes_total{change=\"" +
                  std::string(wordOf(note)) + "\"}");
    LOG(INFO) << LogEvent("endpoint.rate")
                     .with("endpoint", nameOf(note.Life).get())
                     .with("change", wordOf(note))
                     .with("per_s", note.After.value_or(-1))
                     .with("before_per_s", note.Before.value_or(-1))
                     .with("from", note.IsTold ? "entry" : "answer")
                     .with("age_ms", toMillis(note.Age))
                     .with("rank", note.Rank)
                     .with("senders", note.Holders);
  }
  if (!notes.empty())
    metrics.set("endpoints_rate_limited", double(limited));
}

void ospreyspur::logRests(const std::vector<RestNote> &notes,
                          const std::function<EndpointId(LifeDigest)> &nameOf,
                          std::size_t resting, Metrics &metrics) {
  for (const RestNote &note : notes)
    LOG(INFO) << LogEvent("endpoint.rests")
                     .with("endpoint", nameOf(note.Life).get())
                     .with("rest_ms", toMillis(note.Rest));
  metrics.count("endpoint_rests_total", notes.size());
  metrics.set("endpoints_resting", double(resting));
}

void ospreyspur::logLeaving(const std::vector<LifeDigest> &lives,
                            const std::function<EndpointId(LifeDigest)> &nameOf,
                            Metrics &metrics) {
  for (LifeDigest it : lives)
    LOG(INFO) << LogEvent("endpoint.leaves").with("endpoint", nameOf(it).get());
  metrics.count("endpoint_leaves_total", lives.size());
}
