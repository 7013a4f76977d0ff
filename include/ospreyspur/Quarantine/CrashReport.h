//===- CrashReport.h - what entries tell of ended endpoints -----*- C++ -*-===//
//
// The part of an entry's report to the others that is about requests under
// which endpoints ended.
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

/// One life of an endpoint; callers have no say in these ids.
using LifeDigest = StrongType<struct LifeDigestTag, std::uint64_t>;

/// The digest of the life that \p id names.
inline LifeDigest digestLife(const EndpointId &id) {
  return LifeDigest(digest64(id.get()));
}

/// A life that ended while a request ran there. Times are ages, as entries have
/// no clock in common.
struct CrashTold {
  LifeDigest Life;
  Duration Age{};
  Duration Ran{};
};

/// What an entry knows of one request.
struct CrashRow {
  RequestDigest Request;
  std::vector<CrashTold> Crashes;
  /// Endpoints of its service.
  std::size_t Endpoints = 1;
  /// How long ago it last came.
  Duration SeenAge{};
  std::optional<Duration> ClearedAge;
  std::optional<Duration> QuarantinedAge;
};

/// A suspect that the teller runs, and where.
struct SuspectRun {
  RequestDigest Request;
  LifeDigest Life;
};

/// One report's part.
struct CrashReport {
  std::vector<CrashRow> Rows;
  std::vector<SuspectRun> Runs;

  bool isEmpty() const { return Rows.empty() && Runs.empty(); }
};

} // namespace ospreyspur

#endif // OSPREYSPUR_QUARANTINE_CRASHREPORT_H
