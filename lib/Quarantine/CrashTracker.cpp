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

void CrashTracker::onCrash(RequestDigest request, LifeDigest incarnation,
                           Duration ran, std::size_t endpoints, TimePoint now) {
  if (request == RequestDigest())
    return;
  addIncarnation(incarnation, now);
  auto known = Rows.find(request);
  bool isQuarantined = known != Rows.end() && known->second.QuarantinedAt;
  if (isQuarantined) {
    known->second.SeenAt = now;
    Incarnations.at(incarnation).IsExplained = true;
    return;
  }
  if (Incarnations.at(incarnation).IsExplained)
    return;
  Row &row = rowOf(request, now);
  row.SeenAt = now;
  row.Endpoints = std::max<std::size_t>(endpoints, 1);
  if (!addCrash(row, {incarnation, now, ran}))
    return;
  row.RemainingAnnouncements = Limits.Tellings;
  row.VerdictAt = now + Limits.SettleTime;
}

void CrashTracker::onWhole(RequestDigest request, TimePoint now) {
  auto it = Rows.find(request);
  if (it == Rows.end())
    return;
  Row &row = it->second;
  if (row.Crashes.empty() && !row.QuarantinedAt)
    return;
  clear(row, now);
  row.RemainingAnnouncements = Limits.Tellings;
}

void CrashTracker::onSeen(RequestDigest request, TimePoint now) {
  auto it = Rows.find(request);
  if (it != Rows.end())
    it->second.SeenAt = now;
}

std::vector<RequestDigest> CrashTracker::merge(const std::string &peer,
                                               const CrashReport &report,
                                               TimePoint now) {
  std::erase_if(Peers, [&](const auto &it) {
    return now - it.second.At >= Limits.PeerAttemptMaxAge;
  });
  if (!report.Runs.empty())
    Peers[peer] = {now, report.Runs};
  else
    Peers.erase(peer);
  std::vector<RequestDigest> out;
  for (const CrashRow &it : report.Rows)
    if (mergeRecord(it, now))
      out.push_back(it.Request);
  return out;
}

/// Returns whether the request is quarantined by this record.
bool CrashTracker::mergeRecord(const CrashRow &in, TimePoint now) {
  if (in.Request == RequestDigest() || in.SeenAge >= Limits.KeepRows)
    return false;
  Row &row = rowOf(in.Request, now);
  row.SeenAt = std::max(row.SeenAt, now - in.SeenAge);
  row.Endpoints = std::max(row.Endpoints, in.Endpoints);
  if (in.ClearedAge &&
      now - *in.ClearedAge > row.ClearedAt.value_or(TimePoint()))
    clear(row, now - *in.ClearedAge);
  for (const CrashTold &it : in.Crashes) {
    addIncarnation(it.Life, now - it.Age);
    if (Incarnations.at(it.Life).IsExplained)
      continue;
    if (addCrash(row, {it.Life, now - it.Age, it.Ran}) && !row.VerdictAt)
      row.VerdictAt = now + Limits.SettleTime;
  }
  if (row.QuarantinedAt)
    return false;
  TimePoint cleared = row.ClearedAt.value_or(TimePoint());
  if (in.QuarantinedAge && now - *in.QuarantinedAge > cleared) {
    row.QuarantinedAt = now - *in.QuarantinedAge;
    row.VerdictAt.reset();
    ++Changes;
    attributeCrashes(in.Request, row);
    return true;
  }
  if (row.Crashes.empty() && !row.ClearedAt)
    Rows.erase(in.Request);
  return false;
}

void CrashTracker::restore(const std::vector<RequestDigest> &requests,
                           TimePoint now) {
  for (RequestDigest it : requests) {
    if (it == RequestDigest())
      continue;
    Row &row = rowOf(it, now);
    if (row.QuarantinedAt || row.ClearedAt)
      continue;
    row.SeenAt = now;
    row.QuarantinedAt = now;
    ++Changes;
  }
}

