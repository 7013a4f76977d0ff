//===- CrashLogRecord.h - log record of a suspect request -------*- C++ -*-===//
//
// The log record of a request that was running on an endpoint that crashed: the
// request is suspect or quarantined.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_QUARANTINE_CRASHLOGRECORD_H
#define OSPREYSPUR_QUARANTINE_CRASHLOGRECORD_H

#include "ospreyspur/Quarantine/CrashTracker.h"

#include <string>

namespace ospreyspur {

/// One crash under a request, or the verdict that quarantines it.
struct CrashLogRecord {
  RequestDigest Request;
  /// The caller's label for the attempt; empty in the record of a quarantine.
  std::string Label;
  /// The endpoint that crashed; empty in the record of a quarantine.
  EndpointId Endpoint;
  Duration Ran{};
  /// The number of incarnations that crashed while they ran the request, and
  /// the probability that an innocent request meets as many crashes.
  unsigned Crashes = 0;
  double Chance = 1;
  CrashVerdict Verdict = CrashVerdict::Unknown;
  /// Whether another entry reported the verdict.
  bool IsFromPeer = false;
  /// The part of the request's prompt with the most crashes, and their number;
  /// in the record of a quarantine, the part that is quarantined.
  RequestDigest Part{};
  unsigned PartCrashes = 0;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_QUARANTINE_CRASHLOGRECORD_H
