//===- MapOrderQueue.cpp - paces maps on a coordinator's link -------------===//
//
// See MapOrderQueue.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/MapOrderQueue.h"

#include <algorithm>
#include <utility>

using namespace ospreyspur;

void MapOrderQueue::push(SendMapOrder order) {
  drop(order.Rank);
  Waiting.push_back(std::move(order));
}

void MapOrderQueue::drop(unsigned rank) {
  std::erase_if(Waiting,
                [rank](const SendMapOrder &it) { return it.Rank == rank; });
}

std::optional<SendMapOrder> MapOrderQueue::pop(TimePoint now) {
  if (Waiting.empty() || now < FreeAt)
    return std::nullopt;
  SendMapOrder out = Waiting.front();
  Waiting.pop_front();
  return out;
}

void MapOrderQueue::onSent(std::size_t bytes, TimePoint now) {
  if (BytesPerSecond <= 0)
    return;
  std::chrono::duration<double> taken(double(bytes) / BytesPerSecond);
  FreeAt = std::max(FreeAt, now - Burst) +
           std::chrono::duration_cast<Duration>(taken);
}

std::optional<TimePoint> MapOrderQueue::nextTimer() const {
  if (Waiting.empty())
    return std::nullopt;
  return FreeAt;
}