std::vector<CrashRow> CrashTracker::takeRows(std::size_t entries,
                                             TimePoint now) {
  std::vector<CrashRow> out;
  for (auto &[request, row] : Rows) {
    if (row.RemainingAnnouncements == 0 ||
        out.size() >= Limits.MaxReportRecords)
      continue;
    --row.RemainingAnnouncements;
    out.push_back(makeRecord(request, row, now));
  }
  if (Rows.empty() || now < RefreshAt)
    return out;
  RefreshAt = now + Limits.RefreshEvery * std::max<std::size_t>(entries, 1);
  expire(now);
  refresh(out, now);
  return out;
}

std::vector<CrashReport> CrashTracker::allRows(TimePoint now) {
  expire(now);
  std::vector<CrashReport> out;
  for (const auto &[request, row] : Rows) {
    if (out.empty() || out.back().Rows.size() >= Limits.MaxReportRecords)
      out.emplace_back();
    out.back().Rows.push_back(makeRecord(request, row, now));
  }
  return out;
}

/// Adds the next records of the rotation. Records of requests that have a
/// single crash and are not quarantined are left out: an entry that missed the
/// first announcements would not act differently.
void CrashTracker::refresh(std::vector<CrashRow> &out, TimePoint now) {
  auto it = Rows.upper_bound(LastRefreshed);
  std::size_t added = 0;
  for (std::size_t i = 0; i < Rows.size() && added < Limits.RefreshRecords;
       ++i) {
    if (it == Rows.end())
      it = Rows.begin();
    const Row &row = it->second;
    if ((row.QuarantinedAt || row.Crashes.size() > 1) &&
        out.size() < Limits.MaxReportRecords) {
      out.push_back(makeRecord(it->first, row, now));
      LastRefreshed = it->first;
      ++added;
    }
    ++it;
  }
}

CrashRow CrashTracker::makeRecord(RequestDigest request, const Row &row,
                                  TimePoint now) const {
  CrashRow out;
  out.Request = request;
  out.Endpoints = row.Endpoints;
  out.SeenAge = now - row.SeenAt;
  for (const Crash &it : row.Crashes)
    out.Crashes.push_back({it.Life, now - it.At, it.Ran});
  if (row.ClearedAt)
    out.ClearedAge = now - *row.ClearedAt;
  if (row.QuarantinedAt)
    out.QuarantinedAge = now - *row.QuarantinedAt;
  return out;
}

CrashStanding CrashTracker::standingOf(RequestDigest request) const {
  auto it = Rows.find(request);
  if (it == Rows.end())
    return CrashStanding::Unknown;
  if (it->second.QuarantinedAt)
    return CrashStanding::Quarantined;
  return it->second.Crashes.empty() ? CrashStanding::Unknown
                                    : CrashStanding::Suspect;
}

unsigned CrashTracker::crashesOf(RequestDigest request) const {
  auto it = Rows.find(request);
  return it == Rows.end() ? 0
                          : static_cast<unsigned>(it->second.Crashes.size());
}

double CrashTracker::chanceOf(RequestDigest request, TimePoint now) const {
  auto it = Rows.find(request);
  return it == Rows.end() ? 1 : chanceOf(it->second, now);
}

bool CrashTracker::runsElsewhere(RequestDigest request, TimePoint now) const {
  return std::any_of(Peers.begin(), Peers.end(), [&](const auto &peer) {
    const std::vector<SuspectRun> &runs = peer.second.Runs;
    return now - peer.second.At < Limits.PeerAttemptMaxAge &&
           std::any_of(runs.begin(), runs.end(), [&](const SuspectRun &it) {
             return it.Request == request;
           });
  });
}

std::set<LifeDigest> CrashTracker::livesOfOthers(RequestDigest request,
                                                 TimePoint now) const {
  std::set<LifeDigest> out;
  for (const auto &[name, peer] : Peers) {
    if (now - peer.At >= Limits.PeerAttemptMaxAge)
      continue;
    for (const SuspectRun &it : peer.Runs)
      if (it.Request != request)
        out.insert(it.Life);
  }
  return out;
}

std::optional<TimePoint> CrashTracker::endOf(LifeDigest incarnation) const {
  auto it = Incarnations.find(incarnation);
  return it == Incarnations.end() ? std::nullopt : std::optional(it->second.At);
}

