//===- LoadCodec.h - load reports as datagrams ------------------*- C++ -*-===//
//
// One report fits one datagram.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_RPC_LOADCODEC_H
#define OSPREYSPUR_RPC_LOADCODEC_H

#include "ospreyspur/Direct/EndpointBook.h"
#include "ospreyspur/Pushback/RateLimitRow.h"
#include "ospreyspur/Quarantine/CrashReport.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ospreyspur {

/// What one entry has at the endpoints.
struct LoadReport {
  std::string Node;
  std::vector<EndpointLoad> Loads;
  /// Requests under which endpoints ended.
  CrashReport Crashes;
  /// Lives of endpoints that have ended: their addresses have another one.
  std::vector<LifeDigest> Replaced{};
  /// Rates that endpoints named.
  std::vector<RateLimitRow> Rates{};
  /// Lives of endpoints that said that they leave.
  std::vector<LifeDigest> Leaving{};
  /// Whether the entry has just begun and asks for the others' rows.
  bool IsNew = false;
  /// Whether the entry has no callers.
  bool IsIdle = false;
};

std::string encodeLoad(const LoadReport &report);

/// The report in \p bytes; nothing if it cannot be read.
std::optional<LoadReport> decodeLoad(std::string_view bytes);

} // namespace ospreyspur

#endif // OSPREYSPUR_RPC_LOADCODEC_H
