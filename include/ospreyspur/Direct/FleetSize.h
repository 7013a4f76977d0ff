//===- FleetSize.h - how many entries share an allowance --------*- C++ -*-===//
//
// Counts the entries that may have spent a shared allowance within its window:
// those that reported or were listed in that time, including dead and
// partitioned ones, so that no entry's share grows before the spending of the
// others has left the window.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_FLEETSIZE_H
#define OSPREYSPUR_DIRECT_FLEETSIZE_H

#include "ospreyspur/Support/Time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ospreyspur {

/// The other entries as one entry knows them.
class FleetSize {
public:
  // Commands.

  /// The entry \p name has reported.
  void onHeard(const std::string &name, TimePoint now);
  /// Its report, which onHeard() was told of, says that it has no callers.
  void onIdle(const std::string &name, TimePoint now) { IdleAt[name] = now; }
  /// The store lists the entries \p names, apart from this one.
  void setListed(std::set<std::string> names, TimePoint now);

  // Queries.

  /// Entries within the last \p window, this one included.
  std::size_t count(Duration window, TimePoint now) const;
  /// The names of these entries, without this one's.
  std::vector<std::string> others(Duration window, TimePoint now) const;
  /// The same without those that have just reported that they have no callers.
  std::vector<std::string> othersWithCallers(Duration window,
                                             TimePoint now) const;
  /// Whether the list was ever read. Before that the count may be too small.
  bool isListed() const { return HasList; }

private:
  /// Entries that are neither heard of nor listed are dropped after this time,
  /// longer than any window.
  static constexpr Duration KeepFor = std::chrono::hours(1);
  /// Between a report's sending and its arrival.
  static constexpr Duration ReportDelay = std::chrono::seconds(1);

  bool isIdle(const std::string &name, TimePoint now) const;
  static bool isRecent(TimePoint seenAt, Duration window, TimePoint now) {
    return now - seenAt < window + ReportDelay;
  }

  std::set<std::string> Listed;
  /// When each entry was last heard of or listed.
  std::map<std::string, TimePoint> SeenAt;
  /// When each entry without callers last reported so.
  std::map<std::string, TimePoint> IdleAt;
  TimePoint PrunedAt;
  bool HasList = false;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_FLEETSIZE_H
