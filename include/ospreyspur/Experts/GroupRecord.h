//===- GroupRecord.h - a group's record in the platform ---------*- C++ -*-===//
//
// What a group's coordinators agree on through compare-and-swap: the generation
// and its members, the committed map, the map that is to come, and the number
// of the latest attempt.
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

/// A map and its number.
struct NumberedMap {
  MapVersion Version;
  std::string Map;
};

/// A group's record.
struct GroupRecord {
  /// The writer's epoch; tells a writer whether a write with a lost answer was
  /// its own.
  Epoch Writer;
  Generation GroupGeneration;
  std::vector<EndpointId> Members;
  ChangeAttempt Attempt;
  NumberedMap Committed;
  std::optional<NumberedMap> Proposed;
};

/// The platform's keys of \p group.
std::string coordinatorKey(const GroupId &group);
std::string recordKey(const GroupId &group);

/// \p record as JSON.
std::string formatRecord(const GroupRecord &record);

/// Reads formatRecord()'s text. Errors: PlatformBadAnswer.
Result<GroupRecord> parseRecord(const std::string &text);

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_GROUPRECORD_H
