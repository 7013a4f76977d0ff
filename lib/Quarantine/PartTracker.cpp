//===- PartTracker.cpp - finds prompt parts that crash endpoints ----------===//
//
// See PartTracker.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Quarantine/PartTracker.h"

#include <algorithm>
#include <map>
#include <utility>

using namespace ospreyspur;

/// Observations beyond this number are pruned to those with crash records.
static constexpr std::size_t MaxObservations = 512;

/// Returns the digest that identifies \p part at \p service.
static RequestDigest keyOf(RequestDigest part, const ServiceId &service) {
  return RequestDigest(part.get() ^ digest64(service.get()));
}

/// Whether a part that was there at \p n of \p total crashes may have caused
/// all of them. Reports of the others may have been lost.
static bool wasAtNearlyAll(std::size_t n, std::size_t total) {
  return 4 * n >= 3 * total;
}

void PartTracker::begin(TimePoint now) {
  if (!Begin)
    Begin = now;
}

PartTracker::Observation &PartTracker::observe(RequestDigest key) {
  if (auto it = Observations.find(key); it != Observations.end())
    return it->second;
  if (Observations.size() >= MaxObservations)
    pruneObservations();
  Observation &seen = Observations[key];
  seen.TotalBefore = Total;
  return seen;
}

void PartTracker::pruneObservations() {
  std::erase_if(Observations, [this](const auto &it) {
    return Crashes.verdictOf(it.first) == CrashVerdict::Unknown;
  });
}

void PartTracker::onReceived(const Parts &parts, const ServiceId &service,
                             TimePoint now) {
  begin(now);
  ++Total;
  if (Crashes.isEmpty())
    return;
  for (RequestDigest part : parts) {
    RequestDigest key = keyOf(part, service);
    Crashes.onReceived(part, now);
    Crashes.onReceived(key, now);
    if (Crashes.verdictOf(key) == CrashVerdict::Unknown)
      continue;
    Observation &seen = observe(key);
    seen.Part = part;
    ++seen.Received;
  }
}

void PartTracker::onCrash(const Parts &parts, const ServiceId &service,
                          IncarnationDigest incarnation, Duration ran,
                          std::size_t endpoints, TimePoint now) {
  begin(now);
  if (std::optional<RequestDigest> cause = findQuarantined(parts, service)) {
    Crashes.onCrash(*cause, incarnation, ran, endpoints, now);
    Crashes.explain({incarnation});
    return;
  }
  for (RequestDigest part : parts) {
    RequestDigest key = keyOf(part, service);
    Crashes.onCrash(key, incarnation, ran, endpoints, now);
    if (Crashes.crashesOf(key) == 0)
      continue;
    if (const SoundParts::Times *sound = Sound.find(key);
        sound && sound->CompletedAt)
      Crashes.onEarlierResponse(key, *sound->CompletedAt, true);
    Observation &seen = observe(key);
    seen.Part = part;
    seen.HasOwnCrash = true;
  }
}

void PartTracker::onProgress(const Parts &parts, const ServiceId &service,
                             TimePoint now) {
  for (RequestDigest it : parts)
    Sound.onProgress(keyOf(it, service), now);
}

bool PartTracker::onComplete(const Parts &parts, const ServiceId &service,
                             TimePoint now) {
  bool hasCleared = false;
  for (RequestDigest part : parts) {
    RequestDigest key = keyOf(part, service);
    Sound.onComplete(key, now);
    if (Crashes.isEmpty())
      continue;
    hasCleared = Crashes.onCompleteResponse(key, now) || hasCleared;
    bool runsHere = Crashes.verdictOf(key) != CrashVerdict::Quarantined &&
                    Crashes.clearedAt(key);
    if (runsHere && Crashes.verdictOf(part) == CrashVerdict::Quarantined)
      hasCleared = Crashes.onCompleteResponse(part, now) || hasCleared;
  }
  return hasCleared;
}

std::vector<PartTracker::Verdict> PartTracker::updateVerdicts(TimePoint now) {
  std::vector<Verdict> out;
  for (RequestDigest key : Crashes.takeDueVerdicts(now)) {
    Judgement result = judge(key, now);
    if (result == Judgement::Postponed)
      Crashes.postponeVerdict(key, now + Limits.TieDelay);
    if (result != Judgement::Guilty)
      continue;
    RequestDigest part = Observations.at(key).Part;
    Crashes.quarantine(key, now);
    Crashes.quarantine(part, now);
    out.push_back({part, Crashes.incarnationsOf(key)});
  }
  return out;
}

