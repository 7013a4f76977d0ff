//===- HostTimer.h - timers on the clock of decisions -----------*- C++ -*-===//
//
// A timer of the event loop waits on a clock that stands still while its host
// is suspended. This one looks at monotonicNow() often enough that a moment
// that passed meanwhile is noticed soon after the host wakes.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_HOSTTIMER_H
#define OSPREYSPUR_PROCESS_HOSTTIMER_H

#include "ospreyspur/Support/Time.h"

#include <boost/asio/basic_waitable_timer.hpp>

#include <algorithm>

namespace ospreyspur {

/// monotonicNow() as the event loop wants it.
struct HostClock : MonotonicClock {
  // The name is the standard library's.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static time_point now() { return monotonicNow(); }
};

/// How long the event loop waits before it looks at the clock again.
struct HostWaitTraits {
  /// Between two looks. A process that is awake looks as often for its load
  /// reports or its rank anyway.
  static constexpr Duration LongestLook = std::chrono::milliseconds(200);

  // The names are the library's.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static Duration to_wait_duration(const Duration &span) {
    return std::min(span, LongestLook);
  }
  // NOLINTNEXTLINE(readability-identifier-naming)
  static Duration to_wait_duration(const TimePoint &due) {
    return to_wait_duration(due - monotonicNow());
  }
};

using HostTimer = boost::asio::basic_waitable_timer<HostClock, HostWaitTraits>;

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_HOSTTIMER_H
