//===- RetryWindow.h - this entry's share of repeated arrivals --*- C++ -*-===//
//
// All entries together may send an endpoint's service only so many arrivals
// beyond the first of each request in any window of time. Each entry keeps to
// its share: a part of the fixed allowance, and a ratio of its own requests.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_RETRYWINDOW_H
#define OSPREYSPUR_DIRECT_RETRYWINDOW_H

#include "ospreyspur/Support/Ids.h"
#include "ospreyspur/Support/Time.h"

#include <deque>
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
  /// Notes a new request for \p service.
  void onRequest(const ServiceId &service, TimePoint now);
  /// Takes one repeat from the share of one of \p entries entries; false if
  /// there is none.
  bool spend(const ServiceId &service, std::size_t entries, TimePoint now);
  /// The latest repeat has not been sent after all.
  void giveBack(const ServiceId &service);
  /// Whether spend() would take one now.
  bool canSpend(const ServiceId &service, std::size_t entries, TimePoint now);

private:
  /// Kept below the bound, as the entries' windows are not the observer's.
  static constexpr double SafePart = 0.7;

  struct Counts {
    std::deque<TimePoint> Requests;
    std::deque<TimePoint> Repeats;
  };

  void forget(Counts &counts, TimePoint now) const;

  RetryBounds Bounds;
  std::unordered_map<ServiceId, Counts> Services;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_RETRYWINDOW_H
