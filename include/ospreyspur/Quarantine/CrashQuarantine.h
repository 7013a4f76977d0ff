//===- CrashQuarantine.h - what must not be sent to endpoints ---*- C++ -*-===//
//
// The requests and prompt parts that crash endpoints, as one entry knows them.
// Passes what explains a crash from one table to the other.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_QUARANTINE_CRASHQUARANTINE_H
#define OSPREYSPUR_QUARANTINE_CRASHQUARANTINE_H

#include "ospreyspur/Quarantine/CrashLogRecord.h"
#include "ospreyspur/Quarantine/CrashTracker.h"
#include "ospreyspur/Quarantine/PartTracker.h"
#include "ospreyspur/Support/ResultCode.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ospreyspur {

/// What identifies a request as a possible cause of crashes.
struct CrashSubject {
  RequestDigest Request;
  std::vector<RequestDigest> Parts;
  ServiceId Service;
};

/// An attempt whose endpoint crashed, or may have.
struct CrashedAttempt {
  CrashSubject Subject;
  /// The caller's label for the attempt, for the log.
  std::string Label;
  Duration Ran{};
  /// Whether the endpoint had been sending the response for ProgressTime.
  bool HasProgressed = false;
  /// Whether the connection was open for ProgressTime after the first byte.
  bool HasOutlastedStart = false;
};

/// The crash records and quarantines of one entry.
class CrashQuarantine {
public:
  /// A part of a prompt that crashes endpoints does so as they begin to
  /// respond. An endpoint that has been responding for this time is not crashed
  /// by it.
  static constexpr Duration ProgressTime = std::chrono::milliseconds(500);

  /// \p salt differs between entries.
  explicit CrashQuarantine(std::uint64_t salt,
                           CrashLimits requests = CrashLimits(),
                           PartLimits parts = PartLimits())
      : Requests(requests), Parts(salt, parts) {}

  // Commands.

  void onReceived(const CrashSubject &subject, TimePoint now);
  /// Records that the endpoint \p id, whose service has \p endpoints endpoints,
  /// crashed under \p attempt.
  void onCrash(const CrashedAttempt &attempt, const EndpointId &id,
               IncarnationDigest incarnation, std::size_t endpoints,
               TimePoint now);
  /// Records that an endpoint has not crashed for ProgressTime after it began
  /// to respond to \p subject.
  void onProgress(const CrashSubject &subject, TimePoint now) {
    Parts.onProgress(subject.Parts, subject.Service, now);
  }
  /// Records that \p subject got a complete response; \p isSuccess if it is no
  /// error. Returns whether that clears anything.
  bool onComplete(const CrashSubject &subject, bool isSuccess, TimePoint now);
  /// Reaches the verdicts that are due. \p isAlone if there is no other entry
  /// whose reports they have to wait for. Returns whether there is a new
  /// quarantine.
  bool updateVerdicts(bool isAlone, TimePoint now);
  /// Merges the report of the entry \p peer. Returns whether there is a new
  /// quarantine.
  bool merge(const std::string &peer, const CrashReport &report, TimePoint now);
  /// Restores what was quarantined before this process started.
  void restore(const std::vector<RequestDigest> &digests, TimePoint now);
  /// Returns the records to announce to the other entries now. \p entries is
  /// the number of entries, including this one.
  CrashReport takeReport(std::size_t entries, TimePoint now);
  /// Returns all records, in reports of bounded size.
  std::vector<CrashReport> allReports(TimePoint now);
  /// Returns the crashes and quarantines since the last call, for the log.
  std::vector<CrashLogRecord> takeLogRecords() {
    return std::exchange(LogRecords, {});
  }

  // Queries.

  /// Returns why \p subject must not be sent; Ok if it may be.
  ResultCode codeOf(const CrashSubject &subject) const;
  /// Returns the quarantined part of \p subject; empty if there is none.
  std::optional<RequestDigest> findPart(const CrashSubject &subject) const {
    return Parts.findQuarantined(subject.Parts, subject.Service);
  }
  /// When updateVerdicts() is due next; empty if no verdict is pending.
  std::optional<TimePoint> nextVerdictAt() const;
  bool isEmpty() const {
    return Requests.isEmpty() && Parts.crashes().isEmpty();
  }
  /// The quarantined parts and requests, of each kind the most recently
  /// received ones first.
  std::vector<RequestDigest> quarantined() const;
  /// The parts and requests that were cleared recently.
  std::vector<RequestDigest> cleared() const;
  /// Grows whenever quarantined() changes.
  std::uint64_t changes() const {
    return Requests.quarantineChanges() + Parts.crashes().quarantineChanges();
  }
  const CrashTracker &requests() const { return Requests; }
  const PartTracker &parts() const { return Parts; }

private:
  void logQuarantine(RequestDigest request, bool isFromPeer, TimePoint now);
  void logPartQuarantine(RequestDigest part, bool isFromPeer);

  CrashTracker Requests;
  PartTracker Parts;
  std::vector<CrashLogRecord> LogRecords;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_QUARANTINE_CRASHQUARANTINE_H
