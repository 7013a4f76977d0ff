//===- CrashLog.h - log and metrics of quarantined requests -----*- C++ -*-===//
//
// Logs one line and increments one counter for each endpoint crash that is
// attributed to a request.
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
