//===- RateLimitNote.h - a change of a named rate ---------------*- C++ -*-===//
//
// What a process tells in its log when a rate that an endpoint named changes.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PUSHBACK_RATELIMITNOTE_H
#define OSPREYSPUR_PUSHBACK_RATELIMITNOTE_H

#include "ospreyspur/Quarantine/CrashReport.h"
#include "ospreyspur/Support/Time.h"

#include <cstddef>
#include <optional>

namespace ospreyspur {

/// One change; rates in requests a second, nothing for none.
struct RateLimitNote {
  LifeDigest Life;
  std::optional<double> Before;
  std::optional<double> After;
  /// How long ago the endpoint said so.
  Duration Age{};
  /// Whether another entry told it.
  bool IsTold = false;
  /// This entry's place among the entries that share the rate, from 0, and how
  /// many of them send.
  std::size_t Rank = 0;
  std::size_t Holders = 1;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PUSHBACK_RATELIMITNOTE_H
