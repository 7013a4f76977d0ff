//===- ClosedEndpoints.h - endpoints that asked for a pause -----*- C++ -*-===//
//
// An endpoint that turns a request away may say for how long it wants none of
// the process that sent it. Until then it gets nothing, whatever else there is.
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
  bool isEmpty() const { return RestUntil.empty(); }

private:
  static constexpr std::size_t MaxNotes = 64;

  std::unordered_map<LifeDigest, TimePoint> RestUntil;
  std::vector<RestNote> Notes;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PUSHBACK_CLOSEDENDPOINTS_H
