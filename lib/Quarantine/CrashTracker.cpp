//===- CrashTracker.cpp - finds requests that crash endpoints -------------===//
//
// See CrashTracker.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Quarantine/CrashTracker.h"

#include <algorithm>
#include <tuple>
#include <utility>

using namespace ospreyspur;

/// Added to the number of crashes seen around each crash. Crashes come in
/// waves, and without this the first crashes of a wave would be rated as if
/// endpoints hardly ever crashed.
static constexpr double AssumedCrashes = 2;

void CrashTracker::onCrash(RequestDigest request, IncarnationDigest incarnation,
                           Duration ran, std::size_t endpoints, TimePoint now) {
  if (request == RequestDigest())
    return;
  addIncarnation(incarnation, now);
  auto known = Records.find(request);
  bool isQuarantined = known != Records.end() && known->second.QuarantinedAt;
  if (isQuarantined) {
    known->second.SeenAt = now;
    Incarnations.at(incarnation).IsExplained = true;
    return;
  }
  if (Incarnations.at(incarnation).IsExplained)
    return;
  Record &record = recordOf(request, now);
  record.SeenAt = now;
  record.Endpoints = std::max<std::size_t>(endpoints, 1);
  if (!addCrash(record, {incarnation, now, ran}))
    return;
  record.RemainingAnnouncements = Limits.Announcements;
  record.VerdictAt = now + Limits.SettleTime;
}

bool CrashTracker::onCompleteResponse(RequestDigest request, TimePoint now) {
  auto it = Records.find(request);
  if (it == Records.end())
    return false;
  Record &record = it->second;
  if (record.Crashes.empty() && !record.QuarantinedAt)
    return false;
  clear(record, now);
  record.RemainingAnnouncements = Limits.Announcements;
  return true;
}

void CrashTracker::onEarlierResponse(RequestDigest request, TimePoint at,
                                     bool isAnnounced) {
  auto it = Records.find(request);
  if (it == Records.end() ||
      at <= it->second.ClearedAt.value_or(TimePoint::min()))
    return;
  clear(it->second, at);
  if (isAnnounced)
    it->second.RemainingAnnouncements = Limits.Announcements;
}

void CrashTracker::onReceived(RequestDigest request, TimePoint now) {
  auto it = Records.find(request);
  if (it != Records.end())
    it->second.SeenAt = now;
}

std::vector<RequestDigest> CrashTracker::merge(const std::string &peer,
                                               const CrashReport &report,
                                               TimePoint now) {
  std::erase_if(Peers, [&](const auto &it) {
    return now - it.second.At >= Limits.PeerAttemptMaxAge;
  });
  if (!report.SuspectAttempts.empty())
    Peers[peer] = {now, report.SuspectAttempts};
  else
    Peers.erase(peer);
  std::vector<RequestDigest> out;
  for (const CrashRecord &it : report.Records)
    if (mergeRecord(it, now))
      out.push_back(it.Request);
  return out;
}

/// Returns whether the request is quarantined by this record.
bool CrashTracker::mergeRecord(const CrashRecord &in, TimePoint now) {
  if (in.Request == RequestDigest() || in.SeenAge >= Limits.KeepRecords)
    return false;
  Record &record = recordOf(in.Request, now);
  record.SeenAt = std::max(record.SeenAt, now - in.SeenAge);
  record.Endpoints = std::max(record.Endpoints, in.Endpoints);
  if (in.ClearedAge &&
      now - *in.ClearedAge > record.ClearedAt.value_or(TimePoint()))
    clear(record, now - *in.ClearedAge);
  for (const ReportedCrash &it : in.Crashes) {
    addIncarnation(it.Incarnation, now - it.Age);
    if (Incarnations.at(it.Incarnation).IsExplained)
      continue;
    if (addCrash(record, {it.Incarnation, now - it.Age, it.Ran}) &&
        !record.VerdictAt)
      record.VerdictAt = now + Limits.SettleTime;
  }
  if (record.QuarantinedAt)
    return false;
  TimePoint cleared = record.ClearedAt.value_or(TimePoint());
  bool isOver = in.QuarantinedAge && Limits.MaxQuarantine &&
                *in.QuarantinedAge >= *Limits.MaxQuarantine;
  if (in.QuarantinedAge && !isOver && now - *in.QuarantinedAge > cleared) {
    record.QuarantinedAt = now - *in.QuarantinedAge;
    record.VerdictAt.reset();
    ++Changes;
    attributeCrashes(in.Request);
    return true;
  }
  if (record.Crashes.empty() && !record.ClearedAt)
    Records.erase(in.Request);
  return false;
}

