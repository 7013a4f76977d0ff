//===- RateLimits.cpp - rate limits advertised by endpoints ---------------===//
//
// See RateLimits.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Pushback/RateLimits.h"

#include <algorithm>
#include <cmath>

using namespace ospreyspur;
using Seconds = std::chrono::duration<double>;

/// Returns the rendezvous hashing weight of \p entry for \p life. The finalizer
/// of SplitMix64 gives the same weight in every process and build.
static std::uint64_t weigh(std::uint64_t entry, LifeDigest life) {
  std::uint64_t n = entry ^ (life.get() * 0x9e3779b97f4a7c15U);
  n = (n ^ (n >> 30U)) * 0xbf58476d1ce4e5b9U;
  n = (n ^ (n >> 27U)) * 0x94d049bb133111ebU;
  return n ^ (n >> 31U);
}

bool RateLimits::isStricter(const std::optional<double> &a,
                            const std::optional<double> &b) {
  return a && (!b || *a < *b);
}

void RateLimits::setMembers(FleetMembers members, TimePoint now) {
  Members = std::move(members);
  std::erase_if(Limits, [now](const auto &it) {
    const Limit &limit = it.second;
    return limit.PerSecond ? now - limit.HeardAt >= KeepFor
                           : now - limit.ChangedAt >= KeepLiftFor;
  });
  for (auto &[life, limit] : Limits)
    share(life, limit, now);
}

void RateLimits::share(LifeDigest life, Limit &limit, TimePoint now) const {
  if (!limit.PerSecond)
    return;
  std::uint64_t own = weigh(Members.Self, life);
  limit.Rank =
      std::count_if(Members.Others.begin(), Members.Others.end(),
                    [&](std::uint64_t it) { return weigh(it, life) > own; });
  double rate = std::max(*limit.PerSecond, MinPerSecond);
  double holders = std::floor(std::max(rate, 1.0));
  limit.Holders = std::min(memberCount(), static_cast<std::size_t>(holders));
  // Entries that are not known yet may rank before this one.
  if (!Members.IsComplete)
    limit.Rank = std::max(limit.Rank, limit.Holders);
  limit.Bucket.setRate(rate / double(limit.Holders), now);
}

void RateLimits::onAnswer(LifeDigest life, std::optional<double> perSecond,
                          TimePoint sentAt, TimePoint now) {
  if (!perSecond && !Limits.contains(life))
    return;
  if (!apply(life, {perSecond, sentAt, now}, false, now))
    return;
  Limit &limit = Limits.at(life);
  if (now - limit.ToldAt >= RetellAfter) {
    limit.Tellings = std::max(limit.Tellings, 1U);
    limit.ToldAt = now;
  }
}

void RateLimits::mergeRow(const RateLimitRow &row, TimePoint now) {
  Statement said{row.PerSecond, now - row.SentAge - ReportDelay,
                 now - row.HeardAge};
  if (!apply(row.Life, said, true, now))
    return;
  Limits.at(row.Life).ToldAt = now;
}

/// Applies \p said unless the known limit is later, or is stricter and of
/// unknown order. Returns whether \p said is in force now.
bool RateLimits::apply(LifeDigest life, const Statement &said, bool isTold,
                       TimePoint now) {
  auto it = Limits.find(life);
  if (it == Limits.end() && Limits.size() >= MaxEndpoints)
    return false;
  if (it == Limits.end())
    it = Limits.emplace(life, Limit(now)).first;
  Limit &limit = it->second;
  std::optional<double> before = limit.PerSecond;
  bool isLater = said.SentAt > limit.HeardAt;
  bool isEarlier = limit.SentAt > said.HeardAt;
  if (isEarlier || (!isLater && isStricter(before, said.PerSecond)))
    return false;
  limit.PerSecond = said.PerSecond;
  limit.SentAt = std::max(limit.SentAt, said.SentAt);
  limit.HeardAt = std::max(limit.HeardAt, said.HeardAt);
  if (before == said.PerSecond)
    return true;
  limit.ChangedAt = now;
  share(life, limit, now);
  limit.Tellings = isTold ? 0 : ChangeTellings;
  limit.ToldAt = now;
  if (Notes.size() < MaxNotes)
    Notes.push_back({life, before, said.PerSecond, now - said.HeardAt, isTold,
                     limit.Rank, limit.Holders});
  return true;
}

