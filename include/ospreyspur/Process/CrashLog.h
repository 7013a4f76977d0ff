//===- CrashLog.h - log and metrics of quarantined requests -----*- C++ -*-===//
//
// One line and one count for each end of an endpoint that is put down to a
// request.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_CRASHLOG_H
#define OSPREYSPUR_PROCESS_CRASHLOG_H

#include "ospreyspur/Quarantine/CrashNote.h"
#include "ospreyspur/Support/Metrics.h"

#include <vector>

namespace ospreyspur {

/// Logs and counts \p notes, and sets the number of rows of \p tracker.
void logCrashes(const std::vector<CrashNote> &notes,
                const CrashTracker &tracker, Metrics &metrics);

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_CRASHLOG_H
