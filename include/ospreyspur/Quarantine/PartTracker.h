//===- PartTracker.h - finds prompt parts that crash endpoints --*- C++ -*-===//
//
// Finds the part of a prompt that crashes every endpoint which runs a request
// with it, though no two of these requests are alike. Evidence is collected for
// each part of each request that was running on a crashed endpoint.
//
// Most of these parts are innocent, and some are in nearly all requests. A part
// is quarantined only if several endpoints crashed with it, no request with it
// has made progress since, and no likelier causes explain these crashes: parts
// that are rare and not known to have been run without a crash, and of two such
// parts the one with more crashes.
//
// Evidence is kept by part and service, as the endpoints of another service may
// run the part. A quarantined part is held back from all services that are not
// known to run it.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_QUARANTINE_PARTTRACKER_H
#define OSPREYSPUR_QUARANTINE_PARTTRACKER_H

#include "ospreyspur/Quarantine/CrashTracker.h"
#include "ospreyspur/Quarantine/SoundParts.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ospreyspur {

/// Bounds of a PartTracker.
struct PartLimits {
  CrashLimits Crashes = makeCrashLimits();
  /// Crashes closer together than this may have one cause other than a part,
  /// such as the loss of a rack, and count as one event.
  Duration EventGap = std::chrono::milliseconds(50);
  /// A part is quarantined at this number of events.
  unsigned MinEvents = 3;
  /// One more event is needed for each such number of endpoints that crashed
  /// without the part at about the same time, but at most MaxExtraEvents more.
  std::size_t CrashesPerExtraEvent = 2;
  std::size_t MaxExtraEvents = 2;
  /// At this number of crashes a rare part is quarantined whatever their times,
  /// and other parts can be.
  std::size_t ManyCrashes = 5;
  /// Least span of the crashes of a part that has been run before.
  Duration MinSpan = std::chrono::seconds(1);
  /// A part is common if one in this number of requests has it.
  unsigned CommonShare = 5;
  /// An entry reaches no verdicts for this time after its start, until it knows
  /// which parts are common and which have been run.
  Duration WarmUp = std::chrono::seconds(2);
  /// How long the verdict waits if two parts are equally likely causes of many
  /// crashes.
  Duration TieDelay = std::chrono::seconds(1);
  /// About this many entries tell the others that they have run a part that was
  /// at a crash.
  std::size_t RepliesPerPart = 4;

  static CrashLimits makeCrashLimits() {
    CrashLimits limits;
    limits.QuarantineCrashes = 12;
    limits.KeepsLatestCrash = true;
    limits.SettleTime = std::chrono::milliseconds(200);
    limits.MaxReportRecords = 16;
    limits.MaxQuarantine = std::chrono::hours(1);
    return limits;
  }
};

/// The prompt parts of one entry's requests.
class PartTracker {
public:
  using Parts = std::vector<RequestDigest>;

  /// A new quarantine.
  struct Verdict {
    RequestDigest Part;
    /// The incarnations that crashed with the part.
    std::vector<IncarnationDigest> Crashed;
  };

  /// \p salt differs between entries.
  explicit PartTracker(std::uint64_t salt, PartLimits limits = PartLimits())
      : Limits(limits), Salt(salt), Crashes(limits.Crashes) {}

  // Commands.

