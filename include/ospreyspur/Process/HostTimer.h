//===- HostTimer.h - timers that count suspended time -----------*- C++ -*-===//
//
// The event loop's timers use a clock that stops while the host is suspended.
// A HostTimer compares its expiry with monotonicNow() often enough that an
// expiry during the suspension is noticed soon after the host resumes.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_HOSTTIMER_H
#define OSPREYSPUR_PROCESS_HOSTTIMER_H

#include "ospreyspur/Support/Time.h"

#include <boost/asio/basic_waitable_timer.hpp>

#include <algorithm>

namespace ospreyspur {

/// monotonicNow() in the form of a standard clock.
struct HostClock : MonotonicClock {
  // The name is the standard library's.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static time_point now() { return monotonicNow(); }
};

/// How long the event loop waits before it reads the clock again.
struct HostWaitTraits {
  /// Longest time between two reads of the clock. This adds few wakeups: a
  /// process wakes as often to send load reports or to read its rank.
  static constexpr Duration MaxWait = std::chrono::milliseconds(200);

  // The names are the library's.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static Duration to_wait_duration(const Duration &span) {
    return std::min(span, MaxWait);
  }
  // NOLINTNEXTLINE(readability-identifier-naming)
  static Duration to_wait_duration(const TimePoint &due) {
    return to_wait_duration(due - monotonicNow());
  }
};

using HostTimer = boost::asio::basic_waitable_timer<HostClock, HostWaitTraits>;

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_HOSTTIMER_H
