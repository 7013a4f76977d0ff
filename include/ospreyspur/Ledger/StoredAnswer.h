//===- StoredAnswer.h - an endpoint's answer, kept by the agent -*- C++ -*-===//
//
// Holds an answer while it grows and after it ended, so that an entry that
// attaches late gets all of it.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_LEDGER_STOREDANSWER_H
#define OSPREYSPUR_LEDGER_STOREDANSWER_H

#include "ospreyspur/Support/Ids.h"
#include "ospreyspur/Support/ResultCode.h"

#include <cstdint>
#include <string>

namespace ospreyspur {

/// The answer of one run.
struct StoredAnswer {
  bool HasHead = false;
  std::uint32_t Status = 0;
  std::string ContentType;
  /// The offset of Body's first byte; above 0 for a resumed run.
  std::uint64_t BaseOffset = 0;
  std::string Body;
  bool Finished = false;
  /// Whether the body was dropped to save memory.
  bool Dropped = false;
  ResultCode Code = ResultCode::Ok;
  /// Which of the endpoint's lives ran it.
  EngineLife Life;

  /// The offset just after the last byte.
  std::uint64_t end() const { return BaseOffset + Body.size(); }
};

} // namespace ospreyspur

#endif // OSPREYSPUR_LEDGER_STOREDANSWER_H
