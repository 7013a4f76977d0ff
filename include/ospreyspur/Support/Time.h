//===- Time.h - the time type of every decision -----------------*- C++ -*-===//
//
// Decisions take the present time as an argument. Only the runtime shells read
// a clock, through monotonicNow().
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_SUPPORT_TIME_H
#define OSPREYSPUR_SUPPORT_TIME_H

#include <chrono>

namespace ospreyspur {

/// All spans of time, in microseconds.
using Duration = std::chrono::microseconds;

/// Tag of the process-local monotonic clock; deliberately without now().
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
  // The name is the standard library's.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

/// A moment on this process's monotonic clock.
using TimePoint = MonotonicClock::time_point;

/// The present moment. For runtime shells only.
inline TimePoint monotonicNow() {
  auto n = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(n));
}

} // namespace ospreyspur

#endif // OSPREYSPUR_SUPPORT_TIME_H
