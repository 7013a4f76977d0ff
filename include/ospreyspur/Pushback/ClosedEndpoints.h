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

  /// Starts a backoff of \p rest for \p life. An earlier backoff that ends
  /// later stays in force.
  void onRest(LifeDigest life, Duration rest, TimePoint now);
  /// Records that \p life is leaving. \p isTold: another process reported it,
  /// so this one doesn't announce it.
  void onLeaving(LifeDigest life, bool isTold, TimePoint now);
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

  bool isResting(LifeDigest life, TimePoint now) const {
    return restUntil(life) > now;
  }
  /// When the backoff of \p life ends or ended; the earliest time if it has
  /// none.
  TimePoint restUntil(LifeDigest life) const;
  /// The earliest end of a backoff after \p now.
  std::optional<TimePoint> nextEnd(TimePoint now) const;
  std::size_t restingCount(TimePoint now) const;
  bool isLeaving(LifeDigest life) const { return Leaving.contains(life); }
  std::size_t leavingCount() const { return Leaving.size(); }
  bool isEmpty() const { return RestUntil.empty() && Leaving.empty(); }

private:
  static constexpr std::size_t MaxNotes = 64;
  /// An incarnation that is leaving has exited long before this time passes.
  static constexpr Duration KeepLeavingFor = std::chrono::hours(1);
  /// Each leaving incarnation is announced in this many reports, as datagrams
  /// may be lost.
  static constexpr unsigned LeavingTellings = 3;
  /// Most leaving incarnations in one report.
  static constexpr std::size_t MaxToldLeaving = 32;

  struct LeavingLife {
    TimePoint SaidAt;
    unsigned Tellings = 0;
  };

  std::unordered_map<LifeDigest, TimePoint> RestUntil;
  std::unordered_map<LifeDigest, LeavingLife> Leaving;
  std::vector<LifeDigest> LeavingNotes;
  std::vector<RestNote> Notes;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PUSHBACK_CLOSEDENDPOINTS_H
