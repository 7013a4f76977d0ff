//===- ExcludedEndpoints.h - endpoints in backoff or leaving ----*- C++ -*-===//
//
// An endpoint that refuses a request may ask the sending process to back off
// for a given time. Until that time passes the process sends the endpoint
// nothing, even if no other endpoint is available. An endpoint that reports
// that it is leaving gets no new request from any process for the rest of that
// incarnation.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PUSHBACK_EXCLUDEDENDPOINTS_H
#define OSPREYSPUR_PUSHBACK_EXCLUDEDENDPOINTS_H

#include "ospreyspur/Quarantine/CrashReport.h"
#include "ospreyspur/Support/Time.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ospreyspur {

/// A backoff that an endpoint requested, for the log.
struct BackoffLogRecord {
  IncarnationDigest Incarnation;
  Duration Backoff{};
};

/// The endpoints to which one entry or agent currently sends nothing.
class ExcludedEndpoints {
public:
  static constexpr std::size_t MaxEndpoints = 4096;

  // Commands.

  /// Starts a backoff of \p incarnation for the time \p backoff. An earlier
  /// backoff that ends later stays in force.
  void onBackoff(IncarnationDigest incarnation, Duration backoff,
                 TimePoint now);
  /// Records that \p incarnation is leaving. \p isFromPeer: another process
  /// reported it, so this one doesn't announce it.
  void onLeaving(IncarnationDigest incarnation, bool isFromPeer, TimePoint now);
  /// Returns the leaving incarnations to announce to the other entries now.
  std::vector<IncarnationDigest> takeLeavingReport();
  /// Returns the incarnations found to be leaving since the last call, for the
  /// log.
  std::vector<IncarnationDigest> takeLeavingLogRecords() {
    return std::exchange(LeavingLogRecords, {});
  }
  /// Returns the backoffs that began since the last call, for the log.
  std::vector<BackoffLogRecord> takeLogRecords() {
    return std::exchange(LogRecords, {});
  }

  // Queries.

  bool isInBackoff(IncarnationDigest incarnation, TimePoint now) const {
    return backoffUntil(incarnation) > now;
  }
  /// When the backoff of \p incarnation ends or ended; the earliest time if it
  /// has none.
  TimePoint backoffUntil(IncarnationDigest incarnation) const;
  /// The earliest end of a backoff after \p now.
  std::optional<TimePoint> nextBackoffEnd(TimePoint now) const;
  std::size_t backoffCount(TimePoint now) const;
  bool isLeaving(IncarnationDigest incarnation) const {
    return Leaving.contains(incarnation);
  }
  std::size_t leavingCount() const { return Leaving.size(); }
  bool isEmpty() const { return BackoffUntil.empty() && Leaving.empty(); }

private:
  static constexpr std::size_t MaxLogRecords = 64;
  /// An incarnation that is leaving has exited long before this time passes.
  static constexpr Duration KeepLeavingFor = std::chrono::hours(1);
  /// Each leaving incarnation is announced in this many reports, as datagrams
  /// may be lost.
  static constexpr unsigned LeavingAnnouncements = 3;
  /// Most leaving incarnations in one report.
  static constexpr std::size_t MaxLeavingPerReport = 32;

  struct LeavingIncarnation {
    TimePoint ReportedAt;
    unsigned RemainingAnnouncements = 0;
  };

  std::unordered_map<IncarnationDigest, TimePoint> BackoffUntil;
  std::unordered_map<IncarnationDigest, LeavingIncarnation> Leaving;
  std::vector<IncarnationDigest> LeavingLogRecords;
  std::vector<BackoffLogRecord> LogRecords;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PUSHBACK_EXCLUDEDENDPOINTS_H
