//===- ClosedEndpoints.h - endpoints in backoff or leaving ------*- C++ -*-===//
//
// An endpoint that refuses a request may ask the sending process to back off
// for a given time. Until that time passes the process sends the endpoint
// nothing, even if no other endpoint is available. An endpoint that reports
// that it is leaving gets no new request from any process for the rest of that
// incarnation.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PUSHBACK_CLOSEDENDPOINTS_H
#define OSPREYSPUR_PUSHBACK_CLOSEDENDPOINTS_H

#include "ospreyspur/Quarantine/CrashReport.h"
#include "ospreyspur/Support/Time.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ospreyspur {

/// A backoff that an endpoint requested, for the log.
struct RestNote {
  LifeDigest Life;
  Duration Rest{};
};

/// The endpoints to which one entry or agent currently sends nothing.
class ClosedEndpoints {
public:
  static constexpr std::size_t MaxEndpoints = 4096;

  // Commands.

  /// Starts a backoff of \p incarnation for the time \p backoff. An earlier
  /// backoff that ends later stays in force.
  void onRest(LifeDigest incarnation, Duration backoff, TimePoint now);
  /// Records that \p incarnation is leaving. \p isFromPeer: another process
  /// reported it, so this one doesn't announce it.
  void onLeaving(LifeDigest incarnation, bool isFromPeer, TimePoint now);
  /// Returns the leaving incarnations to announce to the other entries now.
  std::vector<LifeDigest> takeLeavingReport();
  /// Returns the incarnations found to be leaving since the last call, for the
  /// log.
  std::vector<LifeDigest> takeLeavingNotes() {
    return std::exchange(LeavingNotes, {});
  }
  /// Returns the backoffs that began since the last call, for the log.
  std::vector<RestNote> takeNotes() { return std::exchange(Notes, {}); }

  // Queries.

  bool isResting(LifeDigest incarnation, TimePoint now) const {
    return restUntil(incarnation) > now;
  }
  /// When the backoff of \p incarnation ends or ended; the earliest time if it
  /// has none.
  TimePoint restUntil(LifeDigest incarnation) const;
  /// The earliest end of a backoff after \p now.
  std::optional<TimePoint> nextEnd(TimePoint now) const;
  std::size_t restingCount(TimePoint now) const;
  bool isLeaving(LifeDigest incarnation) const {
    return Leaving.contains(incarnation);
  }
  std::size_t leavingCount() const { return Leaving.size(); }
  bool isEmpty() const { return BackoffUntil.empty() && Leaving.empty(); }

private:
  static constexpr std::size_t MaxNotes = 64;
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

  std::unordered_map<LifeDigest, TimePoint> BackoffUntil;
  std::unordered_map<LifeDigest, LeavingIncarnation> Leaving;
  std::vector<LifeDigest> LeavingNotes;
  std::vector<RestNote> Notes;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PUSHBACK_CLOSEDENDPOINTS_H
