//===- SlowRanks.cpp - ranks that delay their whole group -----------------===//
//
// See SlowRanks.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Scheduling/SlowRanks.h"

#include "ospreyspur/Direct/EndpointTable.h"
#include "ospreyspur/Direct/FleetConfig.h"
#include "ospreyspur/Scheduling/RankCost.h"

#include <algorithm>

using namespace ospreyspur;

static GroupGaps::Key groupOf(const EndpointState &state) {
  return {state.Record.Service, state.Group};
}

void SlowRanks::setConfig(std::shared_ptr<const FleetConfig> config) {
  if (config == Config)
    return;
  Config = std::move(config);
  GapTargets.clear();
  for (const RouteRule &route : Config->Routes) {
    if (route.GapTarget <= Duration::zero())
      continue;
    for (const WeightedService &it : route.Services) {
      auto [at, isNew] = GapTargets.emplace(it.Service, route.GapTarget);
      at->second = std::min(at->second, route.GapTarget);
    }
  }
}

bool SlowRanks::isSlow(const EndpointState &state, TimePoint now) const {
  double slowdown = EndpointTable::slowdownOf(state, now);
  const ServiceRule *service =
      Config ? Config->findService(state.Record.Service) : nullptr;
  auto target = GapTargets.find(state.Record.Service);
  if (slowdown < EndpointTable::MinSlowdown || state.Group.get().empty() ||
      !service || !service->Engine || target == GapTargets.end())
    return false;
  const EngineCosts &engine = *service->Engine;
  return rankTime(engine, slowdown, 1) +
             expertTime(engine, state.Record.Slots) >
         target->second;
}

void SlowRanks::update(TimePoint now) {
  if (Table.slowed().empty() && Slow.empty())
    return;
  std::set<EndpointId> before = std::exchange(Slow, {});
  SlowInGroup.clear();
  for (const auto &[id, state] : Table.slowed()) {
    if (!isSlow(*state, now))
      continue;
    Slow.insert(id);
    ++SlowInGroup[groupOf(*state)];
    auto [it, isNew] = Details.try_emplace(id);
    if (isNew) {
      it->second.Since = now;
      record(id, now);
    }
    it->second.MaxRunning =
        std::max(it->second.MaxRunning, Table.totalLoad(*state, now).Running);
  }
  for (const EndpointId &it : before)
    if (!Slow.contains(it)) {
      record(it, now);
      Details.erase(it);
    }
  computeAddedTimes(now);
}

void SlowRanks::computeAddedTimes(TimePoint now) {
  AddedTimes.clear();
  for (const EndpointId &id : Slow) {
    const EndpointState &state = *Table.find(id);
    const SlowRank &rank = Details.at(id);
    if (!isToBeEmptied(state) || now - rank.Since >= MaxEmptyingTime)
      continue;
    const EngineCosts &engine =
        *Config->findService(state.Record.Service)->Engine;
    AddedTime &out = AddedTimes[groupOf(state)];
    out.Least = rankTime(engine, 1, state.Record.Slots);
    // The measured gap is a mean of iterations, some of which began while the
    // rank had its requests.
    Duration slow = rankTime(engine, EndpointTable::slowdownOf(state, now),
                             rank.MaxRunning);
    out.Added =
        std::max(out.Added, slow - rankTime(engine, 1, rank.MaxRunning));
  }
}

bool SlowRanks::isToBeEmptied(const EndpointState &state) const {
  if (!Slow.contains(state.Record.Id))
    return false;
  // If half of the ranks are slow, the others cannot take their requests.
  auto it = SlowInGroup.find(groupOf(state));
  return it != SlowInGroup.end() && it->second * 2 < Table.groupSize(state);
}

Duration SlowRanks::gapWithout(const EndpointState &state,
                               Duration measured) const {
  if (AddedTimes.empty())
    return measured;
  auto it = AddedTimes.find(groupOf(state));
  if (it == AddedTimes.end())
    return measured;
  // The other ranks need their own time, even if a reported slowdown is too
  // high.
  const AddedTime &time = it->second;
  return std::min(measured, std::max(measured - time.Added, time.Least));
}

void SlowRanks::record(const EndpointId &id, TimePoint now) {
  SlowRankLogRecord out;
  out.Endpoint = id;
  out.IsSlow = Slow.contains(id);
  out.Lasted = now - Details.at(id).Since;
  if (const EndpointState *it = Table.find(id)) {
    out.Group = it->Group;
    out.IsEmptied = isToBeEmptied(*it);
    out.Slowdown = EndpointTable::slowdownOf(*it, now);
    out.Running = Table.totalLoad(*it, now).Running;
    out.Gap = Table.gapOf(*it, now);
  }
  LogRecords.push_back(std::move(out));
}