void CrashTracker::restore(const std::vector<RequestDigest> &requests,
                           TimePoint now) {
  for (RequestDigest it : requests) {
    if (it == RequestDigest())
      continue;
    Record &record = recordOf(it, now);
    if (record.QuarantinedAt || record.ClearedAt)
      continue;
    record.SeenAt = now;
    record.QuarantinedAt = now;
    ++Changes;
  }
}

std::vector<CrashRecord> CrashTracker::takeRecords(std::size_t entries,
                                                   TimePoint now) {
  std::vector<CrashRecord> out;
  for (auto &[request, record] : Records) {
    if (record.RemainingAnnouncements == 0 ||
        out.size() >= Limits.MaxReportRecords)
      continue;
    --record.RemainingAnnouncements;
    out.push_back(makeRecord(request, record, now));
  }
  if (Records.empty() || now < RefreshAt)
    return out;
  RefreshAt = now + Limits.RefreshEvery * std::max<std::size_t>(entries, 1);
  expire(now);
  refresh(out, now);
  return out;
}

std::vector<CrashReport> CrashTracker::allRecords(TimePoint now) {
  expire(now);
  std::vector<CrashReport> out;
  for (const auto &[request, record] : Records) {
    if (out.empty() || out.back().Records.size() >= Limits.MaxReportRecords)
      out.emplace_back();
    out.back().Records.push_back(makeRecord(request, record, now));
  }
  return out;
}

/// Adds the next records of the rotation. Records of requests that have a
/// single crash and are not quarantined are left out: an entry that missed the
/// first announcements would not act differently.
void CrashTracker::refresh(std::vector<CrashRecord> &out, TimePoint now) {
  auto it = Records.upper_bound(LastRefreshed);
  std::size_t added = 0;
  for (std::size_t i = 0; i < Records.size() && added < Limits.RefreshRecords;
       ++i) {
    if (it == Records.end())
      it = Records.begin();
    const Record &record = it->second;
    if ((record.QuarantinedAt || record.Crashes.size() > 1) &&
        out.size() < Limits.MaxReportRecords) {
      out.push_back(makeRecord(it->first, record, now));
      LastRefreshed = it->first;
      ++added;
    }
    ++it;
  }
}

CrashRecord CrashTracker::makeRecord(RequestDigest request,
                                     const Record &record,
                                     TimePoint now) const {
  CrashRecord out;
  out.Request = request;
  out.Endpoints = record.Endpoints;
  out.SeenAge = now - record.SeenAt;
  for (const Crash &it : record.Crashes)
    out.Crashes.push_back({it.Incarnation, now - it.At, it.Ran});
  if (record.ClearedAt)
    out.ClearedAge = now - *record.ClearedAt;
  if (record.QuarantinedAt)
    out.QuarantinedAge = now - *record.QuarantinedAt;
  return out;
}

CrashVerdict CrashTracker::verdictOf(RequestDigest request) const {
  auto it = Records.find(request);
  if (it == Records.end())
    return CrashVerdict::Unknown;
  if (it->second.QuarantinedAt)
    return CrashVerdict::Quarantined;
  return it->second.Crashes.empty() ? CrashVerdict::Unknown
                                    : CrashVerdict::Suspect;
}

unsigned CrashTracker::crashesOf(RequestDigest request) const {
  auto it = Records.find(request);
  return it == Records.end() ? 0
                             : static_cast<unsigned>(it->second.Crashes.size());
}

std::vector<CrashTracker::Crash>
CrashTracker::crashListOf(RequestDigest request) const {
  auto it = Records.find(request);
  return it == Records.end() ? std::vector<Crash>() : it->second.Crashes;
}

std::vector<IncarnationDigest>
CrashTracker::incarnationsOf(RequestDigest request) const {
  std::vector<IncarnationDigest> out;
  for (const Crash &it : crashListOf(request))
    out.push_back(it.Incarnation);
  return out;
}

