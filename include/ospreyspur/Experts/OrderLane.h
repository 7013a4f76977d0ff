//===- OrderLane.h - paces maps on a coordinator's link ---------*- C++ -*-===//
//
// A map goes to every rank of a group. Handed to the link at once, a large
// group's maps keep it busy for a second, and what must not wait stands behind
// them: the hold of a step, the renewal of the lease, answers. So maps wait
// here and go at a part of the link's rate; all other orders are small and pass
// them.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_ORDERLANE_H
#define OSPREYSPUR_EXPERTS_ORDERLANE_H

#include "ospreyspur/Experts/MapSwitch.h"
#include "ospreyspur/Support/Time.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace ospreyspur {

/// Orders that wait for the link, in the order of their arrival.
class OrderLane {
public:
  /// Timers fire late; what was missed by less than this is made up for.
  static constexpr Duration Burst = std::chrono::milliseconds(20);

  /// \p bytesPerSecond: what the lane may take of the link; 0 for no bound.
  explicit OrderLane(double bytesPerSecond) : BytesPerSecond(bytesPerSecond) {}

  /// Whether \p order is large enough to wait here.
  static bool mustWait(const MapOrder &order) { return order.Map != nullptr; }

  // Commands.

  /// Takes \p order in place of an earlier one to the same rank.
  void push(SendMapOrder order);
  /// Whatever waits for \p rank is void.
  void drop(unsigned rank);
  /// The order to send now, if the link has room for one; what it takes of the
  /// link has to be told by onSent().
  std::optional<SendMapOrder> pop(TimePoint now);
  /// \p bytes have been handed to the link.
  void onSent(std::size_t bytes, TimePoint now);

  // Queries.

  /// When pop() next has something to give.
  std::optional<TimePoint> nextTimer() const;

private:
  double BytesPerSecond;
  std::deque<SendMapOrder> Waiting;
  /// When what was sent will have left.
  TimePoint FreeAt;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_ORDERLANE_H
