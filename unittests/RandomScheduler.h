//===- RandomScheduler.h - seeded events on virtual time --------*- C++ -*-===//
//
// Drives state machines through random interleavings: each event runs after a
// delay drawn from a seeded generator, so that messages are reordered. The same
// seed gives the same run.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_UNITTESTS_RANDOMSCHEDULER_H
#define OSPREYSPUR_UNITTESTS_RANDOMSCHEDULER_H

#include "ospreyspur/Support/Time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

namespace ospreyspur::test {

/// A queue of events on virtual time.
class RandomScheduler {
public:
  using Event = std::function<void()>;

  /// \p latePercent of the events are delayed by up to 0.9 s, the others by up
  /// to 3 ms.
  RandomScheduler(std::uint64_t seed, unsigned latePercent)
      : Random(seed), LatePercent(latePercent) {}

  TimePoint now() const { return Now; }

  void setLatePercent(unsigned percent) { LatePercent = percent; }

  /// True with a probability of \p percent / 100.
  bool chance(unsigned percent) { return below(100) < percent; }

  /// A random number from 0 to \p n - 1.
  std::uint64_t below(std::uint64_t n) {
    return std::uniform_int_distribution<std::uint64_t>(0, n - 1)(Random);
  }

  /// Runs \p event at \p due, or immediately if \p due has passed.
  void at(TimePoint due, Event event) {
    Events.emplace(std::pair(std::max(due, Now), Random()), std::move(event));
  }

  /// Runs \p event after a random delay, which is long for latePercent of the
  /// events.
  void runSoon(Event event) {
    auto limit = chance(LatePercent) ? 900000U : 3000U;
    at(Now + Duration(below(limit)), std::move(event));
  }

  /// Like runSoon(), but the event may be lost or may run twice.
  void runUnreliably(unsigned faultPercent, const Event &event) {
    if (!chance(faultPercent))
      runSoon(event);
    if (chance(faultPercent))
      runSoon(event);
  }

  /// Runs all events up to and including \p end, then advances the time to
  /// \p end.
  void runUntil(TimePoint end) {
    while (!Events.empty() && Events.begin()->first.first <= end) {
      auto node = Events.extract(Events.begin());
      Now = node.key().first;
      node.mapped()();
    }
    Now = std::max(Now, end);
  }

private:
  std::mt19937_64 Random;
  unsigned LatePercent;
  TimePoint Now{std::chrono::hours(1)};
  std::map<std::pair<TimePoint, std::uint64_t>, Event> Events;
};

} // namespace ospreyspur::test

#endif // OSPREYSPUR_UNITTESTS_RANDOMSCHEDULER_H
