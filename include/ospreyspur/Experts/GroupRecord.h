//===- GroupRecord.h - a group's key-value record ---------------*- C++ -*-===//
//
// The state on which a group's coordinators agree through compare-and-swap: the
// generation and its members, the committed map, the proposed map and the
// number of the latest attempt.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_GROUPRECORD_H
#define OSPREYSPUR_EXPERTS_GROUPRECORD_H

#include "ospreyspur/Experts/GroupMessages.h"
#include "ospreyspur/Support/Result.h"

#include <optional>
#include <string>
#include <vector>

namespace ospreyspur {

/// A map and its version.
struct NumberedMap {
  MapVersion Version;
  std::string Map;
};

/// A group's record.
struct GroupRecord {
  /// The writer's epoch. After a write whose reply was lost, the epoch tells
  /// the writer whether the stored record is its own.
  Epoch Writer;
  Generation GroupGeneration;
  std::vector<EndpointId> Members;
  ChangeAttempt Attempt;
  NumberedMap Committed;
  std::optional<NumberedMap> Proposed;
};

/// Key-value store keys of \p group.
std::string coordinatorKey(const GroupId &group);
std::string recordKey(const GroupId &group);

/// Encodes \p record as JSON.
std::string formatRecord(const GroupRecord &record);

/// Parses the output of formatRecord(). Errors: PlatformBadAnswer.
Result<GroupRecord> parseRecord(const std::string &text);

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_GROUPRECORD_H
