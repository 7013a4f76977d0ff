//===- QuarantineStore.h - persists quarantined requests --------*- C++ -*-===//
//
// The state machine that keeps the quarantined requests in the key-value store,
// so that they outlive all entries. A starting process restores the stored
// requests. It learns of later ones from the other entries, also during an
// outage of the store, and reads the store again only before it writes or
// renews the key. One key holds all quarantined requests under a lease. The
// store deletes the key if no entry writes it for the duration of the lease.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_QUARANTINE_QUARANTINESTORE_H
#define OSPREYSPUR_QUARANTINE_QUARANTINESTORE_H

#include "ospreyspur/Platform/KeyValue.h"
#include "ospreyspur/Support/Digest.h"

#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace ospreyspur {

/// Writes the quarantined requests that the store lacks, and removes cleared
/// requests from the store.
class QuarantineStore {
public:
  /// Most requests in the value: 2.3 KB.
  static constexpr std::size_t MaxStored = 128;
  static constexpr Duration LeaseSpan = std::chrono::minutes(10);
  /// After this time the entry that wrote the value last writes it again to
  /// renew the lease, as long as the entry has quarantined requests.
  static constexpr Duration RewriteAfter = std::chrono::minutes(5);
  /// All entries learn of a quarantined request at about the same time. Each
  /// waits for a random part of this span, then reads the value and writes the
  /// request only if no other entry has done so.
  static constexpr Duration WriteSpread = std::chrono::milliseconds(800);
  /// Bounds of the delay after a failed call.
  static constexpr Duration MinRetryDelay = std::chrono::milliseconds(250);
  static constexpr Duration MaxRetryDelay = std::chrono::seconds(4);

  /// \p seed spreads the writes of entries.
  explicit QuarantineStore(std::uint64_t seed) : Random(seed) {}

  // Commands.

  /// Sets the requests that this entry has quarantined and those that it has
  /// cleared.
  void setLocalQuarantine(std::vector<RequestDigest> quarantined,
                          const std::vector<RequestDigest> &cleared,
                          TimePoint now);
  /// Returns the call that is due, if any. The caller passes the reply to
  /// onReply().
  std::optional<KvCall> nextCall(TimePoint now);
  /// Returns the stored requests at the first successful read, as they were
  /// quarantined before this process started; otherwise nothing.
  std::vector<RequestDigest> onReply(const KvReply &reply, TimePoint now);

  // Queries.

  /// When nextCall() is due next; empty if no call is.
  std::optional<TimePoint> nextTimer() const;
  const std::vector<RequestDigest> &stored() const { return Stored; }

private:
  bool needsWrite() const;
  std::vector<RequestDigest> merged() const;
  void updateStored(const KvReply &reply);
  void scheduleRetry(TimePoint now);

  std::mt19937_64 Random;
  std::vector<RequestDigest> Own;
  std::set<RequestDigest> Cleared;
  std::vector<RequestDigest> Stored;
  /// The value that the pending call writes; empty if the call reads.
  std::optional<std::vector<RequestDigest>> Writing;
  Revision StoredRevision;
  bool HasRead = false;
  /// Whether Stored is current enough to base a write on.
  bool IsFresh = false;
  bool IsCalling = false;
  std::optional<TimePoint> DueAt = TimePoint();
  TimePoint WrittenAt;
  Duration RetryDelay = MinRetryDelay;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_QUARANTINE_QUARANTINESTORE_H
