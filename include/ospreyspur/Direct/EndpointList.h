//===- EndpointList.h - which endpoints exist -------------------*- C++ -*-===//
//
// The state machine that derives the set of usable endpoints from the
// platform's lists. An endpoint whose record vanishes is at once used only as a
// last choice, and dropped after a grace period, as records lapse in an outage
// of the platform and return soon after it.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_ENDPOINTLIST_H
#define OSPREYSPUR_DIRECT_ENDPOINTLIST_H

#include "ospreyspur/Direct/EndpointRecord.h"
#include "ospreyspur/Support/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace ospreyspur {

/// An endpoint that may be used.
struct ListedEndpoint {
  EndpointRecord Record;
  /// Whether the endpoint's record has vanished and may come back.
  bool IsMissing = false;
  /// Whether operators drain the endpoint's data centre.
  bool IsDrained = false;
  /// Whether the endpoint is outside of this entry's subset; see
  /// EndpointSubset.
  bool IsOutside = false;
};

/// The set of known endpoints.
class EndpointList {
public:
  /// How long a vanished endpoint is kept as a last choice. The platform
  /// requires that new work ends within 2 s of the removal of the record.
  static constexpr Duration MissingGrace = std::chrono::milliseconds(1000);
  /// The grace period when many vanish at once. Records that lapsed in an
  /// outage are back within two seconds after the platform recovers.
  static constexpr Duration LapseGrace = std::chrono::milliseconds(1900);
  /// \c LapseGrace applies if more than one record in this many vanishes.
  static constexpr std::size_t MassLapseDivisor = 4;

  /// Replaces the list. Endpoints that \p records omits become missing, or are
  /// dropped at once if they have a successor.
  void replace(const std::vector<EndpointRecord> &records, TimePoint now);
  /// Drops the endpoints whose grace period is over. Returns whether any was
  /// dropped.
  bool onTimer(TimePoint now);

  /// Returns all endpoints, ordered by id.
  std::vector<ListedEndpoint> endpoints() const;
  /// When onTimer() must be called next.
  std::optional<TimePoint> nextTimer() const;

private:
  struct TrackedEndpoint {
    EndpointRecord Record;
    std::optional<TimePoint> DropAt;
  };

  void track(const EndpointRecord &record);

  std::map<EndpointId, TrackedEndpoint> Tracked;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_ENDPOINTLIST_H
