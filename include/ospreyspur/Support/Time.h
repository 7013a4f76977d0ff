//===- Time.h - durations and points in time --------------------*- C++ -*-===//
//
// State machines take the current time as an argument. Only the code that runs
// them reads a clock, through monotonicNow().
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_SUPPORT_TIME_H
#define OSPREYSPUR_SUPPORT_TIME_H

#include <chrono>
#include <ctime>

namespace ospreyspur {

/// A time span in microseconds.
using Duration = std::chrono::microseconds;

/// Tag of the host's monotonic clock. There is deliberately no now(), so that
/// state machines cannot read the clock.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
  // The standard library prescribes this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

/// A point in time on this host's monotonic clock.
using TimePoint = MonotonicClock::time_point;

/// The current time; state machines must not call this. CLOCK_BOOTTIME also
/// counts the time during which the host was suspended, which the standard
/// library's steady clock leaves out. Leases, reports and deadlines continue to
/// age while the host is suspended and must have their true age when it
/// resumes.
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
