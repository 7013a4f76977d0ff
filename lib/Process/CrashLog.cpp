//===- CrashLog.cpp - log and metrics of crashing requests ----------------===//
//
// See CrashLog.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/CrashLog.h"

#include "ospreyspur/Support/LogEvent.h"

#include <glog/logging.h>

using namespace ospreyspur;

/// The name of the verdict \p verdict in logs and metrics.
static const char *wordOf(CrashVerdict verdict) {
  switch (verdict) {
  case CrashVerdict::Unknown:
    return "innocent";
  case CrashVerdict::Suspect:
    return "suspect";
  case CrashVerdict::Quarantined:
    return "quarantined";
  }
  return "";
}

void ospreyspur::logCrashes(const std::vector<CrashLogRecord> &records,
                            const CrashTracker &tracker, Metrics &metrics) {
  for (const CrashLogRecord &record : records) {
    metrics.count("request_crashes_total{standing=\"" +
                  std::string(wordOf(record.Verdict)) + "\"}");
    LOG(INFO) << LogEvent("request.crashed")
                     .with("id", record.Label)
                     .with("digest", toHex(record.Request))
                     .with("endpoint", record.Endpoint.get())
                     .with("ran_ms", toMillis(record.Ran))
                     .with("crashes", record.Crashes)
                     .with("chance", record.Chance)
                     .with("standing", wordOf(record.Verdict))
                     .with("from", record.IsFromPeer ? "peer" : "own");
  }
  metrics.set("requests_known_to_crash", double(tracker.recordCount()));
}
