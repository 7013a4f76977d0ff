//===- CrashTracker.h - finds requests that crash endpoints -----*- C++ -*-===//
//
// Distinguishes a request that crashes every endpoint that runs it (a query of
// death) from requests that ran on the same endpoint, and from endpoints that
// crash for other reasons. Requests are identified by a digest, as a request
// may be received again under another label and at another entry.
//
// A request is suspect once an endpoint has crashed while it ran the request. A
// complete response clears the request. A request is quarantined, and never
// sent again, once an innocent request is too unlikely to meet as many crashes,
// or at a fixed number of crashes. A crash under a quarantined request is no
// evidence against other requests.
//
// The state is announced to the other entries as records, which an entry may
// merge in any order and any number of times.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_QUARANTINE_CRASHTRACKER_H
#define OSPREYSPUR_QUARANTINE_CRASHTRACKER_H

#include "ospreyspur/Quarantine/CrashReport.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace ospreyspur {

/// Bounds of a CrashTracker.
struct CrashLimits {
  /// Most requests in the table. The one with the least evidence is evicted
  /// first, among equals the one that was received longest ago.
  std::size_t MaxRecords = 256;
  /// Most crashed incarnations in the table. The oldest is evicted first.
  std::size_t MaxIncarnations = 512;
  /// How long a request is kept after it was last received or an endpoint last
  /// crashed under it.
  Duration KeepRecords = std::chrono::minutes(10);
  /// How long the record of a cleared request is kept, so that a late record
  /// does not make the request suspect again.
  Duration KeepCleared = std::chrono::seconds(20);
  /// A request is quarantined at this number of crashes, however many other
  /// endpoints crash. On the platform a request has two attempts and is sent
  /// again once, so an innocent request has no attempt left by then.
  unsigned QuarantineCrashes = 4;
  /// Whether a request's latest crash is kept when it has more crashes than
  /// QuarantineCrashes. The others kept are the first ones.
  bool KeepsLatestCrash = false;
  /// A request with fewer crashes is quarantined if endpoints that crash for
  /// other reasons cause as many with at most this probability. It corresponds
  /// to one request among those of several hours.
  double MaxInnocentProbability = 1e-6;
  /// How long the verdict on a request waits after a crash, so that all entries
  /// have reported by then which other requests ran on the endpoint. An entry
  /// batches its report for 8 ms, and a lost report has to be repeated.
  Duration SettleTime = std::chrono::milliseconds(100);
  /// Crashes within this time before and after a crash count towards the crash
  /// rate around that crash.
  Duration RateWindow = std::chrono::seconds(10);
  /// Shorter attempts count as this long: a request that was just sent may have
  /// reached an endpoint that was already crashing.
  Duration MinAttemptTime = std::chrono::milliseconds(250);
  /// A new record is announced in this many consecutive reports, as datagrams
  /// may be lost.
  unsigned Announcements = 3;
  /// Records of quarantined requests and of requests with two crashes or more
  /// are announced again in rotation. The interval between two such reports of
  /// an entry is RefreshEvery times the number of entries. Whatever the size of
  /// the fleet, an entry so receives 80 such records per second, about 5 KB,
  /// and none while there are none.
  Duration RefreshEvery = std::chrono::milliseconds(25);
  /// Most records that are announced again in one report.
  std::size_t RefreshRecords = 2;
  /// Most records in a report.
  std::size_t MaxReportRecords = 32;
  /// After this time the attempts that another entry reported are ignored.
  Duration PeerAttemptMaxAge = std::chrono::seconds(1);
  /// After this time a quarantine ends. The crashes are kept, so that the next
  /// one quarantines the request again. Unset if a quarantine lasts as long as
  /// the request is received.
  std::optional<Duration> MaxQuarantine;
};

/// The verdict on a request.
enum class CrashVerdict : std::uint8_t {
  Unknown,
  /// At least one endpoint crashed while it ran the request.
  Suspect,
  /// The request must not be sent again.
  Quarantined,
};

/// The crash records of one entry.
class CrashTracker {
public:
  /// The crash of an incarnation that was running a request.
  struct Crash {
    IncarnationDigest Incarnation;
    TimePoint At;
    Duration Ran{};
  };

  explicit CrashTracker(CrashLimits limits = CrashLimits()) : Limits(limits) {}

  // Commands.

  /// Records that \p incarnation crashed after it had run \p request for
  /// \p ran. The request's service has \p endpoints endpoints.
  void onCrash(RequestDigest request, IncarnationDigest incarnation,
               Duration ran, std::size_t endpoints, TimePoint now);
  /// Clears \p request, as it got a complete response. Returns whether there
  /// was anything to clear.
  bool onCompleteResponse(RequestDigest request, TimePoint now);
  /// Records that \p request got a complete response at \p at, before this
  /// entry had a record of it. \p isAnnounced to tell the other entries.
  void onEarlierResponse(RequestDigest request, TimePoint at, bool isAnnounced);
  /// Records that \p request was received.
  void onReceived(RequestDigest request, TimePoint now);
  /// Decides on all requests whose verdict is due. Returns those that are
  /// quarantined now.
  std::vector<RequestDigest> updateVerdicts(TimePoint now);
  /// Decides on all requests with a pending verdict without waiting. For use
  /// while there is no other entry.
  std::vector<RequestDigest> updateAllVerdicts(TimePoint now);
  /// Returns the requests whose verdict is due at \p due, or all with a pending
  /// verdict if \p due is empty, those with the most crashes first. For callers
  /// that decide by a rule of their own.
  std::vector<RequestDigest>
  takeDueVerdicts(const std::optional<TimePoint> &due);
  /// Makes the verdict on \p request due again at \p at.
  void postponeVerdict(RequestDigest request, TimePoint at);
  /// Quarantines \p request.
  void quarantine(RequestDigest request, TimePoint now);
  /// A cause other than a request of this table is known for the crashes of
  /// \p incarnations, which are no evidence against its requests then.
  void explain(const std::vector<IncarnationDigest> &incarnations);
  /// Merges a report of the entry \p peer. Returns the requests that are
  /// quarantined by it.
  std::vector<RequestDigest> merge(const std::string &peer,
                                   const CrashReport &report, TimePoint now);
  /// Restores requests that were quarantined before this process started.
  void restore(const std::vector<RequestDigest> &requests, TimePoint now);
  /// Returns the records to announce to the other entries now. \p entries is
  /// the number of entries, including this one.
  std::vector<CrashRecord> takeRecords(std::size_t entries, TimePoint now);
  /// Returns all records, in reports of at most MaxReportRecords. They don't
  /// count as announced.
  std::vector<CrashReport> allRecords(TimePoint now);

