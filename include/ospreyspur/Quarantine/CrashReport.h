//===- CrashReport.h - reports of endpoint crashes --------------*- C++ -*-===//
//
// The part of an entry's report to the other entries that lists the requests
// that were running on endpoints when these crashed.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_QUARANTINE_CRASHREPORT_H
#define OSPREYSPUR_QUARANTINE_CRASHREPORT_H

#include "ospreyspur/Support/Digest.h"
#include "ospreyspur/Support/Time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace ospreyspur {

/// Identifies one incarnation of an endpoint. Callers can't influence these
/// ids.
using IncarnationDigest =
    StrongType<struct IncarnationDigestTag, std::uint64_t>;

/// Returns the digest of the incarnation that \p id names.
inline IncarnationDigest digestIncarnation(const EndpointId &id) {
  return IncarnationDigest(digest64(id.get()));
}

/// The crash of an incarnation that was running a request. Times are sent as
/// ages, as entries have no common clock.
struct ReportedCrash {
  IncarnationDigest Incarnation;
  Duration Age{};
  Duration Ran{};
};

/// The record of one request at the sending entry.
struct CrashRecord {
  RequestDigest Request;
  std::vector<ReportedCrash> Crashes;
  /// The number of endpoints of the request's service.
  std::size_t Endpoints = 1;
  /// Time since the request was last received or an endpoint last crashed under
  /// it.
  Duration SeenAge{};
  std::optional<Duration> ClearedAge;
  std::optional<Duration> QuarantinedAge;
};

/// An attempt of a suspect request by the sending entry, and the incarnation
/// that runs it.
struct SuspectAttempt {
  RequestDigest Request;
  IncarnationDigest Incarnation;
};

/// The crash records and the suspect attempts of one report.
struct CrashReport {
  std::vector<CrashRecord> Records;
  std::vector<SuspectAttempt> SuspectAttempts;
  /// The records of prompt parts instead of single requests.
  std::vector<CrashRecord> Parts{};

  bool isEmpty() const {
    return Records.empty() && SuspectAttempts.empty() && Parts.empty();
  }
};

} // namespace ospreyspur

#endif // OSPREYSPUR_QUARANTINE_CRASHREPORT_H
