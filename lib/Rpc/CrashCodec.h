//===- CrashCodec.h - crash reports to and from protobuf --------*- C++ -*-===//
//
// Crash reports have the same fields in load reports and in messages on links.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_LIB_RPC_CRASHCODEC_H
#define OSPREYSPUR_LIB_RPC_CRASHCODEC_H

#include "ospreyspur/Quarantine/CrashReport.h"

namespace ospreyspur {

namespace wire {
class CrashUpdate;
class LoadReport;
} // namespace wire

void encodeCrashes(const CrashReport &report, wire::LoadReport &out);
void encodeCrashes(const CrashReport &report, wire::CrashUpdate &out);

/// Records beyond the bounds on the size of a report are ignored.
CrashReport decodeCrashes(const wire::LoadReport &in);
CrashReport decodeCrashes(const wire::CrashUpdate &in);

} // namespace ospreyspur

#endif // OSPREYSPUR_LIB_RPC_CRASHCODEC_H
