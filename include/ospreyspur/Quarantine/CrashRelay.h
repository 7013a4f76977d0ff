//===- CrashRelay.h - relays crash reports between entries ------*- C++ -*-===//
//
// The part of an agent that connects entries, which do not dial one another.
// Forwards each entry's crash reports to all other subscribers and keeps their
// rows for later ones, so that they outlive the entries without the store.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_QUARANTINE_CRASHRELAY_H
#define OSPREYSPUR_QUARANTINE_CRASHRELAY_H

#include "ospreyspur/Quarantine/CrashTracker.h"
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

  /// An update from the entry behind \p from, which is subscribed from now on.
  /// Returns what to send.
  std::vector<Delivery> onUpdate(LinkId from, const CrashUpdate &update,
                                 TimePoint now);
  /// The link is gone.
  void onLinkDown(LinkId link);

  // Queries.

  std::size_t entryCount() const { return Entries.size(); }
  const CrashTracker &crashes() const { return Crashes; }

private:
  CrashTracker Crashes;
  std::set<LinkId> Entries;
  /// Subscribers whose last report had runs of suspects.
  std::set<LinkId> Running;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_QUARANTINE_CRASHRELAY_H
