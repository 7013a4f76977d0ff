//===- Settings.h - the settings of each role -------------------*- C++ -*-===//
//
// Typed settings, read once at start from an INI file. What operators change at
// run time is in the configuration document instead.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONFIG_SETTINGS_H
#define OSPREYSPUR_CONFIG_SETTINGS_H

#include "ospreyspur/Direct/RetryWindow.h"
#include "ospreyspur/Experts/ExpertPlanner.h"
#include "ospreyspur/Routing/AgentNode.h"
#include "ospreyspur/Routing/EntryNode.h"

#include <string>
#include <vector>

namespace ospreyspur {

class SettingsReader;

/// What both roles need.
struct CommonSettings {
  std::string DataCentre;
  /// The platform's key-value service.
  std::string PlatformAddress;
  /// Agents to learn the shared values from when the platform is out at start.
  std::vector<std::string> Peers;
  /// Admin API and metrics.
  std::string AdminListen;
  /// SHA-256 of the first operator's token, in hex; empty: none.
  std::string AdminTokenHash;
  /// How long a planned stop is announced before new work is refused.
  Duration StopNotice{};
  /// How long a planned stop waits for requests in flight.
  Duration StopLimit{};
};

/// Settings of `ospreyspur entry`.
struct EntrySettings {
  CommonSettings Common;
  std::string Listen;
  Duration DefaultDeadline{};
  EntryLimits Limits;
  /// Under which requests are digested; the same at all entries.
  std::string DigestKey;
};

/// Settings of `ospreyspur agent`.
struct AgentSettings {
  CommonSettings Common;
  std::string EndpointName;
  /// For entries and other agents.
  std::string Listen;
  /// The endpoint's HTTP address.
  std::string EndpointAddress;
  /// The lock-step group that the endpoint belongs to; empty for none.
  std::string Group;
  /// The measures of the group's maps; one rank for each member if 0.
  MapShape Shape;
  PlannerWeights Weights;
  Duration PlanInterval{};
  Duration EndpointIdle{};
  AgentLimits Limits;
};

/// Settings of `ospreyspur direct`.
struct DirectSettings {
  /// The file that they came from.
  std::string File;
  std::string Name;
  std::string DataCentre;
  std::string PlatformAddress;
  /// Processes to learn the shared values from before the store answers.
  std::vector<std::string> Peers;
  /// Callers' requests.
  std::string Listen;
  /// Where the platform asks whether this process is ready.
  std::string ReadyListen;
  /// Links from the other processes.
  std::string LinkListen;
  /// First and last port for what the processes say to each other.
  std::string PeerPorts;
  /// Metrics; empty: none.
  std::string MetricsListen;
  /// How long a planned stop may take.
  Duration StopLimit{};
  Duration StopNotice{};
  RetryBounds Retries;
  /// Under which requests are digested; the same at all entries.
  std::string DigestKey;

  /// Load reports from the other entries: the first of the peer ports, on the
  /// host of the links.
  std::string loadListen() const;
};

/// Reads the direct path's settings; faults are in \p reader afterwards.
DirectSettings readDirectSettings(SettingsReader &reader);

/// Settings of `ospreyspur rank`.
struct RankSettings {
  /// The file that they came from.
  std::string File;
  std::string Name;
  std::string PlatformAddress;
  /// This process's IP number.
  std::string Host;
  /// First and last port for what the processes say to each other.
  std::string PeerPorts;
  /// Metrics; empty: none.
  std::string MetricsListen;
  /// The rank's HTTP address.
  std::string EndpointAddress;
  std::string Service;
  /// What this host's network link carries, in Mbit/s.
  double LinkMbps = 0;
  /// Whether ranks refuse an order whose fencing token is lower than one seen.
  bool ChecksFences = true;

  /// Links from the other agents: the first of the peer ports.
  std::string linkListen() const;
};

/// Reads a rank agent's settings; faults are in \p reader afterwards.
RankSettings readRankSettings(SettingsReader &reader);

/// Reads an entry's settings; faults are in \p reader afterwards.
EntrySettings readEntrySettings(SettingsReader &reader);

/// Reads an agent's settings; faults are in \p reader afterwards.
AgentSettings readAgentSettings(SettingsReader &reader);

/// Every key of both roles as rows of a Markdown table.
std::string formatSettingsTable();

} // namespace ospreyspur

#endif // OSPREYSPUR_CONFIG_SETTINGS_H
