//===- QuarantineStore.h - quarantined requests that last -------*- C++ -*-===//
//
// The state machine that keeps the quarantined requests in the platform's
// store, so that they outlive all entries. It is read once, when a process
// begins; later news come from the other entries, also while the store is out.
// One key holds all of them, under a lease: what nobody wrote for that long is
// forgotten.
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

/// Writes what this entry knows and the store does not.
class QuarantineStore {
public:
  /// Most requests in the value: 2.3 KB.
  static constexpr std::size_t MaxStored = 128;
  static constexpr Duration LeaseSpan = std::chrono::minutes(10);
  /// After this time whoever wrote the value last writes it anew, for as long
  /// as it still knows any.
  static constexpr Duration RewriteAfter = std::chrono::minutes(5);
  /// All entries hear of a request at about the same time; over this span they
  /// look whether another one has written it.
  static constexpr Duration WriteSpread = std::chrono::milliseconds(800);
  /// Bounds of the pause after a failed call.
  static constexpr Duration MinPause = std::chrono::milliseconds(250);
  static constexpr Duration MaxPause = std::chrono::seconds(4);

  /// \p seed spreads the writes of entries.
  explicit QuarantineStore(std::uint64_t seed) : Random(seed) {}

  // Commands.

  /// What this entry has quarantined, and what it has cleared since.
  void setOwn(std::vector<RequestDigest> quarantined,
              const std::vector<RequestDigest> &cleared, TimePoint now);
  /// The call that is due, if any; its answer goes to onReply().
  std::optional<KvCall> nextCall(TimePoint now);
  /// Returns the requests that were stored before this process began, once.
  std::vector<RequestDigest> onReply(const KvReply &reply, TimePoint now);

  // Queries.

  /// When nextCall() is next needed, if at all.
  std::optional<TimePoint> nextTimer() const;
  const std::vector<RequestDigest> &stored() const { return Stored; }

private:
  bool isBehind() const;
  std::vector<RequestDigest> merged() const;
  void take(const KvReply &reply);
  void fail(TimePoint now);

  std::mt19937_64 Random;
  std::vector<RequestDigest> Own;
  std::set<RequestDigest> Cleared;
  std::vector<RequestDigest> Stored;
  /// What the call under way writes; nothing if it reads.
  std::optional<std::vector<RequestDigest>> Writing;
  Revision At;
  bool HasRead = false;
  /// Whether the copy of the value is new enough to write upon.
  bool IsFresh = false;
  bool IsCalling = false;
  std::optional<TimePoint> DueAt = TimePoint();
  TimePoint WrittenAt;
  Duration Pause = MinPause;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_QUARANTINE_QUARANTINESTORE_H
