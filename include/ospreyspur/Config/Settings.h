//===- Settings.h - settings of each program --------------------*- C++ -*-===//
//
// Typed settings, read once at start from an INI file. Values that operators
// change at run time are in the configuration document instead.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONFIG_SETTINGS_H
#define OSPREYSPUR_CONFIG_SETTINGS_H

#include "ospreyspur/Config/MachineLimits.h"
#include "ospreyspur/Direct/RetryWindow.h"
#include "ospreyspur/Experts/ExpertPlanner.h"
#include "ospreyspur/Routing/AgentNode.h"
#include "ospreyspur/Routing/EntryNode.h"

#include <string>
#include <vector>

namespace ospreyspur {

class SettingsReader;

/// Settings that `ospreyspur entry` and `ospreyspur agent` share.
struct CommonSettings {
  std::string DataCentre;
  /// Address of the key-value store.
  std::string PlatformAddress;
  /// Agents to get the shared values from if the key-value store is down at
  /// start.
  std::vector<std::string> Peers;
  /// Address of the admin API and the metrics.
  std::string AdminListen;
  /// SHA-256 of the first operator's token, in hex; empty for no token.
  std::string AdminTokenHash;
  /// How long a planned stop is announced before new work is refused.
  Duration StopNotice{};
  /// Longest duration of a planned stop, including its announcement; then it no
  /// longer waits for requests in flight.
  Duration StopLimit{};
  MachineLimits Machine;
};

/// Settings of `ospreyspur entry`.
struct EntrySettings {
  CommonSettings Common;
  std::string Listen;
  Duration DefaultDeadline{};
  EntryLimits Limits;
  /// HMAC key of the request digests; must be the same at all entries.
  std::string DigestKey;
};

/// Settings of `ospreyspur agent`.
struct AgentSettings {
  CommonSettings Common;
  std::string EndpointName;
  /// Address for links from entries and other agents.
  std::string Listen;
  /// The endpoint's HTTP address.
  std::string EndpointAddress;
  /// The lock-step group that the endpoint belongs to; empty for none.
  std::string Group;
  /// Dimensions of the group's expert maps; one rank for each member if 0.
  MapShape MapDimensions;
  PlannerWeights Weights;
  Duration PlanInterval{};
  Duration EndpointIdle{};
  AgentLimits Limits;
};

/// Settings of `ospreyspur direct`.
struct DirectSettings {
  /// The file that the settings were read from.
  std::string File;
  std::string Name;
  std::string DataCentre;
  std::string PlatformAddress;
  /// Addresses of processes to get the shared values from until the key-value
  /// store has listed other processes.
  std::vector<std::string> Peers;
  /// Address for callers' requests.
  std::string Listen;
  /// Address for the platform's readiness checks.
  std::string ReadyListen;
  /// Address for links from the other processes.
  std::string LinkListen;
  /// First and last port for connections between the processes.
  std::string PeerPorts;
  /// Address of the metrics; empty for no metrics.
  std::string MetricsListen;
  /// How long a planned stop may take.
  Duration StopLimit{};
  Duration StopNotice{};
  RetryLimits Retries;
  /// How long a caller may leave data of its response unread.
  Duration WriteTimeout = std::chrono::seconds(5);
  /// HMAC key of the request digests; must be the same at all entries.
  std::string DigestKey;
  MachineLimits Machine;

  /// Address for load reports from the other entries: the host of LinkListen
  /// with the first of the peer ports.
  std::string loadListen() const;
};

/// Reads the direct path's settings; errors are collected in \p reader.
DirectSettings readDirectSettings(SettingsReader &reader);

/// Settings of `ospreyspur rank`.
struct RankSettings {
  /// The file that the settings were read from.
  std::string File;
  std::string Name;
  std::string PlatformAddress;
  /// This process's IP address.
  std::string Host;
  /// First and last port for connections between the processes.
  std::string PeerPorts;
  /// Address of the metrics; empty for no metrics.
  std::string MetricsListen;
  /// The rank's HTTP address.
  std::string EndpointAddress;
  std::string Service;
  /// Bandwidth of this host's network link, in Mbit/s.
  double LinkMbps = 0;
  /// Whether ranks refuse an order whose fencing token is lower than one seen.
  bool ChecksFences = true;
  MachineLimits Machine;

  /// Address for links from the other agents: Host with the first of the peer
  /// ports.
  std::string linkListen() const;
};

/// Reads a rank agent's settings; errors are collected in \p reader.
RankSettings readRankSettings(SettingsReader &reader);

/// Reads an entry's settings; errors are collected in \p reader.
EntrySettings readEntrySettings(SettingsReader &reader);

/// Reads an agent's settings; errors are collected in \p reader.
AgentSettings readAgentSettings(SettingsReader &reader);

/// All keys of the entry, agent, direct and rank programs as a Markdown table.
std::string formatSettingsTable();

} // namespace ospreyspur

#endif // OSPREYSPUR_CONFIG_SETTINGS_H