std::vector<RequestDigest>
CrashTracker::requestsAt(IncarnationDigest incarnation) const {
  std::vector<RequestDigest> out;
  for (const auto &[request, record] : Records)
    if (std::any_of(
            record.Crashes.begin(), record.Crashes.end(),
            [&](const Crash &it) { return it.Incarnation == incarnation; }))
      out.push_back(request);
  return out;
}

std::size_t CrashTracker::countUnexplained(TimePoint from,
                                           TimePoint until) const {
  return std::count_if(Incarnations.begin(), Incarnations.end(),
                       [&](const auto &it) {
                         return !it.second.IsExplained &&
                                it.second.At >= from && it.second.At <= until;
                       });
}

std::optional<TimePoint> CrashTracker::clearedAt(RequestDigest request) const {
  auto it = Records.find(request);
  return it == Records.end() ? std::nullopt : it->second.ClearedAt;
}

double CrashTracker::chanceOf(RequestDigest request, TimePoint now) const {
  auto it = Records.find(request);
  return it == Records.end() ? 1 : chanceOf(it->second, now);
}

bool CrashTracker::runsElsewhere(RequestDigest request, TimePoint now) const {
  return std::any_of(Peers.begin(), Peers.end(), [&](const auto &peer) {
    const std::vector<SuspectAttempt> &runs = peer.second.SuspectAttempts;
    return now - peer.second.At < Limits.PeerAttemptMaxAge &&
           std::any_of(runs.begin(), runs.end(), [&](const SuspectAttempt &it) {
             return it.Request == request;
           });
  });
}

std::set<IncarnationDigest>
CrashTracker::incarnationsOfOthers(RequestDigest request, TimePoint now) const {
  std::set<IncarnationDigest> out;
  for (const auto &[name, peer] : Peers) {
    if (now - peer.At >= Limits.PeerAttemptMaxAge)
      continue;
    for (const SuspectAttempt &it : peer.SuspectAttempts)
      if (it.Request != request)
        out.insert(it.Incarnation);
  }
  return out;
}

std::optional<TimePoint>
CrashTracker::crashTimeOf(IncarnationDigest incarnation) const {
  auto it = Incarnations.find(incarnation);
  return it == Incarnations.end() ? std::nullopt : std::optional(it->second.At);
}

std::vector<RequestDigest> CrashTracker::quarantined() const {
  std::vector<std::pair<TimePoint, RequestDigest>> found;
  for (const auto &[request, record] : Records)
    if (record.QuarantinedAt)
      found.emplace_back(record.SeenAt, request);
  std::sort(found.rbegin(), found.rend());
  std::vector<RequestDigest> out;
  out.reserve(found.size());
  for (const auto &[at, request] : found)
    out.push_back(request);
  return out;
}

std::vector<RequestDigest> CrashTracker::cleared() const {
  std::vector<RequestDigest> out;
  for (const auto &[request, record] : Records)
    if (record.ClearedAt && !record.QuarantinedAt)
      out.push_back(request);
  return out;
}

CrashTracker::Record &CrashTracker::recordOf(RequestDigest request,
                                             TimePoint now) {
  auto it = Records.find(request);
  if (it != Records.end())
    return it->second;
  evictIfFull(now);
  return Records[request];
}

/// Callers choose the request bodies, so any number of distinct requests may be
/// running at a crash. Evicts the request with the least evidence against it,
/// among equals the one that was received longest ago.
void CrashTracker::evictIfFull(TimePoint now) {
  if (Records.size() < Limits.MaxRecords)
    return;
  expire(now);
  if (Records.size() < Limits.MaxRecords)
    return;
  auto rank = [](const auto &it) {
    const Record &record = it.second;
    return std::tuple(record.QuarantinedAt.has_value(), record.Crashes.size(),
                      record.SeenAt);
  };
  Records.erase(std::min_element(
      Records.begin(), Records.end(),
      [&](const auto &a, const auto &b) { return rank(a) < rank(b); }));
}

/// Returns whether \p crash was new and has been added.
bool CrashTracker::addCrash(Record &record, const Crash &crash) {
  bool isOver = record.ClearedAt && crash.At <= *record.ClearedAt;
  bool isKnown = std::any_of(
      record.Crashes.begin(), record.Crashes.end(),
      [&](const Crash &it) { return it.Incarnation == crash.Incarnation; });
  if (isOver || isKnown)
    return false;
  if (record.Crashes.size() < Limits.QuarantineCrashes) {
    record.Crashes.push_back(crash);
    return true;
  }
  auto latest = std::max_element(
      record.Crashes.begin(), record.Crashes.end(),
      [](const Crash &a, const Crash &b) { return a.At < b.At; });
  if (!Limits.KeepsLatestCrash || crash.At <= latest->At)
    return false;
  *latest = crash;
  return true;
}

