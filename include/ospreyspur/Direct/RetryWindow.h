//===- RetryWindow.h - this entry's share of repeated arrivals --*- C++ -*-===//
//
// All entries together may send an endpoint's service only so many arrivals
// beyond the first of each request in any window of time. Each entry keeps to
// its share: a part of the fixed allowance, and a ratio of its own requests.
//
// A restarted process does not know what its predecessor spent in the same
// window. For its first window it is limited to a part that the predecessor
// cannot have used: a fraction of the ratio for its own requests, and of the
// allowance in proportion to its age. The sum over any number of restarts in
// one window stays within the entry's share.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_RETRYWINDOW_H
#define OSPREYSPUR_DIRECT_RETRYWINDOW_H

#include "ospreyspur/Support/Ids.h"
#include "ospreyspur/Support/Time.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace ospreyspur {

/// The platform's bound on repeated arrivals.
struct RetryBounds {
  /// Repeats for each request.
  double Ratio = 0.2;
  /// Repeats in each window beside these, all entries together.
  double Allowance = 90;
  Duration Window = std::chrono::seconds(10);
};

/// Counts requests and repeats by service.
class RetryWindow {
public:
  explicit RetryWindow(RetryBounds bounds) : Bounds(bounds) {}

  // Commands.

  void setBounds(const RetryBounds &bounds) { Bounds = bounds; }
  /// The process started at \p now, perhaps as the successor of another one.
  void setBegin(TimePoint now) { Begin = now; }
  /// Notes a new request for \p service.
  void onRequest(const ServiceId &service, TimePoint now);
  /// Takes one repeat from the share of one of \p entries entries, or from the
  /// ratio alone if that is 0: their number is not known. False if there is
  /// none.
  bool spend(const ServiceId &service, std::size_t entries, TimePoint now);
  /// The latest repeat has not been sent after all.
  void giveBack(const ServiceId &service);
  /// Whether spend() would take one now.
  bool canSpend(const ServiceId &service, std::size_t entries, TimePoint now);

  // Queries.

  const RetryBounds &bounds() const { return Bounds; }

private:
  /// Kept below the bound, as the entries' windows are not the observer's.
  static constexpr double SafePart = 0.7;
  /// The same for a process's first window; the sum of both is below 1.
  static constexpr double FirstWindowPart = 0.25;

  struct Counts {
    std::deque<TimePoint> Requests;
    std::deque<TimePoint> Repeats;
  };

  void forget(Counts &counts, TimePoint now) const;
  double allowed(const Counts &counts, std::size_t entries,
                 TimePoint now) const;

  RetryBounds Bounds;
  std::optional<TimePoint> Begin;
  std::unordered_map<ServiceId, Counts> Services;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_RETRYWINDOW_H
