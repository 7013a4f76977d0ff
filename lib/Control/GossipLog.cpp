//===- GossipLog.cpp - log lines of the gossip ----------------------------===//
//
// See GossipLog.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Control/GossipLog.h"

#include "ospreyspur/Config/GossipNode.h"
#include "ospreyspur/Support/LogEvent.h"

#include <glog/logging.h>

using namespace ospreyspur;

static const char *nameOf(SharedKey key) {
  return key == SharedKey::Config ? "config" : "endpoints";
}

/// Milliseconds since the store was last known to hold \p copy; -1 if that was
/// never known.
static std::int64_t ageMillis(const KeyFollower &copy, TimePoint now) {
  return copy.confirmedAt() == TimePoint() ? -1
                                           : toMillis(now - copy.confirmedAt());
}

void GossipLog::logSource() {
  if (HasLoggedSource && LoggedParent == Node.parent())
    return;
  HasLoggedSource = true;
  LoggedParent = Node.parent();
  LOG(INFO) << LogEvent("copies.source")
                   .with("watches_store", Node.isWatcher())
                   .with("parent", LoggedParent.value_or(EndpointId()).get());
}

void GossipLog::logRead(SharedKey key, TimePoint now) const {
  const KeyFollower &copy = Node.copy(key);
  if (Node.isWatcher() || copy.revision() == Revision(0))
    return;
  LOG(INFO) << LogEvent("copy.unconfirmed")
                   .with("copy", nameOf(key))
                   .with("revision", copy.revision().get())
                   .with("age_ms", ageMillis(copy, now))
                   .with("parent", Node.parent().value_or(EndpointId()).get());
}
