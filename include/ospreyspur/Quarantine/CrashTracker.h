//===- CrashTracker.h - requests under which endpoints ended ----*- C++ -*-===//
//
// Tells a request that ends whatever runs it (a query of death) from requests
// that ran beside one, and from endpoints that end by themselves. Requests are
// known by a digest, as one comes again under another label and at another
// entry.
//
// A request is a suspect once an endpoint's life has ended while it ran there.
// A whole answer clears it. It is quarantined, and never sent again, once that
// so many lives ended under it is too unlikely for a request that has nothing
// to do with it, or at a fixed number. Lives that ended under a quarantined
// request speak against no other one.
//
// What is known is told to the other entries as rows, which any of them may
// merge in any order, any number of times.
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
  /// Requests known, and lives that ended, of which the oldest go first.
  std::size_t MaxRows = 256;
  std::size_t MaxLives = 512;
  /// How long a request is remembered after it last came or ended a life.
  Duration KeepRows = std::chrono::minutes(10);
  /// How long a cleared request is told, so that no late row revives it.
  Duration KeepCleared = std::chrono::seconds(20);
  /// Lives that ended under a request from which on it is quarantined,
  /// whatever else ends. A request is sent to two endpoints and comes back once
  /// on the users' platform: an innocent one has no try left by then.
  unsigned MostCrashes = 4;
  /// How unlikely the ends under a request must be, if endpoints end by
  /// themselves, for it to be quarantined sooner: one in some hours' requests.
  double Chance = 1e-6;
  /// How long an end waits to be judged, so that all entries have told by then
  /// what else ran there: one gathers its report for 8 ms, and the report may
  /// be lost and told again.
  Duration SettleTime = std::chrono::milliseconds(100);
  /// Over this time before and after an end others are counted.
  Duration RateSpan = std::chrono::seconds(10);
  /// A run counts as this long at least: what was just sent may have met an
  /// endpoint that was ending already.
  Duration ShortestRun = std::chrono::milliseconds(250);
  /// Reports in a row in which a new row is told, as datagrams may be lost.
  unsigned Tellings = 3;
  /// Rows with two ends or more are told again, so many at a time, one after
  /// the other, in a pause of RefreshEvery for each entry: whatever the fleet's
  /// size, an entry hears of 80 a second, some 5 KB, and of none while there
  /// are none.
  Duration RefreshEvery = std::chrono::milliseconds(25);
  std::size_t RefreshRows = 2;
  /// Most rows in a report.
  std::size_t MaxReportRows = 32;
  /// After this time another entry's runs no longer count.
  Duration PeerRunAge = std::chrono::seconds(1);
};

/// What is known against a request.
enum class CrashStanding : std::uint8_t {
  Unknown,
  /// At least one life ended under it.
  Suspect,
  /// It is not to be sent again.
  Quarantined,
};

/// The table of one entry.
class CrashTracker {
public:
  explicit CrashTracker(CrashLimits limits = CrashLimits()) : Limits(limits) {}

  // Commands.

  /// The life \p life ended while \p request had run there for \p ran; its
  /// service has \p endpoints.
  void onCrash(RequestDigest request, LifeDigest life, Duration ran,
               std::size_t endpoints, TimePoint now);
  /// \p request got a whole answer.
  void onWhole(RequestDigest request, TimePoint now);
  /// \p request came.
  void onSeen(RequestDigest request, TimePoint now);
  /// Judges what is due. Returns the requests that are quarantined thereby.
  std::vector<RequestDigest> judge(TimePoint now);
  /// Judges all open rows without waiting, for a lone entry.
  std::vector<RequestDigest> judgeAll(TimePoint now);
  /// What the entry \p peer knows. Returns the requests that are quarantined
  /// thereby.
  std::vector<RequestDigest> merge(const std::string &peer,
                                   const CrashReport &report, TimePoint now);
  /// Requests that an earlier entry had quarantined.
  void restore(const std::vector<RequestDigest> &requests, TimePoint now);
  /// The rows to tell the other entries now; all together are \p entries.
  std::vector<CrashRow> takeRows(std::size_t entries, TimePoint now);
  /// All rows, in reports of at most MaxReportRows; nothing counts as told.
  std::vector<CrashReport> allRows(TimePoint now);

  // Queries.

  CrashStanding standingOf(RequestDigest request) const;
  /// Whether ends under \p request are still to be judged.
  bool isSettling(RequestDigest request) const;
  /// When judge() is next needed, if at all.
  std::optional<TimePoint> nextJudgement() const;
  /// Lives that ended under \p request since it was last cleared.
  unsigned crashesOf(RequestDigest request) const;
  /// How likely as many ends are for a request that has nothing to do with
  /// them.
  double chanceOf(RequestDigest request, TimePoint now) const;
  /// Whether another entry runs \p request.
  bool runsElsewhere(RequestDigest request, TimePoint now) const;
  /// Where other entries run suspects other than \p request.
  std::set<LifeDigest> livesOfOthers(RequestDigest request,
                                     TimePoint now) const;
  /// When \p life ended, if that is known.
  std::optional<TimePoint> endOf(LifeDigest life) const;
  bool isEmpty() const { return Rows.empty(); }
  std::size_t rowCount() const { return Rows.size(); }
  /// The quarantined requests, those seen last first.
  std::vector<RequestDigest> quarantined() const;
  /// Requests that were cleared lately.
  std::vector<RequestDigest> cleared() const;
  /// Grows whenever a request is quarantined, or cleared after that.
  std::uint64_t quarantineChanges() const { return Changes; }

private:
  struct Crash {
    LifeDigest Life;
    TimePoint At;
    Duration Ran{};
  };
  struct Row {
    std::vector<Crash> Crashes;
    std::size_t Endpoints = 1;
    TimePoint SeenAt;
    /// Crashes before do not count.
    std::optional<TimePoint> ClearedAt;
    std::optional<TimePoint> QuarantinedAt;
    /// When its ends are to be judged, if any are new.
    std::optional<TimePoint> JudgeAt;
    unsigned Tellings = 0;
  };
  struct Life {
    TimePoint At;
    /// Whether it ended under a quarantined request.
    bool IsExplained = false;
  };
  struct PeerRuns {
    TimePoint At;
    std::vector<SuspectRun> Runs;
  };

  Row &rowOf(RequestDigest request, TimePoint now);
  void makeRoom(TimePoint now);
  bool addCrash(Row &row, const Crash &crash);
  void addLife(LifeDigest life, TimePoint at);
  bool isProven(RequestDigest request, const Row &row, TimePoint now) const;
  std::vector<RequestDigest> judgeBefore(std::optional<TimePoint> due,
                                         TimePoint now);
  void explain(RequestDigest request, const Row &row);
  bool hasTwin(RequestDigest request, const Row &row) const;
  double chanceOf(const Row &row, TimePoint now) const;
  bool mergeRow(const CrashRow &in, TimePoint now);
  void clear(Row &row, TimePoint at);
  void refresh(std::vector<CrashRow> &out, TimePoint now);
  void forget(TimePoint now);
  CrashRow tell(RequestDigest request, const Row &row, TimePoint now) const;

  CrashLimits Limits;
  std::map<RequestDigest, Row> Rows;
  std::unordered_map<LifeDigest, Life> Lives;
  std::map<std::string, PeerRuns> Peers;
  std::uint64_t Changes = 0;
  TimePoint RefreshAt;
  /// The row told last in its turn.
  RequestDigest Refreshed;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_QUARANTINE_CRASHTRACKER_H