std::vector<PartTracker::Verdict>
PartTracker::merge(const std::string &peer,
                   const std::vector<CrashRecord> &records, TimePoint now) {
  begin(now);
  std::vector<Verdict> out;
  std::vector<RequestDigest> quarantined =
      Crashes.merge(peer, {records, {}}, now);
  for (const CrashRecord &it : records)
    tellIfRun(it, now);
  for (RequestDigest key : quarantined) {
    // The peer may lack what this entry knows: that a request with the part
    // has completed since the crashes.
    CrashList crashes = Crashes.crashListOf(key);
    const SoundParts::Times *sound = Sound.find(key);
    bool isContested =
        !crashes.empty() && sound && sound->CompletedAt &&
        std::all_of(crashes.begin(), crashes.end(),
                    [&](const auto &it) { return it.At < sound->CompletedAt; });
    if (isContested)
      Crashes.onCompleteResponse(key, now);
    else
      out.push_back({key, Crashes.incarnationsOf(key)});
  }
  return out;
}

/// Tells the other entries when a request with the part of \p record completed
/// here, if the sender does not know of a later one. Some entries do so for
/// all.
void PartTracker::tellIfRun(const CrashRecord &record, TimePoint now) {
  const SoundParts::Times *sound = Sound.find(record.Request);
  bool isNews =
      sound && sound->CompletedAt && !record.Crashes.empty() &&
      (!record.ClearedAge || now - *record.ClearedAge < *sound->CompletedAt);
  if (!isNews)
    return;
  std::size_t others =
      std::max<std::size_t>(Entries / Limits.RepliesPerPart, 1);
  bool isMine = (record.Request.get() ^ Salt) % others == 0;
  Crashes.onEarlierResponse(record.Request, *sound->CompletedAt, isMine);
}

/// Returns the crashes of \p key since a request with it last made progress, as
/// far as this entry was there to see whether one does.
PartTracker::CrashList PartTracker::observedCrashes(RequestDigest key) const {
  CrashList out = Crashes.crashListOf(key);
  TimePoint from = std::max(*Begin, lastRunAt(key).value_or(*Begin));
  std::erase_if(out, [from](const auto &it) { return it.At < from; });
  std::sort(out.begin(), out.end(),
            [](const auto &a, const auto &b) { return a.At < b.At; });
  return out;
}

PartTracker::Judgement PartTracker::judge(RequestDigest key,
                                          TimePoint now) const {
  auto seen = Observations.find(key);
  // An entry that has received no request with the part leaves the verdict to
  // others.
  bool isSeen = seen != Observations.end() &&
                seen->second.Part != RequestDigest() &&
                (seen->second.Received > 0 || seen->second.HasOwnCrash);
  CrashList crashes = observedCrashes(key);
  if (!isSeen || crashes.empty())
    return Judgement::NotProven;
  if (now - *Begin < Limits.WarmUp)
    return Judgement::Postponed;
  if (!isProven(key, crashes))
    return Judgement::NotProven;
  return compareWithOthers(key, crashes, now);
}

/// Returns when a request with the part last made progress, as far as known.
std::optional<TimePoint> PartTracker::lastRunAt(RequestDigest key) const {
  std::optional<TimePoint> out = Crashes.clearedAt(key);
  if (const SoundParts::Times *sound = Sound.find(key))
    out = std::max(out.value_or(TimePoint::min()), sound->ProgressAt);
  return out;
}

/// Whether the part is common or has been run without a crash.
bool PartTracker::isLikelySound(RequestDigest key) const {
  if (lastRunAt(key))
    return true;
  auto it = Observations.find(key);
  return it != Observations.end() &&
         std::uint64_t(it->second.Received) * Limits.CommonShare >
             Total - it->second.TotalBefore;
}

unsigned PartTracker::countEvents(const CrashList &crashes) const {
  unsigned n = 0;
  TimePoint last;
  for (const CrashTracker::Crash &it : crashes) {
    if (n > 0 && it.At - last < Limits.EventGap)
      continue;
    last = it.At;
    ++n;
  }
  return n;
}

/// Returns the number of endpoints that crashed without the part around its
/// \p crashes.
std::size_t PartTracker::countOtherCrashes(const CrashList &crashes) const {
  std::size_t all = Crashes.countUnexplained(
      crashes.front().At - Limits.Crashes.RateWindow, crashes.back().At);
  return all - std::min(all, crashes.size());
}

