//===- DirectLog.h - words of the direct path's log -------------*- C++ -*-===//
//
// The names of results and reasons in logs and metrics.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_DIRECTLOG_H
#define OSPREYSPUR_PROCESS_DIRECTLOG_H

#include "ospreyspur/Direct/DirectActions.h"

namespace ospreyspur {

/// The name of \p end in logs and metrics.
const char *wordOf(AttemptEnd end);
/// The name of \p reason in the log.
const char *wordOf(StopReason reason);

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_DIRECTLOG_H
