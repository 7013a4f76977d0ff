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

void ospreyspur::logCrashes(const std::vector<CrashNote> &notes,
                            const CrashTracker &tracker, Metrics &metrics) {
  for (const CrashNote &note : notes) {
    metrics.count("request_crashes_total{standing=\"" +
                  std::string(wordOf(note.Standing)) + "\"}");
    LOG(INFO) << LogEvent("request.crashed")
                     .with("id", note.Label)
                     .with("digest", toHex(note.Request))
                     .with("endpoint", note.Endpoint.get())
                     .with("ran_ms", toMillis(note.Ran))
                     .with("crashes", note.Crashes)
                     .with("chance", note.Chance)
                     .with("standing", wordOf(note.Standing))
                     .with("from", note.IsTold ? "peer" : "own");
  }
  metrics.set("requests_known_to_crash", double(tracker.rowCount()));
}