/// Whether \p crashes are too many for a part that is not their cause.
bool PartTracker::isProven(RequestDigest key, const CrashList &crashes) const {
  unsigned events = countEvents(crashes);
  std::size_t n = crashes.size();
  std::size_t others = countOtherCrashes(crashes);
  bool hasMany = events >= Limits.MinEvents && n >= Limits.ManyCrashes;
  if (lastRunAt(key))
    return hasMany && wasAtNearlyAll(n, n + others) &&
           crashes.back().At - crashes.front().At >= Limits.MinSpan;
  if (isLikelySound(key))
    return hasMany;
  std::size_t extra =
      std::min(others / Limits.CrashesPerExtraEvent, Limits.MaxExtraEvents);
  return events >= Limits.MinEvents + extra ||
         (n >= Limits.ManyCrashes && others < n);
}

/// Rules \p key out if likelier causes explain nearly all of its crashes. If
/// another part is as likely, more crashes have to tell. If many did not and
/// the two come in the same requests, one that all entries choose is held back,
/// after a delay in which another entry may decide.
PartTracker::Judgement PartTracker::compareWithOthers(RequestDigest key,
                                                      const CrashList &crashes,
                                                      TimePoint now) const {
  Standing own = standingOf(key);
  std::map<RequestDigest, std::size_t> tied;
  std::size_t explained = 0;
  for (const CrashTracker::Crash &it : crashes) {
    bool hasCause = false;
    for (RequestDigest other : Crashes.requestsAt(it.Incarnation)) {
      if (other == key)
        continue;
      Standing standing = standingOf(other);
      hasCause |= isLikelier(standing, own) && standing.Crashes > 1;
      if (!isLikelier(standing, own) && !isLikelier(own, standing))
        ++tied[other];
    }
    explained += hasCause;
  }
  bool isExplained = own.IsLikelySound
                         ? 2 * explained >= crashes.size()
                         : wasAtNearlyAll(explained, crashes.size());
  if (isExplained)
    return Judgement::NotProven;
  Judgement out = Judgement::Guilty;
  for (const auto &[other, n] : tied) {
    if (!wasAtNearlyAll(n, crashes.size()))
      continue;
    if (crashes.size() < Limits.ManyCrashes || !comeTogether(key, other))
      return Judgement::NotProven;
    if (now - crashes.back().At < Limits.TieDelay)
      out = Judgement::Postponed;
    else if (other < key)
      return Judgement::NotProven;
  }
  return out;
}

/// Whether about the same requests have the parts \p a and \p b.
bool PartTracker::comeTogether(RequestDigest a, RequestDigest b) const {
  auto [least, most] = std::minmax({receivedOf(a), receivedOf(b)});
  return wasAtNearlyAll(least, most);
}

PartTracker::Standing PartTracker::standingOf(RequestDigest key) const {
  return {isLikelySound(key), lastRunAt(key).value_or(TimePoint::min()),
          observedCrashes(key).size()};
}

/// Whether a part with the standing \p a is a likelier cause than one with \p b
/// of crashes at which both were.
bool PartTracker::isLikelier(const Standing &a, const Standing &b) {
  if (a.IsLikelySound != b.IsLikelySound)
    return b.IsLikelySound;
  if (!a.IsLikelySound)
    return a.Crashes > b.Crashes;
  return a.LastRunAt < b.LastRunAt && wasAtNearlyAll(a.Crashes, b.Crashes);
}

unsigned PartTracker::receivedOf(RequestDigest key) const {
  auto it = Observations.find(key);
  return it == Observations.end() ? 0 : it->second.Received;
}

std::optional<RequestDigest>
PartTracker::findQuarantined(const Parts &parts,
                             const ServiceId &service) const {
  if (Crashes.isEmpty())
    return std::nullopt;
  for (RequestDigest part : parts) {
    RequestDigest key = keyOf(part, service);
    bool isHeldEverywhere =
        Crashes.verdictOf(part) == CrashVerdict::Quarantined;
    if (Crashes.verdictOf(key) == CrashVerdict::Quarantined ||
        (isHeldEverywhere && !lastRunAt(key)))
      return part;
  }
  return std::nullopt;
}

std::pair<RequestDigest, unsigned>
PartTracker::findWorst(const Parts &parts, const ServiceId &service) const {
  std::pair<RequestDigest, unsigned> out;
  for (RequestDigest it : parts)
    if (unsigned n = Crashes.crashesOf(keyOf(it, service)); n > out.second)
      out = {it, n};
  return out;
}