  // Queries.

  CrashVerdict verdictOf(RequestDigest request) const;
  /// Whether the verdict on \p request is pending.
  bool isVerdictPending(RequestDigest request) const;
  /// When updateVerdicts() is due next; empty if no verdict is pending.
  std::optional<TimePoint> nextVerdictAt() const;
  /// The number of incarnations that crashed while they ran \p request, since
  /// it was last cleared.
  unsigned crashesOf(RequestDigest request) const;
  /// The crashes recorded for \p request, in any order.
  std::vector<Crash> crashListOf(RequestDigest request) const;
  /// The incarnations that crashed while they ran \p request.
  std::vector<IncarnationDigest> incarnationsOf(RequestDigest request) const;
  /// The requests that were running on \p incarnation when it crashed.
  std::vector<RequestDigest> requestsAt(IncarnationDigest incarnation) const;
  /// The number of crashes in this period that no quarantined request explains.
  std::size_t countUnexplained(TimePoint from, TimePoint until) const;
  /// When \p request last got a complete response; empty if that is not known.
  std::optional<TimePoint> clearedAt(RequestDigest request) const;
  /// The probability that an innocent request meets the crashes recorded for
  /// \p request.
  double chanceOf(RequestDigest request, TimePoint now) const;
  /// Whether another entry reported recently that it runs \p request.
  bool runsElsewhere(RequestDigest request, TimePoint now) const;
  /// The incarnations on which other entries run suspect requests other than
  /// \p request.
  std::set<IncarnationDigest> incarnationsOfOthers(RequestDigest request,
                                                   TimePoint now) const;
  /// When \p incarnation crashed; empty if no crash is known.
  std::optional<TimePoint> crashTimeOf(IncarnationDigest incarnation) const;
  bool isEmpty() const { return Records.empty(); }
  std::size_t recordCount() const { return Records.size(); }
  /// The quarantined requests, the most recently received ones first.
  std::vector<RequestDigest> quarantined() const;
  /// The requests that were cleared recently.
  std::vector<RequestDigest> cleared() const;
  /// Grows whenever a request is quarantined, is cleared after that, or its
  /// quarantine expires.
  std::uint64_t quarantineChanges() const { return Changes; }

private:
  struct Record {
    std::vector<Crash> Crashes;
    std::size_t Endpoints = 1;
    TimePoint SeenAt;
    /// Crashes up to this time don't count.
    std::optional<TimePoint> ClearedAt;
    std::optional<TimePoint> QuarantinedAt;
    /// When the verdict is due, if there are new crashes.
    std::optional<TimePoint> VerdictAt;
    unsigned RemainingAnnouncements = 0;
  };
  struct CrashedIncarnation {
    TimePoint At;
    /// Whether it crashed while it ran a quarantined request.
    bool IsExplained = false;
  };
  struct PeerRuns {
    TimePoint At;
    std::vector<SuspectAttempt> SuspectAttempts;
  };

  Record &recordOf(RequestDigest request, TimePoint now);
  void evictIfFull(TimePoint now);
  bool addCrash(Record &record, const Crash &crash);
  void addIncarnation(IncarnationDigest incarnation, TimePoint at);
  bool hasEnoughEvidence(RequestDigest request, const Record &record,
                         TimePoint now) const;
  std::vector<RequestDigest> updateDueVerdicts(std::optional<TimePoint> due,
                                               TimePoint now);
  void attributeCrashes(RequestDigest request);
  void removeExplained(std::optional<RequestDigest> cause,
                       const std::vector<IncarnationDigest> &crashed);
  bool hasCoincidentRequest(RequestDigest request, const Record &record) const;
  double chanceOf(const Record &record, TimePoint now) const;
  bool mergeRecord(const CrashRecord &in, TimePoint now);
  void clear(Record &record, TimePoint at);
  void refresh(std::vector<CrashRecord> &out, TimePoint now);
  void expire(TimePoint now);
  CrashRecord makeRecord(RequestDigest request, const Record &record,
                         TimePoint now) const;

  CrashLimits Limits;
  std::map<RequestDigest, Record> Records;
  std::unordered_map<IncarnationDigest, CrashedIncarnation> Incarnations;
  std::map<std::string, PeerRuns> Peers;
  std::uint64_t Changes = 0;
  TimePoint RefreshAt;
  /// The record that was announced again last in the rotation.
  RequestDigest LastRefreshed;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_QUARANTINE_CRASHTRACKER_H
