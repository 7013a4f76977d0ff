//===- ResultCode.h - numbered results and what they mean -------*- C++ -*-===//
//
// Every refusal and failure that leaves a process carries one of these numbers.
// The list stands in ResultCodes.def.
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

/// One row of the table of results.
struct ResultInfo {
  ResultCode Code;
  std::string_view Name;
  unsigned HttpStatus;
  Outcome Kind;
  std::string_view Message;
};

/// All rows, in the order of their numbers.
std::span<const ResultInfo> allResults();

/// The row of \p code; codes from a newer peer map to EndpointFailed.
const ResultInfo &describe(ResultCode code);

/// The word for \p outcome on the wire and in logs, such as "not-run".
std::string_view toString(Outcome outcome);

} // namespace ospreyspur

#endif // OSPREYSPUR_SUPPORT_RESULTCODE_H
