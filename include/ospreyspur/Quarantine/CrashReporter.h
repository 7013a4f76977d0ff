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

/// The relays that all entries with \p snapshot choose: spread over data
/// centres, and the same while other endpoints come and go.
std::vector<EndpointId> chooseRelays(const RoutingSnapshot &snapshot);

/// The subscriptions of one entry.
class CrashReporter {
public:
  /// Delay in which changes are batched into one report.
  static constexpr Duration BatchDelay = std::chrono::milliseconds(8);
  /// Between two reports while suspects run, as receivers expire their runs.
  static constexpr Duration RefreshInterval = std::chrono::milliseconds(200);
  /// Between two heartbeats to a relay, which may have restarted or lost the
  /// link silently.
  static constexpr Duration HeartbeatInterval = std::chrono::seconds(5);
  /// Delay before a relay is subscribed to again after its link broke.
  static constexpr Duration ReconnectDelay = std::chrono::seconds(1);
  /// How long a relay's count of entries is valid.
  static constexpr Duration CountValidity =
      2 * HeartbeatInterval + ReconnectDelay;

  // Commands.

  void setRelays(const std::vector<EndpointId> &relays);
  /// There is something to report.
  void onChange(TimePoint now);
  void onLinkDown(const EndpointId &relay, TimePoint now);
  /// \p relay serves \p entries entries.
  void onCount(const EndpointId &relay, std::size_t entries, TimePoint now);
  /// The relays to subscribe to now, with all that is known.
  std::vector<EndpointId> takeSubscriptions(TimePoint now);
  /// The relays to send a heartbeat to now.
  std::vector<EndpointId> takeHeartbeats(TimePoint now);
  /// Whether a report is due; \p isRepeated: another follows by itself.
  bool takeReport(bool isRepeated, TimePoint now);

  // Queries.

  std::optional<TimePoint> nextTimer() const;
  /// The relays that are subscribed to.
  std::vector<EndpointId> relays() const;
  /// Entries by the latest counts of the relays, this one included.
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
