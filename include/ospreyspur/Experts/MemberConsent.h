//===- MemberConsent.h - leading during a store outage ----------*- C++ -*-===//
//
// Where ranks do not check fencing tokens, a coordinator must know that no
// other coordinator acts. The lease in the key-value store shows this, but not
// during an outage. The group's members show it, too: each agent follows one
// coordinator, a candidate that takes the lease stops following at that moment,
// and an agent refuses the orders of any earlier lease holder once it knows of
// a later one. While every agent of the group follows a coordinator, there is
// no other. A successor that does not yet have every agent's reports waits for
// SuccessorWait; by then its predecessor has stopped sending orders.
//
// After its host was paused, a coordinator may read reports that were sent
// before the pause. They prove nothing, so from then on only the key-value
// store's confirmation counts.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_MEMBERCONSENT_H
#define OSPREYSPUR_EXPERTS_MEMBERCONSENT_H

#include "ospreyspur/Support/Time.h"

#include <map>

namespace ospreyspur {

/// Tracks which members of a group follow this coordinator.
class MemberConsent {
public:
  /// A coordinator begins a change only if every agent has reported within this
  /// time; agents report at least every 0.18 s.
  static constexpr Duration MaxReportAge = std::chrono::milliseconds(600);
  /// A change under way is ended within this time; afterwards the coordinator
  /// sends no more orders.
  static constexpr Duration MaxChangeTime = std::chrono::milliseconds(2000);
  /// Time that a successor waits for agents that do not follow it:
  /// MaxChangeTime plus the time of an order in transit.
  static constexpr Duration SuccessorWait = std::chrono::milliseconds(3000);

  /// A host that did nothing for this time may have been frozen.
  static constexpr Duration Pause = std::chrono::milliseconds(500);

  /// Records that this process is running; must be called before any decision.
  void onActive(TimePoint now);
  /// The key-value store has confirmed that the lease is still valid.
  void onConfirmed() { AreReportsStale = false; }
  /// The agent of \p rank has reported to this coordinator.
  void onReport(unsigned rank, TimePoint now) { ReportedAt[rank] = now; }
  void clear() { ReportedAt.clear(); }

  /// Whether all agents of a group of \p size have reported within \p age.
  bool isFollowed(unsigned size, Duration age, TimePoint now) const;

private:
  std::map<unsigned, TimePoint> ReportedAt;
  TimePoint LastActiveAt;
  /// Whether reports may date from before a pause.
  bool AreReportsStale = true;
};

/// Refuses orders that were sent by coordinators before the latest one known.
class OrderGate {
public:
  /// Whether to pass on an order that was sent under \p lease; \p newest is the
  /// newest holder known from the key-value store.
  bool accepts(std::uint64_t lease, std::uint64_t newest);

private:
  std::uint64_t Highest = 0;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_MEMBERCONSENT_H
