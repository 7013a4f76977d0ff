//===- CrashRelay.h - relays crash reports between entries ------*- C++ -*-===//
//
// The part of an agent that relays crash reports between entries, which open no
// connections to one another. Forwards each entry's crash reports to all other
// subscribers and keeps the records for entries that subscribe later. The
// records so outlive the entries even without the key-value store.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_QUARANTINE_CRASHRELAY_H
#define OSPREYSPUR_QUARANTINE_CRASHRELAY_H

#include "ospreyspur/Quarantine/CrashTracker.h"
#include "ospreyspur/Quarantine/PartTracker.h"
#include "ospreyspur/Rpc/Messages.h"

#include <set>
#include <vector>

namespace ospreyspur {

/// The relay in one agent. It does no I/O.
class CrashRelay {
public:
  /// An update to forward.
  struct Delivery {
    LinkId To;
    CrashUpdate Update;
  };

  // Commands.

  /// Handles an update from the entry behind \p from and subscribes that entry.
  /// Returns the updates to send.
  std::vector<Delivery> onUpdate(LinkId from, const CrashUpdate &update,
                                 TimePoint now);
  /// Removes the subscription of the entry behind \p link.
  void onLinkDown(LinkId link);

  // Queries.

  std::size_t entryCount() const { return Entries.size(); }
  const CrashTracker &crashes() const { return Crashes; }

private:
  CrashTracker Crashes;
  /// The records of prompt parts.
  CrashTracker Parts{PartLimits::makeCrashLimits()};
  std::set<LinkId> Entries;
  /// Subscribers whose last report listed attempts of suspect requests.
  std::set<LinkId> EntriesWithSuspects;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_QUARANTINE_CRASHRELAY_H
