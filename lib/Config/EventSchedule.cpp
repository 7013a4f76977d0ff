//===- EventSchedule.cpp - priorities raised by events --------------------===//
//
// The priorities of overlapping events are not added; the highest applies.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Config/EventSchedule.h"

#include "ospreyspur/Config/Selector.h"

#include <algorithm>

using namespace ospreyspur;

static std::int64_t endOf(const EventConfig &event) {
  return event.StartUnix + event.DurationSeconds;
}

std::uint32_t ospreyspur::findPriority(const ConfigDocument &document,
                                       const Labels &labels,
                                       std::int64_t nowUnix) {
  std::uint32_t priority = 0;
  for (const auto &[name, event] : document.Events) {
    if (nowUnix < event.StartUnix || nowUnix >= endOf(event))
      continue;
    Result<Selector> selector = Selector::parse(event.Selector);
    if (selector && selector.value().matches(labels))
      priority = std::max(priority, event.Priority);
  }
  return priority;
}

std::optional<std::int64_t>
ospreyspur::findNextEventChange(const ConfigDocument &document,
                                std::int64_t nowUnix) {
  std::optional<std::int64_t> next;
  for (const auto &[name, event] : document.Events)
    for (std::int64_t at : {event.StartUnix, endOf(event)})
      if (at > nowUnix && (!next || at < *next))
        next = at;
  return next;
}
