//===- StoredResponse.h - a response stored by the agent --------*- C++ -*-===//
//
// Holds an endpoint's response during the run and afterwards, so that an entry
// that attaches late receives the complete response.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_LEDGER_STOREDRESPONSE_H
#define OSPREYSPUR_LEDGER_STOREDRESPONSE_H

#include "ospreyspur/Support/Ids.h"
#include "ospreyspur/Support/ResultCode.h"

#include <cstdint>
#include <string>

namespace ospreyspur {

/// The response of one run.
struct StoredResponse {
  bool HasHead = false;
  std::uint32_t Status = 0;
  std::string ContentType;
  /// The offset of Body's first byte; above 0 for a resumed run.
  std::uint64_t BaseOffset = 0;
  std::string Body;
  bool Finished = false;
  /// Whether the body was dropped at the end of its retention, to save memory.
  bool Dropped = false;
  ResultCode Code = ResultCode::Ok;
  /// The endpoint's incarnation that ran the request.
  EngineIncarnation Engine;

  /// The offset just after the last byte.
  std::uint64_t end() const { return BaseOffset + Body.size(); }
};

} // namespace ospreyspur

#endif // OSPREYSPUR_LEDGER_STOREDRESPONSE_H
