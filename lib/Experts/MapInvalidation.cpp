//===- MapInvalidation.cpp - ends a change where tokens are not checked ---===//
//
// The part of MapSwitch that ends an unfinished change on ranks that do not
// check fencing tokens. See MapSwitch.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/MapSwitch.h"

#include <algorithm>

using namespace ospreyspur;

/// The newest version that a rank reports.
static MapVersion newestOf(const RankStatus &status) {
  MapVersion out = std::max(status.Map, status.Prepared.value_or(status.Map));
  return status.Armed ? std::max(out, status.Armed->Version) : out;
}

/// Whether a report shows orders of a later coordinator.
bool MapSwitch::isSuperseded(const RankStatus &status) const {
  return newestOf(status).get() >> OrderBits > Lease;
}

/// Lets an unfinished change go forward if every rank is armed for it,
/// otherwise begins to invalidate it.
void MapSwitch::resolveUnchecked(TimePoint now) {
  std::optional<ArmedMap> first = Ranks.begin()->second.Armed;
  bool areAllArmed = first && allRanks([&](const RankStatus &it) {
                       return it.Armed == first;
                     });
  if (!areAllArmed) {
    beginInvalidating(now);
    return;
  }
  Version = first->Version;
  Step = first->Step;
  release(true, now);
}

/// The map in force must be known as a whole.
void MapSwitch::beginInvalidating(TimePoint now) {
  bool isKnown =
      allRanks([](const RankStatus &it) { return !it.Placement.empty(); });
  if (!isKnown) {
    enterIdle(now);
    return;
  }
  enter(SwitchPhase::Invalidating, now);
  LastReplies.clear();
  Version = nextVersion();
  PlannedMap = std::make_shared<const GroupPlacement>(placement());
  advanceInvalidating(now);
}

/// Whether the rank has prepared the map in force: no earlier order to arm it
/// can be executed any more.
bool MapSwitch::isInvalidated(const RankStatus &status) const {
  return status.Prepared == Version && !status.Armed;
}

/// Whether some rank can never be armed for \p version, so that no coordinator
/// can find every rank armed for it.
bool MapSwitch::isAbandoned(MapVersion version) const {
  return !allRanks(
      [version](const RankStatus &it) { return newestOf(it) <= version; });
}

/// Gives each rank its next order; ends the phase once every rank is
/// invalidated, or if late orders have armed them all.
void MapSwitch::advanceInvalidating(TimePoint now) {
  for (const auto &[rank, status] : Ranks) {
    if (isInvalidated(status))
      Orders.erase(rank);
    else if (!Orders.contains(rank) && mayOrderAgain(rank, now) &&
             !invalidate(rank, status, now)) {
      beginInvalidating(now);
      return;
    }
  }
  if (allRanks([this](const RankStatus &it) { return isInvalidated(it); }))
    armHeldStep(now);
  else if (Orders.empty() &&
           allRanks([](const RankStatus &it) { return it.Armed.has_value(); }))
    enterIdle(now);
}

/// Whether the last order to the rank, if any, needs another one: a newer
/// report shows that it was refused or has had no effect.
bool MapSwitch::mayOrderAgain(unsigned rank, TimePoint now) const {
  auto it = LastReplies.find(rank);
  if (it == LastReplies.end())
    return true;
  const RankReplied &reply = it->second;
  return SeenAt.at(rank) > reply.At &&
         (reply.Result == MapOrderResult::Refused ||
          now - reply.At >= Limits.ReportDelay);
}

/// A rank that is armed refuses another map, so it is disarmed first, once the
/// change is abandoned. Returns false if the rank, though not armed, has not
/// prepared the map: it needs a newer version.
bool MapSwitch::invalidate(unsigned rank, const RankStatus &status,
                           TimePoint now) {
  if (status.Armed) {
    if (isAbandoned(status.Armed->Version))
      order(rank, MapOrderKind::Disarm, status.Armed->Version, Step, now);
    return true;
  }
  if (LastReplies.contains(rank))
    return false;
  order(rank, MapOrderKind::Prepare, Version, Step, now);
  return true;
}

/// Called for a reply to the pending order of \p rank.
void MapSwitch::onInvalidationReply(unsigned rank, MapOrderResult result,
                                    TimePoint now) {
  MapOrderKind kind = Orders.at(rank).Order.Kind;
  Orders.erase(rank);
  if (kind == MapOrderKind::Disarm && result == MapOrderResult::Done) {
    Ranks.at(rank).Armed.reset();
    LastReplies.erase(rank);
  } else {
    LastReplies[rank] = {now, result};
  }
  advanceInvalidating(now);
}

/// Arms every rank for the map in force at the first step that is held. If none
/// is, the change has ended.
void MapSwitch::armHeldStep(TimePoint now) {
  std::optional<StepNumber> held;
  for (const auto &[rank, status] : Ranks)
    if (status.Held)
      held = std::min(held.value_or(*status.Held), *status.Held);
  if (!held) {
    enterIdle(now);
    return;
  }
  Step = *held;
  HeldAt = now;
  beginArming(now);
}
