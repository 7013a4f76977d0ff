//===- ResultCode.cpp - result table --------------------------------------===//
//
// Contains the rows of ResultCodes.def and finds a row by its number.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Support/ResultCode.h"

#include <algorithm>
#include <cassert>

using namespace ospreyspur;

static constexpr ResultInfo Table[] = {
#define RESULT_CODE(Number, Name, Status, Kind, Message)                       \
  {ResultCode::Name, #Name, Status, Outcome::Kind, Message},
#include "ospreyspur/Support/ResultCodes.def"
};

std::span<const ResultInfo> ospreyspur::allResults() { return Table; }

const ResultInfo &ospreyspur::describe(ResultCode code) {
  auto hasCode = [code](const ResultInfo &row) { return row.Code == code; };
  const auto *it = std::find_if(std::begin(Table), std::end(Table), hasCode);
  if (it != std::end(Table))
    return *it;
  return describe(ResultCode::EndpointFailed);
}

std::string_view ospreyspur::toString(Outcome outcome) {
  switch (outcome) {
  case Outcome::Complete:
    return "complete";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Failed:
    return "failed";
  case Outcome::Unknown:
    return "unknown";
  case Outcome::Rejected:
    return "rejected";
  }
  assert(false && "outcome out of range");
  return "unknown";
}
