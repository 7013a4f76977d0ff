//===- RateLimits.h - rate limits advertised by endpoints -------*- C++ -*-===//
//
// An endpoint may advertise how many requests per second it accepts from all
// entries together. The limit is divided among a few entries, the rate limit
// owners, which every entry computes by rendezvous hashing; all other entries
// send the endpoint nothing. As only the owners send requests, the sum of the
// first requests that their token buckets allow is bounded too, however many
// entries there are. Entries whose membership views differ by one member choose
// at most one additional owner between them.
//
// If two responses advertise different limits, the later one applies. If their
// order is unknown, the stricter one applies, as responses on different
// connections overtake each other.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PUSHBACK_RATELIMITS_H
#define OSPREYSPUR_PUSHBACK_RATELIMITS_H

#include "ospreyspur/Pushback/RateLimitLogRecord.h"
#include "ospreyspur/Pushback/RateLimitRecord.h"
#include "ospreyspur/Pushback/TokenBucket.h"

#include <cstddef>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ospreyspur {

/// The entries that share rate limits, as digests of their names.
struct FleetMembers {
  std::uint64_t Self = 0;
  std::vector<std::uint64_t> Others;
  /// False while there may be entries that are not known yet.
  bool IsComplete = true;
};

/// The rate limits known to one entry, or to an agent for its endpoint.
class RateLimits {
public:
  /// Lower limits are raised to this one, so that one entry still tries an
  /// endpoint that accepts no requests: only a response shows that the endpoint
  /// accepts requests again.
  static constexpr double MinPerSecond = 0.1;
  /// If no response or report confirmed a limit for this long, one more entry
  /// may send to the endpoint, and another one each time ExtraOwnerInterval
  /// passes: the rate limit owners may be idle or partitioned from the others.
  static constexpr Duration ExtraOwnerDelay = std::chrono::seconds(10);
  static constexpr Duration ExtraOwnerInterval = std::chrono::seconds(2);
  /// A limit that no response or report confirmed for this long is dropped.
  static constexpr Duration KeepFor = std::chrono::minutes(10);
  /// How long a lifted limit is kept and announced as lifted: a report that was
  /// sent before the lift may arrive late.
  static constexpr Duration KeepLiftFor = std::chrono::seconds(20);
  /// A limit that a response confirms is announced again if its last
  /// announcement is at least this old.
  static constexpr Duration ReannounceAfter = std::chrono::seconds(3);
  /// Each change is announced in this many reports, as datagrams may be lost.
  static constexpr unsigned ChangeAnnouncements = 3;
  static constexpr std::size_t MaxRecordsPerReport = 16;
  static constexpr std::size_t MaxEndpoints = 4096;

  // Commands.

  /// Sets the entries that share limits. Also drops expired limits.
  void setMembers(FleetMembers members, TimePoint now);
  /// Applies the limit \p perSecond, empty for none, from a response of
  /// \p incarnation to a request that was sent at \p sentAt.
  void onResponse(IncarnationDigest incarnation,
                  std::optional<double> perSecond, TimePoint sentAt,
                  TimePoint now);
  /// Merges another entry's report. Records of incarnations for which
  /// \p isKnown returns false are ignored.
  template <typename Predicate>
  void merge(const std::vector<RateLimitRecord> &records,
             const Predicate &isKnown, TimePoint now) {
    for (const RateLimitRecord &it : records)
      if (isKnown(it.Incarnation))
        mergeRecord(it, now);
  }
  /// Returns the records to announce to the other entries now.
  std::vector<RateLimitRecord> takeReport(TimePoint now);
  /// Announces the limits for which this entry is among the first owners once
  /// more, as another entry has started. Has no effect if the last call was
  /// less than NewEntryAnnounceInterval ago.
  void announceToNewEntry(TimePoint now);
  /// Takes a token for one request to \p incarnation. Returns false if the
  /// limit leaves this entry none now.
  bool take(IncarnationDigest incarnation, TimePoint now);
  /// Returns the changes since the last call, for the log.
  std::vector<RateLimitLogRecord> takeLogRecords() {
    return std::exchange(LogRecords, {});
  }

  // Queries.

  bool hasLogRecords() const { return !LogRecords.empty(); }
  /// Whether a rate limit of \p incarnation is in force.
  bool isLimited(IncarnationDigest incarnation) const;
  /// Whether \p incarnation has advertised a rate limit recently, be it in
  /// force or lifted.
  bool isKnown(IncarnationDigest incarnation) const {
    return Limits.contains(incarnation);
  }
  /// Whether take() would succeed.
  bool hasCapacity(IncarnationDigest incarnation, TimePoint now) const;
  /// The number of requests that this entry may send to \p incarnation from
  /// \p now until \p until, if \p incarnation is limited.
  double capacityUntil(IncarnationDigest incarnation, TimePoint now,
                       TimePoint until) const;
  /// The rate limit of \p incarnation in requests per second; 0 if it has none.
  double advertisedRate(IncarnationDigest incarnation) const;
  /// The number of entries that share a limit, including this one.
  std::size_t memberCount() const { return Members.Others.size() + 1; }
  /// The earliest time at which this entry may send to a limited endpoint to
  /// which it may not send now.
  std::optional<TimePoint> nextCapacityAt(TimePoint now) const;
  /// The number of endpoints whose limit is in force.
  std::size_t limitedCount() const;
  bool isEmpty() const { return Limits.empty(); }

private:
  struct Limit {
    explicit Limit(TimePoint now) : Bucket(now) {}

    /// Empty after a response without a limit lifted it.
    std::optional<double> PerSecond;
    TimePoint SentAt;
    TimePoint ReceivedAt;
    TimePoint ChangedAt;
    TimePoint AnnouncedAt;
    unsigned RemainingAnnouncements = 0;
    /// This entry's rank among the entries that share the limit, and the number
    /// of owners while the limit is confirmed regularly.
    std::size_t Rank = 0;
    std::size_t Owners = 1;
    TokenBucket Bucket;
  };

  struct LimitUpdate {
    std::optional<double> PerSecond;
    TimePoint SentAt;
    TimePoint ReceivedAt;
  };

  /// Upper estimate of the time from sending a report to its arrival.
  static constexpr Duration EstimatedReportDelay =
      std::chrono::milliseconds(100);
  static constexpr std::size_t MaxLogRecords = 64;
  /// The number of entries that announce a limit again when another entry
  /// starts.
  static constexpr std::size_t NewEntryAnnouncers = 2;
  /// Shortest time between two such announcements.
  static constexpr Duration NewEntryAnnounceInterval =
      std::chrono::milliseconds(500);

  static bool isStricter(const std::optional<double> &a,
                         const std::optional<double> &b);
  void mergeRecord(const RateLimitRecord &record, TimePoint now);
  bool apply(IncarnationDigest incarnation, const LimitUpdate &update,
             bool isFromPeer, TimePoint now);
  void updateShare(IncarnationDigest incarnation, Limit &limit,
                   TimePoint now) const;
  static bool isOwner(const Limit &limit, TimePoint now);
  static std::optional<TimePoint> nextRoomOf(const Limit &limit, TimePoint now);
  const Limit *findActive(IncarnationDigest incarnation) const;

  FleetMembers Members;
  std::unordered_map<IncarnationDigest, Limit> Limits;
  std::vector<RateLimitLogRecord> LogRecords;
  TimePoint NewEntryAnnouncedAt;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PUSHBACK_RATELIMITS_H
