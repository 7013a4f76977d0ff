//===- SlowRankLogRecord.h - log record of a slow rank ----------*- C++ -*-===//
//
// A rank becomes slow, or ceases to be.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_SCHEDULING_SLOWRANKLOGRECORD_H
#define OSPREYSPUR_SCHEDULING_SLOWRANKLOGRECORD_H

#include "ospreyspur/Support/Ids.h"
#include "ospreyspur/Support/Time.h"

#include <cstddef>

namespace ospreyspur {

/// A rank becomes slow, or ceases to be.
struct SlowRankLogRecord {
  EndpointId Endpoint;
  GroupId Group;
  bool IsSlow = false;
  /// Whether the rank is to be emptied; see SlowRanks::isToBeEmptied().
  bool IsEmptied = false;
  double Slowdown = 1;
  /// Number of requests of all entries on the rank.
  unsigned Running = 0;
  /// The group's inter-event gap as measured by this entry.
  Duration Gap{};
  /// How long the rank has been slow; zero at the beginning.
  Duration Lasted{};
};

} // namespace ospreyspur

#endif // OSPREYSPUR_SCHEDULING_SLOWRANKLOGRECORD_H
