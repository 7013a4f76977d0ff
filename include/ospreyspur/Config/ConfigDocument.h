//===- ConfigDocument.h - operator configuration ----------------*- C++ -*-===//
//
// The document that holds workspaces, services, groups and events with their
// labels, and the latest audit entries. The whole document is the value of one
// key of the key-value store, so that a change and its audit entry are stored
// atomically.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONFIG_CONFIGDOCUMENT_H
#define OSPREYSPUR_CONFIG_CONFIGDOCUMENT_H

#include "ospreyspur/Config/Selector.h"
#include "ospreyspur/Routing/RoutingSnapshot.h"
#include "ospreyspur/Support/Result.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ospreyspur {

/// Keys of the key-value store that the control plane follows.
inline constexpr std::string_view ConfigKey = "ospreyspur/config";
inline constexpr std::string_view HostsKey = "platform/hosts";

/// Largest document that is accepted; the store limits values to 1 MB.
inline constexpr std::size_t MaxConfigBytes = 900U << 10U;
/// Audit entries kept in the document.
inline constexpr std::size_t MaxAuditEntries = 64;

/// A workspace's configuration.
struct WorkspaceConfig {
  /// SHA-256 of its bearer key, in hex.
  std::string KeyHash;
  std::uint32_t Weight = 1;
  Labels OwnLabels;
};

/// A service's configuration.
struct ServiceConfig {
  ServiceKind Kind = ServiceKind::Plain;
  bool IsRetryable = false;
  Labels OwnLabels;
};

/// A scheduled period during which the selected workspaces have a higher
/// priority.
struct EventConfig {
  /// Seconds since 1970, UTC.
  std::int64_t StartUnix = 0;
  std::uint32_t DurationSeconds = 0;
  /// Selects workspaces by their labels; see Selector.h for the grammar.
  std::string Selector;
  /// Priority of the selected workspaces while the event is in force.
  std::uint32_t Priority = 1;
  Labels OwnLabels;
};

/// One accepted change.
struct AuditEntry {
  std::int64_t AtUnix = 0;
  std::string Operator;
  std::string ChangeId;
  std::string Change;
};

/// The whole configuration.
struct ConfigDocument {
  std::map<std::string, WorkspaceConfig> Workspaces;
  std::map<std::string, ServiceConfig> Services;
  std::map<std::string, Labels> Groups;
  std::map<std::string, EventConfig> Events;
  std::vector<AuditEntry> Audit;
};

/// Parses a document. Errors: ConfigInvalid, whose detail names the field, and
/// ConfigTooLarge.
Result<ConfigDocument> parseConfig(std::string_view text);

/// \p document as JSON; parseConfig() reads it back.
std::string formatConfig(const ConfigDocument &document);

/// The platform's host list.
struct HostList {
  std::vector<EndpointView> Endpoints;
  /// Why each unreadable host was skipped.
  std::vector<std::string> Skipped;
};

/// Parses the platform's host list \p text. Errors: PlatformBadAnswer.
Result<HostList> parseHosts(std::string_view text);

/// Builds the snapshot that traffic threads route by from \p document and
/// \p endpoints, with the workspace priorities in force at \p nowUnix, in
/// seconds since 1970.
RoutingSnapshot makeSnapshot(const ConfigDocument &document,
                             const std::vector<EndpointView> &endpoints,
                             std::int64_t nowUnix);

} // namespace ospreyspur

#endif // OSPREYSPUR_CONFIG_CONFIGDOCUMENT_H
