//===- ClosedEndpoints.h - endpoints that asked for a pause -----*- C++ -*-===//
//
// An endpoint that turns a request away may say for how long it wants none of
// the process that sent it. Until then it gets nothing, whatever else there is.
// One that says that it leaves gets nothing more in that life, from anyone.
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

/// An endpoint asked for a pause; for the log.
struct RestNote {
  LifeDigest Life;
  Duration Rest{};
};

/// What one entry, or one agent, was asked for.
class ClosedEndpoints {
public:
  static constexpr std::size_t MaxEndpoints = 4096;

  // Commands.

  /// \p life wants nothing for \p rest. An earlier answer that asked for more
  /// stands.
  void onRest(LifeDigest life, Duration rest, TimePoint now);
  /// \p life said, to this process or to another one that told it, that it
  /// leaves.
  void onLeaving(LifeDigest life, bool isTold, TimePoint now);
  /// The lives that said so, to report to the other entries now.
  std::vector<LifeDigest> takeLeavingReport();
  /// The lives that were found to leave since the last call, for the log.
  std::vector<LifeDigest> takeLeavingNotes() {
    return std::exchange(LeavingNotes, {});
  }
  /// The pauses that began since the last call, for the log.
  std::vector<RestNote> takeNotes() { return std::exchange(Notes, {}); }

  // Queries.

  bool isResting(LifeDigest life, TimePoint now) const {
    return restUntil(life) > now;
  }
  /// When the pause of \p life ends or ended; the earliest time for none.
  TimePoint restUntil(LifeDigest life) const;
  /// The first end of a pause after \p now.
  std::optional<TimePoint> nextEnd(TimePoint now) const;
  std::size_t restingCount(TimePoint now) const;
  bool isLeaving(LifeDigest life) const { return Leaving.contains(life); }
  std::size_t leavingCount() const { return Leaving.size(); }
  bool isEmpty() const { return RestUntil.empty() && Leaving.empty(); }

private:
  static constexpr std::size_t MaxNotes = 64;
  /// A life that left is gone long before.
  static constexpr Duration KeepLeavingFor = std::chrono::hours(1);
  /// Reports in which a life is told, as datagrams may be lost, and most of
  /// them in one report.
  static constexpr unsigned LeavingTellings = 3;
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