void CrashTracker::addIncarnation(IncarnationDigest incarnation, TimePoint at) {
  auto [it, isNew] =
      Incarnations.try_emplace(incarnation, CrashedIncarnation{at});
  it->second.At = std::min(it->second.At, at);
  if (!isNew || Incarnations.size() <= Limits.MaxIncarnations)
    return;
  auto oldest = Incarnations.end();
  for (auto other = Incarnations.begin(); other != Incarnations.end();
       ++other) {
    bool isOwn = other->first == incarnation;
    if (!isOwn &&
        (oldest == Incarnations.end() || other->second.At < oldest->second.At))
      oldest = other;
  }
  Incarnations.erase(oldest);
}

std::vector<RequestDigest> CrashTracker::updateVerdicts(TimePoint now) {
  return updateDueVerdicts(now, now);
}

std::vector<RequestDigest> CrashTracker::updateAllVerdicts(TimePoint now) {
  return updateDueVerdicts(std::nullopt, now);
}

std::vector<RequestDigest>
CrashTracker::takeDueVerdicts(const std::optional<TimePoint> &due) {
  std::vector<std::pair<std::size_t, RequestDigest>> open;
  for (auto &[request, record] : Records) {
    if (!record.VerdictAt || (due && *due < *record.VerdictAt))
      continue;
    record.VerdictAt.reset();
    open.emplace_back(record.Crashes.size(), request);
  }
  std::sort(open.rbegin(), open.rend());
  std::vector<RequestDigest> out;
  out.reserve(open.size());
  for (const auto &[n, request] : open)
    out.push_back(request);
  return out;
}

/// Decides on the requests whose verdict is due at \p due, or on all with a
/// pending verdict if \p due is empty. Those with the most crashes come first,
/// as crashes that one of them explains are no evidence against the others.
std::vector<RequestDigest>
CrashTracker::updateDueVerdicts(std::optional<TimePoint> due, TimePoint now) {
  std::vector<RequestDigest> out;
  for (RequestDigest request : takeDueVerdicts(due)) {
    auto it = Records.find(request);
    if (it == Records.end() || !hasEnoughEvidence(request, it->second, now))
      continue;
    quarantine(request, now);
    out.push_back(request);
  }
  return out;
}

void CrashTracker::quarantine(RequestDigest request, TimePoint now) {
  Record &record = recordOf(request, now);
  record.SeenAt = now;
  record.QuarantinedAt = now;
  record.VerdictAt.reset();
  record.RemainingAnnouncements = Limits.Announcements;
  ++Changes;
  attributeCrashes(request);
}

void CrashTracker::postponeVerdict(RequestDigest request, TimePoint at) {
  auto it = Records.find(request);
  if (it != Records.end() && !it->second.QuarantinedAt)
    it->second.VerdictAt = at;
}

bool CrashTracker::hasEnoughEvidence(RequestDigest request,
                                     const Record &record,
                                     TimePoint now) const {
  std::size_t n = record.Crashes.size();
  if (record.QuarantinedAt || n < 2)
    return false;
  return n >= Limits.QuarantineCrashes ||
         (!hasCoincidentRequest(request, record) &&
          chanceOf(record, now) <= Limits.MaxInnocentProbability);
}

bool CrashTracker::isVerdictPending(RequestDigest request) const {
  auto it = Records.find(request);
  return it != Records.end() && it->second.VerdictAt;
}

std::optional<TimePoint> CrashTracker::nextVerdictAt() const {
  std::optional<TimePoint> next;
  for (const auto &[request, record] : Records)
    if (record.VerdictAt && (!next || *record.VerdictAt < *next))
      next = record.VerdictAt;
  return next;
}

/// Marks the crashes of \p request as caused by it and removes them from all
/// other requests that are not quarantined.
void CrashTracker::attributeCrashes(RequestDigest request) {
  removeExplained(request, incarnationsOf(request));
}

void CrashTracker::explain(const std::vector<IncarnationDigest> &incarnations) {
  removeExplained(std::nullopt, incarnations);
}

