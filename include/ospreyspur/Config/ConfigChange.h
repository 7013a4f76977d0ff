//===- ConfigChange.h - one operator's change -------------------*- C++ -*-===//
//
// Puts or deletes one object of the configuration document and adds the audit
// entry, in one new document.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONFIG_CONFIGCHANGE_H
#define OSPREYSPUR_CONFIG_CONFIGCHANGE_H

#include "ospreyspur/Support/Result.h"

#include <cstdint>
#include <optional>
#include <string>

namespace ospreyspur {

/// The tag of an object that does not exist.
inline constexpr char AbsentTag[] = "absent";

/// A change of one object.
struct ConfigChange {
  /// "workspaces", "services", "groups" or "events".
  std::string Section;
  std::string Name;
  /// The object's new JSON; without a value the object is deleted.
  std::optional<std::string> Body;
  /// Accept only if the object still has this tag.
  std::optional<std::string> IfMatch;
  /// Unique id of the change; its presence in the audit entries shows that the
  /// change was accepted.
  std::string ChangeId;
  std::string Operator;
  /// Seconds since 1970, for the audit entry.
  std::int64_t AtUnix = 0;
};

/// Applies \p change to the document \p text and returns the new document.
/// Errors: ConfigInvalid, ConfigConflict, ConfigTooLarge, and NotFound for an
/// unknown section, an empty or too long name or the delete of an absent
/// object.
Result<std::string> applyChange(const std::string &text,
                                const ConfigChange &change);

/// Whether the document's audit entries contain \p changeId.
bool hasChange(const std::string &text, const std::string &changeId);

/// An object of the document as JSON. Errors: NotFound.
Result<std::string> readObject(const std::string &text,
                               const std::string &section,
                               const std::string &name);

/// The tag of an object's JSON; changes whenever the object does.
std::string objectTag(const std::string &object);

/// The document's audit entries as a JSON array.
std::string readAuditEntries(const std::string &text);

} // namespace ospreyspur

#endif // OSPREYSPUR_CONFIG_CONFIGCHANGE_H
