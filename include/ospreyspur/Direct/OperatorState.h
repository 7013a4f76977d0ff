//===- OperatorState.h - what operators have set ----------------*- C++ -*-===//
//
// The values that operators write to the key-value store. Processes exchange
// them as one value with one revision, so that an older configuration or drain
// never replaces a newer one.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_OPERATORSTATE_H
#define OSPREYSPUR_DIRECT_OPERATORSTATE_H

#include "ospreyspur/Support/Ids.h"
#include "ospreyspur/Support/Result.h"

#include <set>
#include <string>

namespace ospreyspur {

/// The operators' values at one revision.
struct OperatorState {
  /// The text of the configuration document; empty if there is none.
  std::string Config;
  /// Data centres whose endpoints must get no new requests.
  std::set<DataCentreId> Drained;

  friend bool operator==(const OperatorState &,
                         const OperatorState &) = default;
};

/// Returns the configuration document itself if no data centre is drained.
std::string formatOperatorState(const OperatorState &state);

/// Errors: PlatformBadAnswer.
Result<OperatorState> parseOperatorState(const std::string &text);

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_OPERATORSTATE_H