std::vector<RequestDigest> CrashTracker::quarantined() const {
  std::vector<std::pair<TimePoint, RequestDigest>> found;
  for (const auto &[request, row] : Rows)
    if (row.QuarantinedAt)
      found.emplace_back(row.SeenAt, request);
  std::sort(found.rbegin(), found.rend());
  std::vector<RequestDigest> out;
  out.reserve(found.size());
  for (const auto &[at, request] : found)
    out.push_back(request);
  return out;
}

std::vector<RequestDigest> CrashTracker::cleared() const {
  std::vector<RequestDigest> out;
  for (const auto &[request, row] : Rows)
    if (row.ClearedAt && !row.QuarantinedAt)
      out.push_back(request);
  return out;
}

CrashTracker::Row &CrashTracker::rowOf(RequestDigest request, TimePoint now) {
  auto it = Rows.find(request);
  if (it != Rows.end())
    return it->second;
  evictIfFull(now);
  return Rows[request];
}

/// Callers choose the request bodies, so any number of distinct requests may be
/// running at a crash. Evicts the request with the least evidence against it,
/// among equals the one that was received longest ago.
void CrashTracker::evictIfFull(TimePoint now) {
  if (Rows.size() < Limits.MaxRows)
    return;
  expire(now);
  if (Rows.size() < Limits.MaxRows)
    return;
  auto rank = [](const auto &it) {
    const Row &row = it.second;
    return std::tuple(row.QuarantinedAt.has_value(), row.Crashes.size(),
                      row.SeenAt);
  };
  Rows.erase(std::min_element(
      Rows.begin(), Rows.end(),
      [&](const auto &a, const auto &b) { return rank(a) < rank(b); }));
}

/// Returns whether \p crash was new and has been added.
bool CrashTracker::addCrash(Row &row, const Crash &crash) {
  bool isOver = row.ClearedAt && crash.At <= *row.ClearedAt;
  bool isKnown =
      std::any_of(row.Crashes.begin(), row.Crashes.end(),
                  [&](const Crash &it) { return it.Life == crash.Life; });
  if (isOver || isKnown || row.Crashes.size() >= Limits.QuarantineCrashes)
    return false;
  row.Crashes.push_back(crash);
  return true;
}

