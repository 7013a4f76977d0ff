//===- CrashNote.h - why a request is suspect or quarantined ----*- C++ -*-===//
//
// What the log says of a request under which an endpoint ended.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_QUARANTINE_CRASHNOTE_H
#define OSPREYSPUR_QUARANTINE_CRASHNOTE_H

#include "ospreyspur/Quarantine/CrashTracker.h"

#include <string>

namespace ospreyspur {

/// One decision on a request.
struct CrashNote {
  RequestDigest Request;
  /// The caller's name for the try; empty if another entry had it.
  std::string Label;
  /// The endpoint that ended; empty if another entry saw it.
  EndpointId Endpoint;
  Duration Ran{};
  /// Lives that ended under it, and how likely that is by chance.
  unsigned Crashes = 0;
  double Chance = 1;
  CrashStanding Standing = CrashStanding::Unknown;
  /// Whether another entry told it.
  bool IsTold = false;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_QUARANTINE_CRASHNOTE_H
