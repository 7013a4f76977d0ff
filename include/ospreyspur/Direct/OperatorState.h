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

/// Returns the revision under which a process offers the state \p read, which
/// replaces \p before, to the others. \p newest is the revision of the latest
/// change among the values that were read, and \p seenAt that of the store. As
/// a rule it is \p newest, so that a process that has just started offers the
/// others nothing that they have. A drain that has ended leaves no value
/// behind, so a read that shows its end counts as of \p seenAt.
Revision revisionOfRead(const OperatorState &before, const OperatorState &read,
                        Revision newest, Revision seenAt);

/// Returns the configuration document itself if no data centre is drained.
std::string formatOperatorState(const OperatorState &state);

/// Errors: PlatformBadAnswer.
Result<OperatorState> parseOperatorState(const std::string &text);

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_OPERATORSTATE_H
