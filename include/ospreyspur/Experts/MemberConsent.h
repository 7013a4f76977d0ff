//===- MemberConsent.h - leading a group without the store ------*- C++ -*-===//
//
// Where ranks do not check fencing tokens, a coordinator must know that no
// other one acts. The store's lease tells it, but not in an outage. Its members
// tell it, too: each agent follows one coordinator, a candidate that takes the
// lease stops following at that moment, and an agent refuses the orders of
// whoever held the lease before one that it has heard of. So for as long as
// every agent of the group follows it, there is no other. A successor that has
// not reached every agent waits until its predecessor must have noticed.
//
// A coordinator whose host stood still finds reports that were sent before;
// they say nothing, so from then on only the store's word counts.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_MEMBERCONSENT_H
#define OSPREYSPUR_EXPERTS_MEMBERCONSENT_H

#include "ospreyspur/Support/Time.h"

#include <map>

namespace ospreyspur {

/// Who of a group follows this coordinator.
class MemberConsent {
public:
  /// A coordinator begins a change only if it heard of every agent within this
  /// time; agents report at least each 0.18 s.
  static constexpr Duration Fresh = std::chrono::milliseconds(600);
  /// A change under way is ended within this time; then it gives no more
  /// orders.
  static constexpr Duration Longest = std::chrono::milliseconds(2000);
  /// How long a successor waits for agents that do not follow it: the
  /// predecessor's time, and that of an order on its way.
  static constexpr Duration SuccessorWait = std::chrono::milliseconds(3000);

  /// A host that did nothing for this time may have been frozen.
  static constexpr Duration Pause = std::chrono::milliseconds(500);

  /// This process is at work; call it before anything is decided.
  void onAlive(TimePoint now);
  /// The store has said that the lease still stands.
  void onConfirmed() { IsVoid = false; }
  /// The agent of \p rank reported to this coordinator.
  void onReport(unsigned rank, TimePoint now) { HeardAt[rank] = now; }
  void clear() { HeardAt.clear(); }

  /// Whether all agents of a group of \p size have reported within \p age.
  bool isFollowed(unsigned size, Duration age, TimePoint now) const;

private:
  std::map<unsigned, TimePoint> HeardAt;
  TimePoint AliveAt;
  /// Whether reports may be from before a pause.
  bool IsVoid = true;
};

/// Refuses an agent's orders of coordinators before the latest one known.
class OrderGate {
public:
  /// Whether to pass on an order that was given under \p lease, where \p newest
  /// is the newest holder that the store has told of.
  bool accepts(std::uint64_t lease, std::uint64_t newest);

private:
  std::uint64_t Highest = 0;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_MEMBERCONSENT_H
