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

/// The other entries that one entry knows of.
class FleetSize {
public:
  // Commands.

  /// The entry \p name has sent a report. Does nothing if too many entries that
  /// are not listed have reported.
  void onReport(const std::string &name, TimePoint now);
  /// The report that was passed to onReport() says that the entry \p name has
  /// no callers.
  void onIdle(const std::string &name, TimePoint now) { IdleAt[name] = now; }
  /// The key-value store lists the entries \p names, apart from this one.
  void setListed(std::set<std::string> names, TimePoint now);

  // Queries.

  /// Returns the number of entries that reported or were listed within the last
  /// \p window, this one included.
  std::size_t count(Duration window, TimePoint now) const;
  /// Returns the names of the entries that count() counts, without this one.
  std::vector<std::string> others(Duration window, TimePoint now) const;
  /// Like others(), but without the entries whose latest report, at most \c
  /// MaxReportDelay old, says that they have no callers.
  std::vector<std::string> othersWithCallers(Duration window,
                                             TimePoint now) const;
  /// Whether the list was ever read. Before that, count() may be too small.
  bool hasList() const { return HasList; }

private:
  /// Entries that have neither reported nor been listed for this time are
  /// dropped. The time is longer than any window.
  static constexpr Duration RetentionTime = std::chrono::hours(1);
  /// Names that are kept beside the listed ones; no fleet has as many entries
  /// that have just started or ended.
  static constexpr std::size_t MaxUnlisted = 2048;
  /// Upper bound on the time between sending and receiving a report.
  static constexpr Duration MaxReportDelay = std::chrono::seconds(1);

  bool isIdle(const std::string &name, TimePoint now) const;
  static bool isRecent(TimePoint seenAt, Duration window, TimePoint now) {
    return now - seenAt < window + MaxReportDelay;
  }

  std::set<std::string> Listed;
  /// When each entry last reported or was last listed.
  std::map<std::string, TimePoint> SeenAt;
  /// When each entry without callers last reported that it has none.
  std::map<std::string, TimePoint> IdleAt;
  TimePoint PrunedAt;
  bool HasList = false;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_FLEETSIZE_H
