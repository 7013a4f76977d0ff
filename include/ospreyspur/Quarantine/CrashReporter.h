//===- CrashReporter.h - when an entry tells what it knows ------*- C++ -*-===//
//
// Keeps an entry subscribed to the agents that relay between entries, and says
// when the next report is due to them.
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

/// Agents that relay between entries; each of them reaches all entries.
constexpr std::size_t RelayCount = 3;

/// The relays that all entries with \p snapshot choose: spread over data
/// centres, and the same while other endpoints come and go.
std::vector<EndpointId> chooseRelays(const RoutingSnapshot &snapshot);

/// The subscriptions of one entry.
class CrashReporter {
public:
  /// How long news are gathered before they are told.
  static constexpr Duration Gather = std::chrono::milliseconds(8);
  /// Between two reports while suspects run; their runs count for a second.
  static constexpr Duration RepeatEvery = std::chrono::milliseconds(200);
  /// Between two greetings to a relay, which may have begun anew or lost the
  /// link without a word.
  static constexpr Duration GreetEvery = std::chrono::seconds(5);
  /// Before a relay whose link broke is dialled again.
  static constexpr Duration RedialPause = std::chrono::seconds(1);
  /// What a relay said of the number of entries holds for as long.
  static constexpr Duration CountAge = 2 * GreetEvery + RedialPause;

  // Commands.

  void setRelays(const std::vector<EndpointId> &relays);
  /// There is something to tell.
  void onChange(TimePoint now);
  void onLinkDown(const EndpointId &relay, TimePoint now);
  /// \p relay hands updates to \p entries entries.
  void onCount(const EndpointId &relay, std::size_t entries, TimePoint now);
  /// The relays to subscribe to now, with all that is known.
  std::vector<EndpointId> takeSubscriptions(TimePoint now);
  /// The relays to greet now.
  std::vector<EndpointId> takeGreetings(TimePoint now);
  /// Whether a report is due; \p isRepeated: another follows by itself.
  bool takeReport(bool isRepeated, TimePoint now);

  // Queries.

  std::optional<TimePoint> nextTimer() const;
  /// The relays that are subscribed to.
  std::vector<EndpointId> relays() const;
  /// Entries as far as the relays have told lately, this one included.
  std::size_t entryCount(TimePoint now) const;

private:
  struct Relay {
    bool IsSubscribed = false;
    /// When to subscribe, or to greet.
    TimePoint DueAt;
    std::size_t Entries = 0;
    TimePoint CountedAt;
  };

  std::map<EndpointId, Relay> Relays;
  std::optional<TimePoint> ReportAt;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_QUARANTINE_CRASHREPORTER_H
