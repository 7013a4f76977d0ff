//===- ResultCode.h - numbered results --------------------------*- C++ -*-===//
//
// Every rejection and failure that a process reports carries one of these
// numbers. ResultCodes.def has the list.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_SUPPORT_RESULTCODE_H
#define OSPREYSPUR_SUPPORT_RESULTCODE_H

#include <cstdint>
#include <span>
#include <string_view>

namespace ospreyspur {

/// What a caller may conclude about a request.
enum class Outcome : std::uint8_t {
  Complete,
  NotRun,
  Failed,
  Unknown,
  Rejected,
};

/// The numbered results; see docs/RESULT-CODES.md.
enum class ResultCode : std::uint16_t {
#define RESULT_CODE(Number, Name, Status, Kind, Message) Name = (Number),
#include "ospreyspur/Support/ResultCodes.def"
};

/// One row of the result table.
struct ResultInfo {
  ResultCode Code;
  std::string_view Name;
  unsigned HttpStatus;
  Outcome Kind;
  std::string_view Message;
};

/// All rows in the order of their numbers.
std::span<const ResultInfo> allResults();

/// The row of \p code. An unknown code, such as one from a peer that runs a
/// newer version, maps to EndpointFailed.
const ResultInfo &describe(ResultCode code);

/// The name of \p outcome on the wire and in logs, such as "not-run".
std::string_view toString(Outcome outcome);

} // namespace ospreyspur

#endif // OSPREYSPUR_SUPPORT_RESULTCODE_H
