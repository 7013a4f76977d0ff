//===- CrashQuarantine.cpp - what must not be sent to endpoints -----------===//
//
// See CrashQuarantine.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Quarantine/CrashQuarantine.h"

#include <algorithm>

using namespace ospreyspur;

void CrashQuarantine::onReceived(const CrashSubject &subject, TimePoint now) {
  Requests.onReceived(subject.Request, now);
  Parts.onReceived(subject.Parts, subject.Service, now);
}

void CrashQuarantine::onCrash(const CrashedAttempt &attempt,
                              const EndpointId &id,
                              IncarnationDigest incarnation,
                              std::size_t endpoints, TimePoint now) {
  const CrashSubject &subject = attempt.Subject;
  RequestDigest request = subject.Request;
  Requests.onCrash(request, incarnation, attempt.Ran, endpoints, now);
  if (!attempt.HasProgressed)
    Parts.onCrash(subject.Parts, subject.Service, incarnation, attempt.Ran,
                  endpoints, now);
  if (findPart(subject))
    Requests.explain({incarnation});
  auto [part, partCrashes] = Parts.findWorst(subject.Parts, subject.Service);
  LogRecords.push_back({request, attempt.Label, id, attempt.Ran,
                        Requests.crashesOf(request),
                        Requests.chanceOf(request, now),
                        Requests.verdictOf(request), false, part, partCrashes});
}

bool CrashQuarantine::onComplete(const CrashSubject &subject, bool isSuccess,
                                 TimePoint now) {
  bool hasCleared = Requests.onCompleteResponse(subject.Request, now);
  if (!isSuccess)
    return hasCleared;
  return Parts.onComplete(subject.Parts, subject.Service, now) || hasCleared;
}

bool CrashQuarantine::updateVerdicts(bool isAlone, TimePoint now) {
  std::vector<RequestDigest> requests =
      isAlone ? Requests.updateAllVerdicts(now) : Requests.updateVerdicts(now);
  for (RequestDigest it : requests) {
    Parts.explain(Requests.incarnationsOf(it));
    logQuarantine(it, false, now);
  }
  std::vector<PartTracker::Verdict> parts = Parts.updateVerdicts(now);
  for (const PartTracker::Verdict &it : parts) {
    Requests.explain(it.Crashed);
    logPartQuarantine(it.Part, false);
  }
  return !requests.empty() || !parts.empty();
}

bool CrashQuarantine::merge(const std::string &peer, const CrashReport &report,
                            TimePoint now) {
  std::vector<RequestDigest> requests = Requests.merge(peer, report, now);
  for (RequestDigest it : requests) {
    Parts.explain(Requests.incarnationsOf(it));
    logQuarantine(it, true, now);
  }
  std::vector<PartTracker::Verdict> parts =
      Parts.merge(peer, report.Parts, now);
  for (const PartTracker::Verdict &it : parts) {
    Requests.explain(it.Crashed);
    logPartQuarantine(it.Part, true);
  }
  return !requests.empty() || !parts.empty();
}

void CrashQuarantine::restore(const std::vector<RequestDigest> &digests,
                              TimePoint now) {
  // The store doesn't tell the kinds apart. A digest of one kind identifies
  // nothing of the other.
  Requests.restore(digests, now);
  Parts.restore(digests, now);
}

CrashReport CrashQuarantine::takeReport(std::size_t entries, TimePoint now) {
  return {
      Requests.takeRecords(entries, now), {}, Parts.takeRecords(entries, now)};
}

std::vector<CrashReport> CrashQuarantine::allReports(TimePoint now) {
  std::vector<CrashReport> out = Requests.allRecords(now);
  for (CrashReport &it : Parts.allRecords(now))
    out.push_back({{}, {}, std::move(it.Records)});
  return out;
}

ResultCode CrashQuarantine::codeOf(const CrashSubject &subject) const {
  if (Requests.verdictOf(subject.Request) == CrashVerdict::Quarantined)
    return ResultCode::RequestQuarantined;
  return findPart(subject) ? ResultCode::PartQuarantined : ResultCode::Ok;
}

std::optional<TimePoint> CrashQuarantine::nextVerdictAt() const {
  std::optional<TimePoint> next = Requests.nextVerdictAt();
  std::optional<TimePoint> part = Parts.nextVerdictAt();
  return !next || (part && *part < *next) ? part : next;
}

static std::vector<RequestDigest>
concatenate(std::vector<RequestDigest> out,
            const std::vector<RequestDigest> &more) {
  out.insert(out.end(), more.begin(), more.end());
  return out;
}

std::vector<RequestDigest> CrashQuarantine::quarantined() const {
  return concatenate(Parts.crashes().quarantined(), Requests.quarantined());
}

std::vector<RequestDigest> CrashQuarantine::cleared() const {
  return concatenate(Parts.crashes().cleared(), Requests.cleared());
}

void CrashQuarantine::logQuarantine(RequestDigest request, bool isFromPeer,
                                    TimePoint now) {
  LogRecords.push_back(
      {request, "", EndpointId(), Duration(), Requests.crashesOf(request),
       Requests.chanceOf(request, now), CrashVerdict::Quarantined, isFromPeer});
}

void CrashQuarantine::logPartQuarantine(RequestDigest part, bool isFromPeer) {
  CrashLogRecord record;
  record.Part = part;
  record.Verdict = CrashVerdict::Quarantined;
  record.IsFromPeer = isFromPeer;
  LogRecords.push_back(std::move(record));
}