void CrashTracker::removeExplained(
    std::optional<RequestDigest> cause,
    const std::vector<IncarnationDigest> &crashed) {
  for (IncarnationDigest it : crashed)
    if (auto incarnation = Incarnations.find(it);
        incarnation != Incarnations.end())
      incarnation->second.IsExplained = true;
  for (auto it = Records.begin(); it != Records.end();) {
    Record &other = it->second;
    bool isOther = it->first != cause && !other.QuarantinedAt;
    auto n =
        !isOther ? 0 : std::erase_if(other.Crashes, [&](const Crash &crash) {
          return std::find(crashed.begin(), crashed.end(), crash.Incarnation) !=
                 crashed.end();
        });
    bool isDone = n > 0 && other.Crashes.empty() && !other.ClearedAt;
    it = isDone ? Records.erase(it) : std::next(it);
  }
}

/// Whether another request was running at all crashes of \p record. Only a
/// crash while one of the two runs alone shows which one causes crashes.
bool CrashTracker::hasCoincidentRequest(RequestDigest request,
                                        const Record &record) const {
  auto wasAt = [](const Record &other, IncarnationDigest incarnation) {
    return std::any_of(
        other.Crashes.begin(), other.Crashes.end(),
        [&](const Crash &it) { return it.Incarnation == incarnation; });
  };
  return std::any_of(Records.begin(), Records.end(), [&](const auto &it) {
    return it.first != request && !it.second.QuarantinedAt &&
           std::all_of(record.Crashes.begin(), record.Crashes.end(),
                       [&](const Crash &end) {
                         return wasAt(it.second, end.Incarnation);
                       });
  });
}

/// The product, over the crashes of \p record, of the probability that an
/// endpoint crashes for another reason during such an attempt. The crash rate
/// is taken from the unexplained crashes of other incarnations around each
/// crash, so that a request doesn't raise the rate by which it is judged.
double CrashTracker::chanceOf(const Record &record, TimePoint now) const {
  using Seconds = std::chrono::duration<double>;
  double chance = 1;
  for (const Crash &crash : record.Crashes) {
    TimePoint from = crash.At - Limits.RateWindow;
    TimePoint until = std::min(crash.At + Limits.RateWindow, now);
    auto others = std::count_if(
        Incarnations.begin(), Incarnations.end(), [&](const auto &it) {
          bool isOwn = std::any_of(
              record.Crashes.begin(), record.Crashes.end(),
              [&](const Crash &own) { return own.Incarnation == it.first; });
          return !isOwn && !it.second.IsExplained && it.second.At >= from &&
                 it.second.At <= until;
        });
    double span = Seconds(until - from).count();
    double rate =
        (double(others) + AssumedCrashes) / (double(record.Endpoints) * span);
    double ran = Seconds(std::max(crash.Ran, Limits.MinAttemptTime)).count();
    chance *= std::min(1.0, rate * ran);
  }
  return chance;
}

void CrashTracker::clear(Record &record, TimePoint at) {
  record.ClearedAt = at;
  std::erase_if(record.Crashes, [at](const Crash &it) { return it.At <= at; });
  if (record.Crashes.empty())
    record.VerdictAt.reset();
  if (!record.QuarantinedAt || *record.QuarantinedAt > at)
    return;
  record.QuarantinedAt.reset();
  ++Changes;
}

void CrashTracker::expire(TimePoint now) {
  for (auto &[request, record] : Records) {
    if (!Limits.MaxQuarantine || !record.QuarantinedAt ||
        now - *record.QuarantinedAt < *Limits.MaxQuarantine)
      continue;
    record.QuarantinedAt.reset();
    ++Changes;
  }
  std::erase_if(Records, [&](const auto &it) {
    const Record &record = it.second;
    bool isOnlyCleared = record.Crashes.empty() && !record.QuarantinedAt;
    TimePoint cleared = record.ClearedAt.value_or(TimePoint());
    bool isOver = now - record.SeenAt >= Limits.KeepRecords ||
                  (isOnlyCleared && now - cleared >= Limits.KeepCleared);
    Changes += isOver && record.QuarantinedAt ? 1 : 0;
    return isOver;
  });
  std::erase_if(Incarnations, [&](const auto &it) {
    return now - it.second.At >= Limits.KeepRecords;
  });
}
