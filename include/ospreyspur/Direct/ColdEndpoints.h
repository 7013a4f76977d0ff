//===- ColdEndpoints.h - endpoints that have just started -------*- C++ -*-===//
//
// A cold endpoint bears only a few requests per second from all entries
// together and fails under more. The entries divide that rate like the rate
// limits that endpoints advertise. Whether an endpoint is cold is known from
// its record; where the record may be out of date, the endpoint counts as cold.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_COLDENDPOINTS_H
#define OSPREYSPUR_DIRECT_COLDENDPOINTS_H

#include "ospreyspur/Direct/EndpointList.h"
#include "ospreyspur/Pushback/RateLimits.h"
#include "ospreyspur/Quarantine/CrashReport.h"
#include "ospreyspur/Support/Time.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ospreyspur {

struct FleetConfig;
struct ServiceRule;

/// The cold and the new endpoints that one entry knows of.
class ColdEndpoints {
public:
  /// Part of a cold endpoint's rate that the entries divide among themselves.
  /// The rest covers the first token of each sharing entry, and entries whose
  /// views of the fleet differ for a moment.
  static constexpr double SharedPart = 0.5;
  /// How long a new endpoint is a last choice, as it is slow at first.
  static constexpr Duration NewTime = std::chrono::seconds(3);

  // Commands.

  /// Takes the endpoint list. Endpoints in the first list are not new.
  void setEndpoints(const std::vector<ListedEndpoint> &endpoints,
                    const FleetConfig &config, TimePoint now);
  /// Sets the entries that share the rate of a cold endpoint.
  void setMembers(FleetMembers members, TimePoint now) {
    Rates.setMembers(std::move(members), now);
  }
  /// Ends the limits of endpoints that are no longer cold.
  void onTimer(TimePoint now);
  /// Takes a token for one request. Returns false if \p incarnation is cold and
  /// has none left for this entry now.
  bool take(IncarnationDigest incarnation, TimePoint now) {
    return Rates.take(incarnation, now);
  }
  /// Returns the endpoints that became cold since the last call, and how long
  /// each stays cold, for the log.
  std::vector<std::pair<IncarnationDigest, Duration>> takeLogRecords() {
    return std::exchange(LogRecords, {});
  }

  // Queries.

  bool isEmpty() const { return ColdCount == 0; }
  /// Whether \p incarnation may be cold.
  bool isCold(IncarnationDigest incarnation) const {
    return Rates.isLimited(incarnation);
  }
  /// Whether \p incarnation is cold or has only just started.
  bool isNew(IncarnationDigest incarnation, TimePoint now) const;
  bool hasCapacity(IncarnationDigest incarnation, TimePoint now) const {
    return Rates.hasCapacity(incarnation, now);
  }
  /// The earliest time at which this entry may send to a cold endpoint to which
  /// it may not send now.
  std::optional<TimePoint> nextCapacityAt(TimePoint now) const {
    return Rates.nextCapacityAt(now);
  }
  /// When onTimer() is due.
  std::optional<TimePoint> nextTimer() const;

private:
  struct Tracked {
    Revision ListedAt = Revision(0);
    bool WasDrained = false;
    TimePoint NewUntil;
    std::optional<TimePoint> ColdUntil;
  };

  static std::optional<Duration> coldTime(const Tracked *known,
                                          const ListedEndpoint &endpoint,
                                          const ServiceRule &service);
  void track(const ListedEndpoint &endpoint, const FleetConfig &config,
             TimePoint now);

  bool HasList = false;
  std::unordered_map<IncarnationDigest, Tracked> Endpoints;
  std::size_t ColdCount = 0;
  RateLimits Rates;
  std::vector<std::pair<IncarnationDigest, Duration>> LogRecords;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_COLDENDPOINTS_H
