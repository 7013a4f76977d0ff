//===- EventCutter.h - whole events out of a stream of bytes ----*- C++ -*-===//
//
// An endpoint may break off in the middle of an event. Only whole events go to
// the caller, so that a stream can go on at another endpoint after the last.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_EVENTCUTTER_H
#define OSPREYSPUR_DIRECT_EVENTCUTTER_H

#include <string>
#include <string_view>

namespace ospreyspur {

/// Splits a stream of server-sent events.
class EventCutter {
public:
  /// Takes \p data and gives the whole events that are new, as they came.
  std::string add(std::string_view data);
  /// Forgets the part of an event that has not come whole.
  void dropRest() { Rest.clear(); }

  /// Whether a part of an event has come.
  bool hasRest() const { return !Rest.empty(); }
  /// The id of the last whole event; empty if none had one.
  const std::string &lastId() const { return LastId; }

private:
  void noteIds(std::string_view events);

  std::string Rest;
  std::string LastId;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_EVENTCUTTER_H
