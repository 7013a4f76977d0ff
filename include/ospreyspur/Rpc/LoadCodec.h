//===- LoadCodec.h - load reports as datagrams ------------------*- C++ -*-===//
//
// Each report is sent as a single datagram.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_RPC_LOADCODEC_H
#define OSPREYSPUR_RPC_LOADCODEC_H

#include "ospreyspur/Direct/EndpointTable.h"
#include "ospreyspur/Pushback/RateLimitRecord.h"
#include "ospreyspur/Quarantine/CrashReport.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ospreyspur {

/// One entry's report to the other entries about the endpoints.
struct LoadReport {
  std::string Node;
  std::vector<EndpointLoad> Loads;
  /// Requests that were running when endpoints crashed.
  CrashReport Crashes;
  /// Incarnations of endpoints that have exited; another incarnation is now at
  /// the address of each.
  std::vector<IncarnationDigest> Replaced{};
  /// Rate limits that endpoints advertised.
  std::vector<RateLimitRecord> Rates{};
  /// Incarnations of endpoints that reported that they are leaving.
  std::vector<IncarnationDigest> Leaving{};
  /// Whether the entry has just started and asks the other entries for their
  /// records.
  bool IsNew = false;
  /// Whether the entry has no callers.
  bool IsIdle = false;
  /// Whether the receiver does not share the sender's subset of endpoints, so
  /// the loads are left out.
  bool IsOutside = false;

  /// Whether entries with other subsets need the report, too.
  bool concernsAll() const {
    return !Crashes.isEmpty() || !Replaced.empty() || !Rates.empty() ||
           !Leaving.empty();
  }
};

/// Returns \p report in its wire form.
std::string encodeLoad(const LoadReport &report);

/// Decodes the report in \p bytes; returns nothing if they cannot be parsed.
std::optional<LoadReport> decodeLoad(std::string_view bytes);

} // namespace ospreyspur

#endif // OSPREYSPUR_RPC_LOADCODEC_H
