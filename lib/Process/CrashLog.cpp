//===- CrashLog.cpp - log and metrics of quarantined requests -------------===//
//
// See CrashLog.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/CrashLog.h"

#include "ospreyspur/Support/LogEvent.h"

#include <glog/logging.h>

using namespace ospreyspur;

/// The name of the verdict \p standing in logs and metrics.
static const char *wordOf(CrashStanding standing) {
  switch (standing) {
  case CrashStanding::Unknown:
    return "innocent";
  case CrashStanding::Suspect:
    return "suspect";
  case CrashStanding::Quarantined:
    return "quarantined";
  }
  return "";
}

void ospreyspur::logCrashes(const std::vector<CrashNote> &records,
                            const CrashTracker &tracker, Metrics &metrics) {
  for (const CrashNote &record : records) {
    metrics.count("request_crashes_total{standing=\"" +
                  std::string(wordOf(record.Standing)) + "\"}");
    LOG(INFO) << LogEvent("request.crashed")
                     .with("id", record.Label)
                     .with("digest", toHex(record.Request))
                     .with("endpoint", record.Endpoint.get())
                     .with("ran_ms", toMillis(record.Ran))
                     .with("crashes", record.Crashes)
                     .with("chance", record.Chance)
                     .with("standing", wordOf(record.Standing))
                     .with("from", record.IsTold ? "peer" : "own");
  }
  metrics.set("requests_known_to_crash", double(tracker.rowCount()));
}
