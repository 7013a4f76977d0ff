//===- RetryWindow.h - retry budget of one entry ----------------*- C++ -*-===//
//
// The platform limits the retries that all entries together may send to a
// service in any time window. Each entry uses at most its share of this retry
// budget: a part of the fixed allowance, and a ratio of its own requests.
//
// A restarted process does not know what its predecessor spent in the same
// window. In its first window a process therefore uses only a part that the
// predecessor cannot have used: FirstWindowPart of the ratio for its own
// requests, and of the fixed allowance a part in proportion to its age. The sum
// over any number of restarts in one window stays within the entry's share.
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

/// The platform's limit on retries.
struct RetryLimits {
  /// Number of retries per request.
  double Ratio = 0.2;
  /// Number of retries per window in addition to the ratio, for all entries
  /// together.
  double Allowance = 90;
  Duration Window = std::chrono::seconds(10);
};

/// Counts the requests and retries of each service.
class RetryWindow {
public:
  explicit RetryWindow(RetryLimits limits) : Limits(limits) {}

  // Commands.

  void setLimits(const RetryLimits &limits) { Limits = limits; }
  /// The process started at \p now, possibly as the successor of another one.
  void setBegin(TimePoint now) { Begin = now; }
  /// Records a new request for \p service.
  void onRequest(const ServiceId &service, TimePoint now);
  /// Takes one retry from this entry's share of the budget for \p entries
  /// entries. If \p entries is 0, their number is unknown and only the ratio is
  /// used. Returns false if the budget is spent.
  bool spend(const ServiceId &service, std::size_t entries, TimePoint now);
  /// Returns the latest retry to the budget, as it was not sent after all.
  void refund(const ServiceId &service);
  /// Whether spend() would succeed now.
  bool canSpend(const ServiceId &service, std::size_t entries, TimePoint now);

  // Queries.

  const RetryLimits &limits() const { return Limits; }

private:
  /// Part of the limit that is used. It is below 1, as the windows of the
  /// entries and of the platform are not aligned.
  static constexpr double SafePart = 0.7;
  /// The part used in a process's first window. The sum of both parts is below
  /// 1.
  static constexpr double FirstWindowPart = 0.25;

  struct Counts {
    std::deque<TimePoint> Requests;
    std::deque<TimePoint> Retries;
  };

  void dropExpired(Counts &counts, TimePoint now) const;
  double allowed(const Counts &counts, std::size_t entries,
                 TimePoint now) const;

  RetryLimits Limits;
  std::optional<TimePoint> Begin;
  std::unordered_map<ServiceId, Counts> Services;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_RETRYWINDOW_H