std::vector<RateLimitRow> RateLimits::takeReport(TimePoint now) {
  std::vector<RateLimitRow> out;
  for (auto &[life, limit] : Limits) {
    if (limit.Tellings == 0 || out.size() >= MaxRowsPerReport)
      continue;
    --limit.Tellings;
    out.push_back(
        {life, limit.PerSecond, now - limit.SentAt, now - limit.HeardAt});
  }
  return out;
}

void RateLimits::tellAgain(TimePoint now) {
  if (now - ToldAgainAt < TellAgainAfter)
    return;
  ToldAgainAt = now;
  for (auto &[life, limit] : Limits)
    if (limit.PerSecond && limit.Rank < Tellers)
      limit.Tellings = std::max(limit.Tellings, 1U);
}

const RateLimits::Limit *RateLimits::findActive(LifeDigest life) const {
  auto it = Limits.find(life);
  bool isActive = it != Limits.end() && it->second.PerSecond;
  return isActive ? &it->second : nullptr;
}

bool RateLimits::isHolder(const Limit &limit, TimePoint now) {
  Duration quiet = now - limit.HeardAt;
  std::size_t extra = 0;
  if (quiet >= QuietTime)
    extra =
        1 + static_cast<std::size_t>((quiet - QuietTime) / ExtraHolderPause);
  return limit.Rank < limit.Holders + extra;
}

bool RateLimits::isLimited(LifeDigest life) const {
  return findActive(life) != nullptr;
}

bool RateLimits::hasRoom(LifeDigest life, TimePoint now) const {
  const Limit *limit = findActive(life);
  return !limit || (isHolder(*limit, now) && limit->Bucket.hasToken(now));
}

bool RateLimits::take(LifeDigest life, TimePoint now) {
  if (!hasRoom(life, now))
    return false;
  if (isLimited(life))
    Limits.at(life).Bucket.take(now);
  return true;
}

double RateLimits::roomUntil(LifeDigest life, TimePoint now,
                             TimePoint until) const {
  const Limit *limit = findActive(life);
  if (!limit || !isHolder(*limit, now))
    return 0;
  TimePoint next = limit->Bucket.nextToken(now);
  if (next > until)
    return 0;
  return 1 +
         std::floor(Seconds(until - next).count() * limit->Bucket.perSecond());
}

double RateLimits::namedRate(LifeDigest life) const {
  const Limit *limit = findActive(life);
  return limit ? *limit->PerSecond : 0;
}

std::optional<TimePoint> RateLimits::nextRoomOf(const Limit &limit,
                                                TimePoint now) {
  if (!limit.PerSecond)
    return std::nullopt;
  TimePoint holds = now;
  if (!isHolder(limit, now))
    holds = limit.HeardAt + QuietTime +
            ExtraHolderPause * int(limit.Rank - limit.Holders);
  TimePoint next = std::max(holds, limit.Bucket.nextToken(now));
  return next > now ? std::optional(next) : std::nullopt;
}

std::optional<TimePoint> RateLimits::nextRoom(TimePoint now) const {
  std::optional<TimePoint> next;
  for (const auto &[life, limit] : Limits) {
    std::optional<TimePoint> due = nextRoomOf(limit, now);
    if (due && (!next || *due < *next))
      next = due;
  }
  return next;
}

std::size_t RateLimits::limitedCount() const {
  return std::count_if(Limits.begin(), Limits.end(), [](const auto &it) {
    return it.second.PerSecond.has_value();
  });
}
