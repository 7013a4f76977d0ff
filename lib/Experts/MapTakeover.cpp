//===- MapTakeover.cpp - resolves an unfinished change --------------------===//
//
// The part of MapSwitch with which a new coordinator invalidates its
// predecessors' orders and ends the change that they left unfinished. See
// MapSwitch.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/MapSwitch.h"

#include <algorithm>

using namespace ospreyspur;

/// Raises the fencing token of the ranks that have not yet executed or refused
/// an order of this coordinator. Returns false if there are none.
bool MapSwitch::beginClaiming(TimePoint now) {
  if (Ranks.empty())
    return false;
  FormationEpoch formation = Ranks.begin()->second.Formation;
  if (formation != TokenFormation)
    RanksWithToken.clear();
  TokenFormation = formation;
  std::vector<unsigned> open;
  for (const auto &[rank, status] : Ranks)
    if (!RanksWithToken.contains(rank) && status.Formation == formation)
      open.push_back(rank);
  if (open.empty())
    return false;
  Formation = formation;
  BeganAt = now;
  enter(SwitchPhase::Claiming, now);
  // No rank is ever armed for the map that it is formed with, so this order has
  // no other effect.
  for (unsigned rank : open)
    order(rank, MapOrderKind::Disarm, MapVersion(0), StepNumber(0), now);
  return true;
}

/// Whether a change that an earlier coordinator left unfinished can be
/// resolved: all ranks are reachable, or all but the rank that is armed last
/// while another rank is not armed for the newest version.
bool MapSwitch::canDecide(TimePoint now) const {
  if (!isSurveyed())
    return false;
  if (isComplete(now))
    return true;
  // Without fencing, nothing is known of the orders to an unreachable rank.
  if (!ChecksFences)
    return false;
  std::optional<unsigned> unreachable = unreachableRank(now);
  MapVersion newest = newestVersion();
  if (!unreachable || newest == MapVersion(0) || isNewestArmed())
    return false;
  return coordinatorOf(newest, Ranks.begin()->second.Size) == *unreachable;
}

/// The unreachable rank, if there is exactly one and all others are reachable.
std::optional<unsigned> MapSwitch::unreachableRank(TimePoint now) const {
  if (Ranks.empty() || now - LeadingSince < Limits.UnreachableAfter)
    return std::nullopt;
  const RankStatus &any = Ranks.begin()->second;
  std::optional<unsigned> out;
  for (unsigned rank = 0; rank < any.Size; ++rank) {
    auto it = Ranks.find(rank);
    bool isReachable =
        it != Ranks.end() && now - SeenAt.at(rank) < Limits.StatusAge;
    if (isReachable && it->second.Formation == any.Formation &&
        it->second.IsOpen)
      continue;
    // A rank that reported under this lease may have received orders.
    if (out || it != Ranks.end())
      return std::nullopt;
    out = rank;
  }
  return out;
}

/// The newest version that any reachable rank is armed for or has prepared.
MapVersion MapSwitch::newestVersion() const {
  MapVersion out;
  for (const auto &[rank, status] : Ranks) {
    if (status.Armed)
      out = std::max(out, status.Armed->Version);
    if (status.Prepared)
      out = std::max(out, *status.Prepared);
  }
  return out;
}

/// Whether every reachable rank is armed for the newest version.
bool MapSwitch::isNewestArmed() const {
  MapVersion newest = newestVersion();
  return allRanks([newest](const RankStatus &it) {
    return it.Armed && it.Armed->Version == newest;
  });
}

/// Looks for a change that an earlier coordinator left unfinished.
void MapSwitch::advanceIdle(TimePoint now) {
  if ((ChecksFences && beginClaiming(now)) || !canDecide(now))
    return;
  std::optional<StepNumber> armed;
  std::set<StepNumber> held;
  for (const auto &[rank, status] : Ranks) {
    if (status.Armed)
      armed = armed ? std::min(*armed, status.Armed->Step) : status.Armed->Step;
    if (status.Held)
      held.insert(*status.Held);
  }
  if (!armed && held.empty())
    return;
  Formation = Ranks.begin()->second.Formation;
  BeganAt = now;
  if (!ChecksFences) {
    resolveUnchecked(now);
    return;
  }
  Step = armed ? *armed : *held.begin();
  // A rank holds only one step: other held steps are released first.
  held.erase(Step);
  if (!held.empty()) {
    releaseOthers(now);
    return;
  }
  enter(SwitchPhase::Freezing, now);
  orderAll(MapOrderKind::Hold, now);
}

void MapSwitch::releaseOthers(TimePoint now) {
  IsChanging = false;
  enter(SwitchPhase::Releasing, now);
  for (const auto &[rank, status] : Ranks)
    if (status.Held && *status.Held != Step)
      order(rank, MapOrderKind::Release, Version, *status.Held, now);
}

/// Called in Freezing once every Hold order has its reply. Releases the step if
/// all ranks have the same armed state; otherwise disarms those that are armed.
/// Only this coordinator's orders can change the ranks' states now.
void MapSwitch::advanceFrozen(TimePoint now) {
  if (!canDecide(now))
    return;
  std::optional<ArmedMap> first = Ranks.begin()->second.Armed;
  bool areEqual =
      allRanks([&](const RankStatus &it) { return it.Armed == first; });
  if (areEqual) {
    if (first)
      Version = first->Version;
    release(first.has_value(), now);
    return;
  }
  beginDisarming(newestVersion(), false, now);
}
