//===- CrashLog.h - log and metrics of crashing requests --------*- C++ -*-===//
//
// Logs and counts each crash of an endpoint during a request, and each decision
// of this or another entry to quarantine a request.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_CRASHLOG_H
#define OSPREYSPUR_PROCESS_CRASHLOG_H

#include "ospreyspur/Quarantine/CrashQuarantine.h"
#include "ospreyspur/Support/Metrics.h"

#include <vector>

namespace ospreyspur {

/// Logs and counts \p records, and sets the metrics of the number of records in
/// \p crashes.
void logCrashes(const std::vector<CrashLogRecord> &records,
                const CrashQuarantine &crashes, Metrics &metrics);

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_CRASHLOG_H