void CrashTracker::addIncarnation(LifeDigest incarnation, TimePoint at) {
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

std::vector<RequestDigest> CrashTracker::judge(TimePoint now) {
  return updateDueVerdicts(now, now);
}

std::vector<RequestDigest> CrashTracker::judgeAll(TimePoint now) {
  return updateDueVerdicts(std::nullopt, now);
}

/// Decides on the requests whose verdict is due at \p due, or on all with a
/// pending verdict if \p due is empty.
std::vector<RequestDigest>
CrashTracker::updateDueVerdicts(std::optional<TimePoint> due, TimePoint now) {
  // Requests with the most crashes come first, as crashes that one of them
  // explains are no evidence against the others.
  std::vector<std::pair<std::size_t, RequestDigest>> open;
  for (auto &[request, row] : Rows) {
    if (!row.VerdictAt || (due && *due < *row.VerdictAt))
      continue;
    row.VerdictAt.reset();
    open.emplace_back(row.Crashes.size(), request);
  }
  std::sort(open.rbegin(), open.rend());
  std::vector<RequestDigest> out;
  for (const auto &[n, request] : open) {
    auto it = Rows.find(request);
    if (it == Rows.end() || !hasEnoughEvidence(request, it->second, now))
      continue;
    it->second.QuarantinedAt = now;
    it->second.RemainingAnnouncements = Limits.Tellings;
    ++Changes;
    attributeCrashes(request, it->second);
    out.push_back(request);
  }
  return out;
}

bool CrashTracker::hasEnoughEvidence(RequestDigest request, const Row &row,
                                     TimePoint now) const {
  std::size_t n = row.Crashes.size();
  if (row.QuarantinedAt || n < 2)
    return false;
  return n >= Limits.QuarantineCrashes ||
         (!hasCoincidentRequest(request, row) &&
          chanceOf(row, now) <= Limits.Chance);
}

bool CrashTracker::isSettling(RequestDigest request) const {
  auto it = Rows.find(request);
  return it != Rows.end() && it->second.VerdictAt;
}

std::optional<TimePoint> CrashTracker::nextJudgement() const {
  std::optional<TimePoint> next;
  for (const auto &[request, row] : Rows)
    if (row.VerdictAt && (!next || *row.VerdictAt < *next))
      next = row.VerdictAt;
  return next;
}

/// Marks the crashes of \p row as caused by \p request and removes them from
/// all other requests that are not quarantined.
void CrashTracker::attributeCrashes(RequestDigest request, const Row &row) {
  std::vector<LifeDigest> crashed;
  for (const Crash &it : row.Crashes) {
    crashed.push_back(it.Life);
    if (auto incarnation = Incarnations.find(it.Life);
        incarnation != Incarnations.end())
      incarnation->second.IsExplained = true;
  }
  for (auto it = Rows.begin(); it != Rows.end();) {
    Row &other = it->second;
    bool isOther = it->first != request && !other.QuarantinedAt;
    auto n =
        !isOther ? 0 : std::erase_if(other.Crashes, [&](const Crash &crash) {
          return std::find(crashed.begin(), crashed.end(), crash.Life) !=
                 crashed.end();
        });
    bool isDone = n > 0 && other.Crashes.empty() && !other.ClearedAt;
    it = isDone ? Rows.erase(it) : std::next(it);
  }
}

/// Whether another request was running at all crashes of \p row. Only a
/// crash while one of the two runs alone shows which one causes crashes.
bool CrashTracker::hasCoincidentRequest(RequestDigest request,
                                        const Row &row) const {
  auto wasAt = [](const Row &other, LifeDigest incarnation) {
    return std::any_of(other.Crashes.begin(), other.Crashes.end(),
                       [&](const Crash &it) { return it.Life == incarnation; });
  };
  return std::any_of(Rows.begin(), Rows.end(), [&](const auto &it) {
    return it.first != request && !it.second.QuarantinedAt &&
           std::all_of(
               row.Crashes.begin(), row.Crashes.end(),
               [&](const Crash &end) { return wasAt(it.second, end.Life); });
  });
}

/// The product, over the crashes of \p row, of the probability that an endpoint
/// crashes for another reason during such an attempt. The crash rate is taken
/// from the unexplained crashes of other incarnations around each crash, so
/// that a request doesn't raise the rate by which it is judged.
double CrashTracker::chanceOf(const Row &row, TimePoint now) const {
  using Seconds = std::chrono::duration<double>;
  double chance = 1;
  for (const Crash &crash : row.Crashes) {
    TimePoint from = crash.At - Limits.RateWindow;
    TimePoint until = std::min(crash.At + Limits.RateWindow, now);
    auto others = std::count_if(
        Incarnations.begin(), Incarnations.end(), [&](const auto &it) {
          bool isOwn = std::any_of(
              row.Crashes.begin(), row.Crashes.end(),
              [&](const Crash &own) { return own.Life == it.first; });
          return !isOwn && !it.second.IsExplained && it.second.At >= from &&
                 it.second.At <= until;
        });
    double span = Seconds(until - from).count();
    double rate =
        (double(others) + AssumedCrashes) / (double(row.Endpoints) * span);
    double ran = Seconds(std::max(crash.Ran, Limits.MinAttemptTime)).count();
    chance *= std::min(1.0, rate * ran);
  }
  return chance;
}

void CrashTracker::clear(Row &row, TimePoint at) {
  row.ClearedAt = at;
  row.VerdictAt.reset();
  std::erase_if(row.Crashes, [at](const Crash &it) { return it.At <= at; });
  if (!row.QuarantinedAt || *row.QuarantinedAt > at)
    return;
  row.QuarantinedAt.reset();
  ++Changes;
}

void CrashTracker::expire(TimePoint now) {
  std::erase_if(Rows, [&](const auto &it) {
    const Row &row = it.second;
    bool isOnlyCleared = row.Crashes.empty() && !row.QuarantinedAt;
    TimePoint cleared = row.ClearedAt.value_or(TimePoint());
    bool isOver = now - row.SeenAt >= Limits.KeepRows ||
                  (isOnlyCleared && now - cleared >= Limits.KeepCleared);
    Changes += isOver && row.QuarantinedAt ? 1 : 0;
    return isOver;
  });
  std::erase_if(Incarnations, [&](const auto &it) {
    return now - it.second.At >= Limits.KeepRows;
  });
}
