//===- EventSchedule.h - priorities raised by events ------------*- C++ -*-===//
//
// An event raises the priority of the workspaces that its selector matches,
// from its fixed start time to its end.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONFIG_EVENTSCHEDULE_H
#define OSPREYSPUR_CONFIG_EVENTSCHEDULE_H

#include "ospreyspur/Config/ConfigDocument.h"

#include <cstdint>
#include <optional>

namespace ospreyspur {

/// The priority of a workspace with \p labels at \p nowUnix: the highest among
/// the events in force whose selectors match, or 0 if there is none.
std::uint32_t findPriority(const ConfigDocument &document, const Labels &labels,
                           std::int64_t nowUnix);

/// The first start or end of an event after \p nowUnix, in seconds since 1970.
std::optional<std::int64_t> findNextEventChange(const ConfigDocument &document,
                                                std::int64_t nowUnix);

} // namespace ospreyspur

#endif // OSPREYSPUR_CONFIG_EVENTSCHEDULE_H
