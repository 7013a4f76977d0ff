//===- Time.h - the time type of every decision -----------------*- C++ -*-===//
//
// Decisions take the present time as an argument. Only the runtime shells read
// a clock, through monotonicNow().
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_SUPPORT_TIME_H
#define OSPREYSPUR_SUPPORT_TIME_H

#include <chrono>
#include <ctime>

namespace ospreyspur {

/// All spans of time, in microseconds.
using Duration = std::chrono::microseconds;

/// Tag of the host-local monotonic clock; deliberately without now().
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
  // The name is the standard library's.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

/// A moment on this host's monotonic clock.
using TimePoint = MonotonicClock::time_point;

/// The present moment. For runtime shells only. The clock also counts the time
/// that its host was suspended, which the standard library's steady clock
/// leaves out: leases, reports and deadlines run on meanwhile, and whoever
/// wakes must find them as old as they are.
inline TimePoint monotonicNow() {
  std::timespec it{};
  ::clock_gettime(CLOCK_BOOTTIME, &it);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(it.tv_sec) + std::chrono::nanoseconds(it.tv_nsec)));
}

/// Whole milliseconds, for logs.
inline std::int64_t toMillis(Duration it) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
}

} // namespace ospreyspur

#endif // OSPREYSPUR_SUPPORT_TIME_H
