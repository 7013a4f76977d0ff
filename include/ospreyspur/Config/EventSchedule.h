//===- EventSchedule.h - what events do at a moment -------------*- C++ -*-===//
//
// Events have a fixed start and raise the priority of the workspaces that their
// selectors cover, from their start to their end.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONFIG_EVENTSCHEDULE_H
#define OSPREYSPUR_CONFIG_EVENTSCHEDULE_H

#include "ospreyspur/Config/ConfigDocument.h"

#include <cstdint>
#include <optional>

namespace ospreyspur {

/// The priority of a workspace with \p labels at \p nowUnix: the highest of the
/// events in force that cover it, 0 without one.
std::uint32_t findPriority(const ConfigDocument &document, const Labels &labels,
                           std::int64_t nowUnix);

/// When an event next starts or ends after \p nowUnix, in seconds since 1970.
std::optional<std::int64_t> findNextEventChange(const ConfigDocument &document,
                                                std::int64_t nowUnix);

} // namespace ospreyspur

#endif // OSPREYSPUR_CONFIG_EVENTSCHEDULE_H