  /// Records that a request with \p parts to \p service was received.
  void onReceived(const Parts &parts, const ServiceId &service, TimePoint now);
  /// Records that \p incarnation of \p service crashed after it had run a
  /// request with \p parts for \p ran. The request had made no progress.
  void onCrash(const Parts &parts, const ServiceId &service,
               IncarnationDigest incarnation, Duration ran,
               std::size_t endpoints, TimePoint now);
  /// Records that an endpoint has been sending the response to a request with
  /// \p parts for some time.
  void onProgress(const Parts &parts, const ServiceId &service, TimePoint now);
  /// Records that a request with \p parts got a complete response. Returns
  /// whether that clears any of them.
  bool onComplete(const Parts &parts, const ServiceId &service, TimePoint now);
  /// Another cause is known for the crashes of \p incarnations.
  void explain(const std::vector<IncarnationDigest> &incarnations) {
    Crashes.explain(incarnations);
  }
  /// Decides on all parts whose verdict is due. Returns those that are
  /// quarantined now.
  std::vector<Verdict> updateVerdicts(TimePoint now);
  /// Merges the records of the entry \p peer. Returns the parts that are
  /// quarantined by it.
  std::vector<Verdict> merge(const std::string &peer,
                             const std::vector<CrashRecord> &records,
                             TimePoint now);
  /// Restores parts that were quarantined before this process started.
  void restore(const std::vector<RequestDigest> &parts, TimePoint now) {
    Crashes.restore(parts, now);
  }
  /// Returns the records to announce to the other entries now. \p entries is
  /// the number of entries, including this one.
  std::vector<CrashRecord> takeRecords(std::size_t entries, TimePoint now) {
    Entries = entries;
    return Crashes.takeRecords(entries, now);
  }
  /// Returns all records, in reports of bounded size.
  std::vector<CrashReport> allRecords(TimePoint now) {
    return Crashes.allRecords(now);
  }

  // Queries.

  /// Returns the first of \p parts that is quarantined for \p service; empty
  /// if none is.
  std::optional<RequestDigest> findQuarantined(const Parts &parts,
                                               const ServiceId &service) const;
  /// Returns the part among \p parts with the most crashes, and their number; 0
  /// if none has any.
  std::pair<RequestDigest, unsigned> findWorst(const Parts &parts,
                                               const ServiceId &service) const;
  std::optional<TimePoint> nextVerdictAt() const {
    return Crashes.nextVerdictAt();
  }
  const CrashTracker &crashes() const { return Crashes; }
  const SoundParts &sound() const { return Sound; }

private:
  /// What this entry knows of a part that was running on a crashed endpoint.
  struct Observation {
    /// The part, whichever the service; 0 until a request with it is received.
    RequestDigest Part;
    /// The requests with the part since the first crash, and the number of all
    /// requests that were received before it.
    unsigned Received = 0;
    std::uint64_t TotalBefore = 0;
    bool HasOwnCrash = false;
  };
  enum class Judgement : std::uint8_t { NotProven, Postponed, Guilty };
  using CrashList = std::vector<CrashTracker::Crash>;
  /// What tells parts that were at the same crashes apart.
  struct Standing {
    /// Whether the part is common or has been run without a crash.
    bool IsLikelySound = false;
    TimePoint LastRunAt;
    std::size_t Crashes = 0;
  };

  void begin(TimePoint now);
  Observation &observe(RequestDigest key);
  void pruneObservations();
  CrashList observedCrashes(RequestDigest key) const;
  Judgement judge(RequestDigest key, TimePoint now) const;
  std::optional<TimePoint> lastRunAt(RequestDigest key) const;
  bool isLikelySound(RequestDigest key) const;
  void tellIfRun(const CrashRecord &record, TimePoint now);
  unsigned countEvents(const CrashList &crashes) const;
  std::size_t countOtherCrashes(const CrashList &crashes) const;
  bool isProven(RequestDigest key, const CrashList &crashes) const;
  Judgement compareWithOthers(RequestDigest key, const CrashList &crashes,
                              TimePoint now) const;
  bool comeTogether(RequestDigest a, RequestDigest b) const;
  Standing standingOf(RequestDigest key) const;
  static bool isLikelier(const Standing &a, const Standing &b);
  unsigned receivedOf(RequestDigest key) const;

  PartLimits Limits;
  std::uint64_t Salt;
  /// The number of entries, as of the last report.
  std::size_t Entries = 1;
  CrashTracker Crashes;
  SoundParts Sound;
  std::unordered_map<RequestDigest, Observation> Observations;
  std::uint64_t Total = 0;
  std::optional<TimePoint> Begin;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_QUARANTINE_PARTTRACKER_H
