//===- EventSplitter.h - splits a byte stream into events -------*- C++ -*-===//
//
// A response may break off in the middle of an event. Only complete events are
// forwarded to the caller, so that a stream can resume at another endpoint
// after the last one.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_EVENTSPLITTER_H
#define OSPREYSPUR_DIRECT_EVENTSPLITTER_H

#include <string>
#include <string_view>

namespace ospreyspur {

/// Splits a stream of server-sent events into complete events.
class EventSplitter {
public:
  /// Appends \p data and returns the events that are now complete, with their
  /// bytes unchanged.
  std::string add(std::string_view data);
  /// Discards the incomplete event at the end.
  void dropIncompleteEvent() { Incomplete.clear(); }

  /// Whether an incomplete event is buffered.
  bool hasIncompleteEvent() const { return !Incomplete.empty(); }
  /// Bytes of the incomplete event that is buffered.
  std::size_t bufferedBytes() const { return Incomplete.size(); }
  /// Returns the id of the last complete event that has one; empty if none has.
  const std::string &lastId() const { return LastId; }

private:
  void recordIds(std::string_view events);

  std::string Incomplete;
  std::string LastId;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_EVENTSPLITTER_H
