//===- CrashLog.h - log and metrics of crashing requests --------*- C++ -*-===//
//
// Logs and counts each crash of an endpoint during a request, and each decision
// of this or another entry to quarantine a request.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_CRASHLOG_H
#define OSPREYSPUR_PROCESS_CRASHLOG_H

#include "ospreyspur/Quarantine/CrashLogRecord.h"
#include "ospreyspur/Support/Metrics.h"

#include <vector>

namespace ospreyspur {

/// Logs and counts \p records, and sets the metric of the number of records in
/// \p tracker.
void logCrashes(const std::vector<CrashLogRecord> &records,
                const CrashTracker &tracker, Metrics &metrics);

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_CRASHLOG_H
