//===- Roles.h - the long-running roles of the binary -----------*- C++ -*-===//
//
// Each function runs one role until it is told to stop.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_ROLES_H
#define OSPREYSPUR_PROCESS_ROLES_H

#include "ospreyspur/Config/Settings.h"
#include "ospreyspur/Support/Result.h"

namespace ospreyspur {

/// Runs an entry until SIGTERM or SIGINT. Errors: SettingInvalid.
Result<void> runEntry(const EntrySettings &settings);

/// Runs an agent until SIGTERM or SIGINT. Errors: SettingInvalid.
Result<void> runAgent(const AgentSettings &settings);

/// Runs an entry of the direct path until SIGTERM or SIGINT. Errors:
/// SettingInvalid.
Result<void> runDirect(const DirectSettings &settings);

/// Runs an agent beside a rank until SIGTERM or SIGINT. Errors: SettingInvalid.
Result<void> runRank(const RankSettings &settings);

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_ROLES_H
