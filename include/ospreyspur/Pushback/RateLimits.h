//===- RateLimits.h - rates that endpoints named ----------------*- C++ -*-===//
//
// An endpoint may name how many requests a second it takes from all entries
// together. Its rate is divided among few entries, its holders, which all
// entries find by the same rule (rendezvous hashing); the others send it
// nothing. So the sum of all first requests is bounded, too, however many
// entries there are. Entries whose views of the fleet differ by a member have
// one holder more between them at most.
//
// Of two statements the later one stands; of two whose order is not known the
// stricter one, as answers of many connections overtake each other.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PUSHBACK_RATELIMITS_H
#define OSPREYSPUR_PUSHBACK_RATELIMITS_H

#include "ospreyspur/Pushback/RateLimitNote.h"
#include "ospreyspur/Pushback/RateLimitRow.h"
#include "ospreyspur/Pushback/TokenBucket.h"

#include <cstddef>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ospreyspur {

/// The entries of a fleet by the digests of their names.
struct FleetMembers {
  std::uint64_t Self = 0;
  std::vector<std::uint64_t> Others;
  /// False while there may be others that are not known.
  bool IsComplete = true;
};

/// The limits known to one entry, or to an agent for its endpoint.
class RateLimits {
public:
  /// An endpoint that takes nothing is tried this often by one entry, as only
  /// an answer tells that it takes requests again.
  static constexpr double MinPerSecond = 0.1;
  /// A limit that was not heard of for this long is tried by one entry more,
  /// and by another each time that ExtraHolderPause passes: its holders may be
  /// idle or cut off.
  static constexpr Duration QuietTime = std::chrono::seconds(10);
  static constexpr Duration ExtraHolderPause = std::chrono::seconds(2);
  /// A limit that was not heard of for this long is dropped.
  static constexpr Duration KeepFor = std::chrono::minutes(10);
  /// How long it is kept, and told, that a limit was lifted: a report that was
  /// sent before may arrive late.
  static constexpr Duration KeepLiftFor = std::chrono::seconds(20);
  /// After this time what is heard again is told again.
  static constexpr Duration RetellAfter = std::chrono::seconds(3);
  /// Reports in which a change is told, as datagrams may be lost.
  static constexpr unsigned ChangeTellings = 3;
  static constexpr std::size_t MaxRowsPerReport = 16;
  static constexpr std::size_t MaxEndpoints = 4096;

  // Commands.

  /// Also drops what is too old.
  void setMembers(FleetMembers members, TimePoint now);
  /// An answer of \p life named \p perSecond, or nothing, to a request that was
  /// sent at \p sentAt.
  void onAnswer(LifeDigest life, std::optional<double> perSecond,
                TimePoint sentAt, TimePoint now);
  /// What another entry told. Rows of lives that \p isKnown does not know are
  /// left out.
  template <typename Predicate>
  void merge(const std::vector<RateLimitRow> &rows, const Predicate &isKnown,
             TimePoint now) {
    for (const RateLimitRow &it : rows)
      if (isKnown(it.Life))
        mergeRow(it, now);
  }
  /// The rows to tell the other entries now.
  std::vector<RateLimitRow> takeReport(TimePoint now);
  /// Tells once more what this entry is among the first to hold: another entry
  /// has begun. Does so once in a while only.
  void tellAgain(TimePoint now);
  /// Takes one request to \p life. False if there is none for this entry now.
  bool take(LifeDigest life, TimePoint now);
  /// The changes since the last call, for the log.
  std::vector<RateLimitNote> takeNotes() { return std::exchange(Notes, {}); }

  // Queries.

  bool hasNotes() const { return !Notes.empty(); }
  /// Whether \p life has named a rate that is in force.
  bool isLimited(LifeDigest life) const;
  /// Whether \p life has named a rate lately, in force or not.
  bool isKnown(LifeDigest life) const { return Limits.contains(life); }
  /// Whether take() would succeed.
  bool hasRoom(LifeDigest life, TimePoint now) const;
  /// Requests that this entry may send to \p life from now until \p until, if
  /// it is limited.
  double roomUntil(LifeDigest life, TimePoint now, TimePoint until) const;
  /// The rate that \p life named; 0 if it named none.
  double namedRate(LifeDigest life) const;
  /// Entries that share a rate, this one included.
  std::size_t memberCount() const { return Members.Others.size() + 1; }
  /// When this entry may next send to an endpoint to which it may not now.
  std::optional<TimePoint> nextRoom(TimePoint now) const;
  /// Endpoints with a limit.
  std::size_t limitedCount() const;
  bool isEmpty() const { return Limits.empty(); }

private:
  struct Limit {
    explicit Limit(TimePoint now) : Bucket(now) {}

    /// Nothing: an answer named no rate any more.
    std::optional<double> PerSecond;
    TimePoint SentAt;
    TimePoint HeardAt;
    TimePoint ChangedAt;
    TimePoint ToldAt;
    unsigned Tellings = 0;
    /// This entry's place among the holders, and their usual number.
    std::size_t Rank = 0;
    std::size_t Holders = 1;
    TokenBucket Bucket;
  };

  struct Statement {
    std::optional<double> PerSecond;
    TimePoint SentAt;
    TimePoint HeardAt;
  };

  /// Between a report's sending and its arrival, at most as a rule.
  static constexpr Duration ReportDelay = std::chrono::milliseconds(100);
  static constexpr std::size_t MaxNotes = 64;
  /// Entries that tell a limit to one that begins, and how often at most.
  static constexpr std::size_t Tellers = 2;
  static constexpr Duration TellAgainAfter = std::chrono::milliseconds(500);

  static bool isStricter(const std::optional<double> &a,
                         const std::optional<double> &b);
  void mergeRow(const RateLimitRow &row, TimePoint now);
  bool apply(LifeDigest life, const Statement &said, bool isTold,
             TimePoint now);
  void share(LifeDigest life, Limit &limit, TimePoint now) const;
  static bool isHolder(const Limit &limit, TimePoint now);
  static std::optional<TimePoint> nextRoomOf(const Limit &limit, TimePoint now);
  const Limit *findActive(LifeDigest life) const;

  FleetMembers Members;
  std::unordered_map<LifeDigest, Limit> Limits;
  std::vector<RateLimitNote> Notes;
  TimePoint ToldAgainAt;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PUSHBACK_RATELIMITS_H
