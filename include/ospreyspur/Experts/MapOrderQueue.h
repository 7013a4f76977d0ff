//===- MapOrderQueue.h - paces maps on a coordinator's link -----*- C++ -*-===//
//
// A map goes to every rank of a group. Handed to the link all at once, the maps
// of a large group occupy it for a second and delay urgent messages: the hold
// of a step, the renewal of the lease, replies. Maps therefore queue here and
// use only part of the link's rate; all other orders are small and bypass the
// queue.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_MAPORDERQUEUE_H
#define OSPREYSPUR_EXPERTS_MAPORDERQUEUE_H

#include "ospreyspur/Experts/MapSwitch.h"
#include "ospreyspur/Support/Time.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace ospreyspur {

/// Orders that wait for the link, in order of arrival.
class MapOrderQueue {
public:
  /// Timers fire late; a delay of up to this time is caught up.
  static constexpr Duration Burst = std::chrono::milliseconds(20);

  /// \p bytesPerSecond is the part of the link's rate that the queue may use; 0
  /// for no limit.
  explicit MapOrderQueue(double bytesPerSecond)
      : BytesPerSecond(bytesPerSecond) {}

  /// Whether \p order is large enough to be queued.
  static bool mustWait(const MapOrder &order) { return order.Map != nullptr; }

  // Commands.

  /// Queues \p order in place of an earlier one to the same rank.
  void push(SendMapOrder order);
  /// Discards the order that waits for \p rank.
  void drop(unsigned rank);
  /// The order to send now, if the link has capacity. The caller reports its
  /// size by onSent().
  std::optional<SendMapOrder> pop(TimePoint now);
  /// \p bytes have been handed to the link.
  void onSent(std::size_t bytes, TimePoint now);

  // Queries.

  /// When pop() can next return an order.
  std::optional<TimePoint> nextTimer() const;

private:
  double BytesPerSecond;
  std::deque<SendMapOrder> Waiting;
  /// When the bytes sent so far will have left the link at BytesPerSecond.
  TimePoint FreeAt;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_MAPORDERQUEUE_H
