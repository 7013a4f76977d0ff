//===- CrashReporter.h - schedules crash reports to relays ------*- C++ -*-===//
//
// Keeps an entry subscribed to the agents that relay crash reports between
// entries, and schedules its own reports.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_QUARANTINE_CRASHREPORTER_H
#define OSPREYSPUR_QUARANTINE_CRASHREPORTER_H

#include "ospreyspur/Support/Ids.h"
#include "ospreyspur/Support/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace ospreyspur {

struct RoutingSnapshot;

/// Number of relays; each of them serves all entries.
constexpr std::size_t RelayCount = 3;

/// Returns the relays that all entries with \p snapshot choose. They are spread
/// over data centres, and stay the same while other endpoints join or leave.
std::vector<EndpointId> chooseRelays(const RoutingSnapshot &snapshot);

/// The subscriptions of one entry.
class CrashReporter {
public:
  /// Changes within this delay are batched into one report.
  static constexpr Duration BatchDelay = std::chrono::milliseconds(8);
  /// Time between two reports while suspect requests run, as receivers expire
  /// the attempts that a report lists.
  static constexpr Duration RefreshInterval = std::chrono::milliseconds(200);
  /// Time between two heartbeats to a relay. They are needed as a relay may
  /// restart or lose the link without the entry noticing.
  static constexpr Duration HeartbeatInterval = std::chrono::seconds(5);
  /// Delay before this entry subscribes to a relay again after its link broke.
  static constexpr Duration ReconnectDelay = std::chrono::seconds(1);
  /// How long a relay's count of entries is valid.
  static constexpr Duration CountValidity =
      2 * HeartbeatInterval + ReconnectDelay;

  // Commands.

  void setRelays(const std::vector<EndpointId> &relays);
  /// Schedules a report, as there are changes to send.
  void onChange(TimePoint now);
  void onLinkDown(const EndpointId &relay, TimePoint now);
  /// Records that \p relay serves \p entries entries.
  void onCount(const EndpointId &relay, std::size_t entries, TimePoint now);
  /// Returns the relays to subscribe to now. The caller then sends each of them
  /// all records.
  std::vector<EndpointId> takeSubscriptions(TimePoint now);
  /// Returns the relays to send a heartbeat to now.
  std::vector<EndpointId> takeHeartbeats(TimePoint now);
  /// Returns whether a report is due. \p isRepeated schedules the next one
  /// after RefreshInterval.
  bool takeReport(bool isRepeated, TimePoint now);

  // Queries.

  std::optional<TimePoint> nextTimer() const;
  /// The relays to which this entry is subscribed.
  std::vector<EndpointId> relays() const;
  /// The number of entries, including this one: the largest valid count of the
  /// relays.
  std::size_t entryCount(TimePoint now) const;

private:
  struct Relay {
    bool IsSubscribed = false;
    /// When to subscribe, or to send the next heartbeat.
    TimePoint DueAt;
    std::size_t Entries = 0;
    TimePoint CountedAt;
  };

  std::map<EndpointId, Relay> Relays;
  std::optional<TimePoint> ReportAt;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_QUARANTINE_CRASHREPORTER_H
