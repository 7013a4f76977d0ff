//===- CrashRelay.h - hands on what entries know of crashes -----*- C++ -*-===//
//
// The part of an agent that connects entries, which do not dial one another:
// what one entry knows of requests under which endpoints ended goes on to all
// others with a link, and is kept for those that come later. It outlives the
// entries and needs no store.
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
  /// An update to hand on.
  struct Delivery {
    LinkId To;
    CrashUpdate Update;
  };

  // Commands.

  /// An update from the entry behind \p from, which hears of the others' ones
  /// from now on. Returns what to send.
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
  /// Those that said last that they run suspects.
  std::set<LinkId> Running;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_QUARANTINE_CRASHRELAY_H
