//===- RateLimits.cpp - rate limits advertised by endpoints ---------------===//
//
// See RateLimits.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Pushback/RateLimits.h"

#include "ospreyspur/Support/Digest.h"

#include <algorithm>
#include <cmath>

using namespace ospreyspur;
using Seconds = std::chrono::duration<double>;

bool RateLimits::isStricter(const std::optional<double> &a,
                            const std::optional<double> &b) {
  return a && (!b || *a < *b);
}

void RateLimits::setMembers(FleetMembers members, TimePoint now) {
  Members = std::move(members);
  std::erase_if(Limits, [now](const auto &it) {
    const Limit &limit = it.second;
    return limit.PerSecond ? now - limit.ReceivedAt >= KeepFor
                           : now - limit.ChangedAt >= KeepLiftFor;
  });
  for (auto &[incarnation, limit] : Limits)
    updateShare(incarnation, limit, now);
}

void RateLimits::updateShare(IncarnationDigest incarnation, Limit &limit,
                             TimePoint now) const {
  if (!limit.PerSecond)
    return;
  limit.Rank = rendezvousRank(Members.Self, Members.Others, incarnation.get());
  double rate = std::max(*limit.PerSecond, MinPerSecond);
  double owners = std::floor(std::max(rate, 1.0));
  limit.Owners = std::min(memberCount(), static_cast<std::size_t>(owners));
  // Entries that are not known yet may rank before this one.
  if (!Members.IsComplete)
    limit.Rank = std::max(limit.Rank, limit.Owners);
  limit.Bucket.setRate(rate / double(limit.Owners), now);
}

void RateLimits::onResponse(IncarnationDigest incarnation,
                            std::optional<double> perSecond, TimePoint sentAt,
                            TimePoint now) {
  if (!perSecond && !Limits.contains(incarnation))
    return;
  if (!apply(incarnation, {perSecond, sentAt, now}, false, now))
    return;
  Limit &limit = Limits.at(incarnation);
  if (now - limit.AnnouncedAt >= ReannounceAfter) {
    limit.RemainingAnnouncements = std::max(limit.RemainingAnnouncements, 1U);
    limit.AnnouncedAt = now;
  }
}

void RateLimits::mergeRecord(const RateLimitRecord &record, TimePoint now) {
  LimitUpdate update{record.PerSecond,
                     now - record.SentAge - EstimatedReportDelay,
                     now - record.ReceivedAge};
  if (!apply(record.Incarnation, update, true, now))
    return;
  Limits.at(record.Incarnation).AnnouncedAt = now;
}

/// Applies \p update unless the known limit is later, or is stricter and of
/// unknown order. Returns whether \p update is in force now.
bool RateLimits::apply(IncarnationDigest incarnation, const LimitUpdate &update,
                       bool isFromPeer, TimePoint now) {
  auto it = Limits.find(incarnation);
  if (it == Limits.end() && Limits.size() >= MaxEndpoints)
    return false;
  if (it == Limits.end())
    it = Limits.emplace(incarnation, Limit(now)).first;
  Limit &limit = it->second;
  std::optional<double> before = limit.PerSecond;
  bool isLater = update.SentAt > limit.ReceivedAt;
  bool isEarlier = limit.SentAt > update.ReceivedAt;
  if (isEarlier || (!isLater && isStricter(before, update.PerSecond)))
    return false;
  limit.PerSecond = update.PerSecond;
  limit.SentAt = std::max(limit.SentAt, update.SentAt);
  limit.ReceivedAt = std::max(limit.ReceivedAt, update.ReceivedAt);
  if (before == update.PerSecond)
    return true;
  limit.ChangedAt = now;
  updateShare(incarnation, limit, now);
  limit.RemainingAnnouncements = isFromPeer ? 0 : ChangeAnnouncements;
  limit.AnnouncedAt = now;
  if (LogRecords.size() < MaxLogRecords)
    LogRecords.push_back({incarnation, before, update.PerSecond,
                          now - update.ReceivedAt, isFromPeer, limit.Rank,
                          limit.Owners});
  return true;
}

std::vector<RateLimitRecord> RateLimits::takeReport(TimePoint now) {
  std::vector<RateLimitRecord> out;
  for (auto &[incarnation, limit] : Limits) {
    if (limit.RemainingAnnouncements == 0 || out.size() >= MaxRecordsPerReport)
      continue;
    --limit.RemainingAnnouncements;
    out.push_back({incarnation, limit.PerSecond, now - limit.SentAt,
                   now - limit.ReceivedAt});
  }
  return out;
}

void RateLimits::announceToNewEntry(TimePoint now) {
  if (now - NewEntryAnnouncedAt < NewEntryAnnounceInterval)
    return;
  NewEntryAnnouncedAt = now;
  for (auto &[incarnation, limit] : Limits)
    if (limit.PerSecond && limit.Rank < NewEntryAnnouncers)
      limit.RemainingAnnouncements = std::max(limit.RemainingAnnouncements, 1U);
}

const RateLimits::Limit *
RateLimits::findActive(IncarnationDigest incarnation) const {
  auto it = Limits.find(incarnation);
  bool isActive = it != Limits.end() && it->second.PerSecond;
  return isActive ? &it->second : nullptr;
}

bool RateLimits::isOwner(const Limit &limit, TimePoint now) {
  Duration unconfirmed = now - limit.ReceivedAt;
  std::size_t extra = 0;
  if (unconfirmed >= ExtraOwnerDelay)
    extra = 1 + static_cast<std::size_t>((unconfirmed - ExtraOwnerDelay) /
                                         ExtraOwnerInterval);
  return limit.Rank < limit.Owners + extra;
}

bool RateLimits::isLimited(IncarnationDigest incarnation) const {
  return findActive(incarnation) != nullptr;
}

bool RateLimits::hasCapacity(IncarnationDigest incarnation,
                             TimePoint now) const {
  const Limit *limit = findActive(incarnation);
  return !limit || (isOwner(*limit, now) && limit->Bucket.hasToken(now));
}

bool RateLimits::take(IncarnationDigest incarnation, TimePoint now) {
  if (!hasCapacity(incarnation, now))
    return false;
  if (isLimited(incarnation))
    Limits.at(incarnation).Bucket.take(now);
  return true;
}

double RateLimits::capacityUntil(IncarnationDigest incarnation, TimePoint now,
                                 TimePoint until) const {
  const Limit *limit = findActive(incarnation);
  if (!limit || !isOwner(*limit, now))
    return 0;
  TimePoint next = limit->Bucket.nextToken(now);
  if (next > until)
    return 0;
  return 1 +
         std::floor(Seconds(until - next).count() * limit->Bucket.perSecond());
}

double RateLimits::advertisedRate(IncarnationDigest incarnation) const {
  const Limit *limit = findActive(incarnation);
  return limit ? *limit->PerSecond : 0;
}

std::optional<TimePoint> RateLimits::nextRoomOf(const Limit &limit,
                                                TimePoint now) {
  if (!limit.PerSecond)
    return std::nullopt;
  TimePoint ownerFrom = now;
  if (!isOwner(limit, now))
    ownerFrom = limit.ReceivedAt + ExtraOwnerDelay +
                ExtraOwnerInterval * int(limit.Rank - limit.Owners);
  TimePoint next = std::max(ownerFrom, limit.Bucket.nextToken(now));
  return next > now ? std::optional(next) : std::nullopt;
}

std::optional<TimePoint> RateLimits::nextCapacityAt(TimePoint now) const {
  std::optional<TimePoint> next;
  for (const auto &[incarnation, limit] : Limits) {
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
