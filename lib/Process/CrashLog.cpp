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

static void logPartQuarantine(const CrashLogRecord &record, Metrics &metrics) {
  const char *from = record.IsFromPeer ? "peer" : "own";
  metrics.count("part_quarantines_total{from=\"" + std::string(from) + "\"}");
  LOG(INFO) << LogEvent("part.quarantined")
                   .with("part", toHex(record.Part))
                   .with("from", from);
}

static void logCrash(const CrashLogRecord &record, Metrics &metrics) {
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
                   .with("from", record.IsFromPeer ? "peer" : "own")
                   .with("part", toHex(record.Part))
                   .with("part_crashes", record.PartCrashes);
}

void ospreyspur::logCrashes(const std::vector<CrashLogRecord> &records,
                            const CrashQuarantine &crashes, Metrics &metrics) {
  for (const CrashLogRecord &record : records) {
    if (record.Request == RequestDigest())
      logPartQuarantine(record, metrics);
    else
      logCrash(record, metrics);
  }
  metrics.set("requests_known_to_crash",
              double(crashes.requests().recordCount()));
  metrics.set("parts_known_to_crash",
              double(crashes.parts().crashes().recordCount()));
}
