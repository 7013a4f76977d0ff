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
    if (SlowSince.try_emplace(id, now).second)
      record(id, now);
  }
  for (const EndpointId &it : before)
    if (!Slow.contains(it)) {
      record(it, now);
      SlowSince.erase(it);
    }
}

bool SlowRanks::isToBeEmptied(const EndpointState &state) const {
  if (!Slow.contains(state.Record.Id))
    return false;
  // If half of the ranks are slow, the others cannot take their requests.
  auto it = SlowInGroup.find(groupOf(state));
  return it != SlowInGroup.end() && it->second * 2 < Table.groupSize(state);
}

Duration SlowRanks::gapWithout(const EndpointState &state, Duration measured,
                               TimePoint now) const {
  Duration added{};
  Duration least{};
  for (const EndpointId &id : Slow) {
    const EndpointState *it = Table.find(id);
    bool isOther = !it || groupOf(*it) != groupOf(state);
    if (isOther || !isToBeEmptied(*it) ||
        now - SlowSince.at(id) >= MaxEmptyingTime)
      continue;
    const EngineCosts &engine =
        *Config->findService(it->Record.Service)->Engine;
    // The iteration under way may have begun before the rank became empty.
    unsigned running = std::max(Table.totalLoad(*it, now).Running, 1U);
    least = rankTime(engine, 1, it->Record.Slots);
    added = std::max(
        added, rankTime(engine, EndpointTable::slowdownOf(*it, now), running) -
                   rankTime(engine, 1, running));
  }
  // The other ranks need their own time, however much a rank is said to add.
  return added == Duration::zero()
             ? measured
             : std::min(measured, std::max(measured - added, least));
}

void SlowRanks::record(const EndpointId &id, TimePoint now) {
  SlowRankLogRecord out;
  out.Endpoint = id;
  out.IsSlow = Slow.contains(id);
  out.Lasted = now - SlowSince.at(id);
  if (const EndpointState *it = Table.find(id)) {
    out.Group = it->Group;
    out.Slowdown = EndpointTable::slowdownOf(*it, now);
    out.Running = Table.totalLoad(*it, now).Running;
    out.Gap = Table.gapOf(*it, now);
  }
  LogRecords.push_back(std::move(out));
}
