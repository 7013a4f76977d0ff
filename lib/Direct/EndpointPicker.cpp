//===- EndpointPicker.cpp - picks an endpoint for a request ---------------===//
//
// See EndpointPicker.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/EndpointPicker.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>
#include <utility>

using namespace ospreyspur;

/// Age of another entry's load report when this entry sends a request based on
/// it. Reports are batched for 8 ms; transport and the wake-up on a busy host
/// take a few more.
static constexpr Duration LoadReportAge = std::chrono::milliseconds(12);

const EndpointState *EndpointPicker::pick(const CallState &call,
                                          TimePoint now) const {
  std::vector<const EndpointState *> states = statesOf(call.Service);
  if (!Table.hasOutside())
    return pickFrom(std::move(states), call, now);
  auto outside =
      std::partition(states.begin(), states.end(),
                     [](const EndpointState *it) { return !it->IsOutside; });
  const EndpointState *best = pickFrom({states.begin(), outside}, call, now);
  if (best && !isLastChoice(*best, now))
    return best;
  const EndpointState *other = pickFrom({outside, states.end()}, call, now);
  return !best || (other && !isLastChoice(*other, now)) ? other : best;
}

/// Returns the least loaded endpoint of a random sample of those in \p states
/// with capacity. Suspect and missing endpoints and those of slow or stalled
/// groups are used only if there is no other.
const EndpointState *
EndpointPicker::pickFrom(std::vector<const EndpointState *> states,
                         const CallState &call, TimePoint now) const {
  std::size_t wanted = sampleSize(call.Service, states.size(), now);
  const EndpointState *best = nullptr;
  std::tuple<bool, double, bool> bestCost;
  for (std::size_t i = 0; i < states.size() && wanted > 0; ++i) {
    std::uniform_int_distribution<std::size_t> rest(i, states.size() - 1);
    std::swap(states[i], states[rest(Random)]);
    const EndpointState &state = *states[i];
    if (obstacleAt(state, call, now) != Obstacle::None)
      continue;
    bool isFar = state.Record.DataCentre != DataCentre;
    bool isLast = isLastChoice(state, now);
    wanted -= isLast ? 0 : 1;
    std::tuple cost(isLast, costOf(state, call, now), isFar);
    if (best && cost >= bestCost)
      continue;
    best = &state;
    bestCost = cost;
  }
  return best;
}

const EndpointState *
EndpointPicker::pickIsolated(const CallState &call,
                             const std::set<IncarnationDigest> &others,
                             bool mustBeIsolated, TimePoint now) const {
  std::vector<const EndpointState *> states = statesOf(call.Service);
  std::vector<const EndpointState *> usable;
  // All ranks of a group stall when one of them crashes.
  std::map<GroupId, unsigned> running;
  for (const EndpointState *it : states) {
    bool isShared = others.contains(it->Incarnation);
    if (obstacleAt(*it, call, now) != Obstacle::None ||
        (isShared && mustBeIsolated))
      continue;
    usable.push_back(it);
    running[it->Group] = 0;
  }
  // Returns early, as this function is called with each event while all
  // endpoints are closed.
  if (usable.empty())
    return nullptr;
  for (const EndpointState *it : states)
    if (auto group = running.find(it->Group); group != running.end())
      group->second += Table.totalLoad(*it, now).Running;
  std::shuffle(usable.begin(), usable.end(), Random);
  auto costOfIt = [&](const EndpointState *it) {
    bool isGrouped = !it->Group.get().empty();
    return std::tuple(isLastChoice(*it, now), others.contains(it->Incarnation),
                      isGrouped ? running.at(it->Group) : 0U,
                      Table.totalLoad(*it, now).Running);
  };
  return *std::min_element(usable.begin(), usable.end(),
                           [&](const EndpointState *a, const EndpointState *b) {
                             return costOfIt(a) < costOfIt(b);
                           });
}

/// Returns the number of endpoints to sample. The requests that other entries
/// send before this entry receives their load reports would all go to the
/// endpoint with the lowest reported load. In a simulation with 52 entries,
/// some five such requests and a third of all slots free, 68 of 2,511 requests
/// came to a full endpoint; with sampling fewer than one in 500 did. The sample
/// is therefore small enough that each of these requests finds an endpoint of
/// its own.
std::size_t EndpointPicker::sampleSize(const ServiceId &service,
                                       std::size_t endpoints,
                                       TimePoint now) const {
  double others = Arrivals.perSecond(service, now) *
                  static_cast<double>(Table.livePeers(now));
  double unreported =
      others * std::chrono::duration<double>(LoadReportAge).count();
  return static_cast<std::size_t>(
      std::ceil(static_cast<double>(endpoints) / (1 + unreported)));
}

bool EndpointPicker::isLastChoice(const EndpointState &state,
                                  TimePoint now) const {
  return state.IsMissing || now < state.AvoidedUntil ||
         Cold.isNew(state.Incarnation, now) ||
         Slow.gapWithout(state, Table.gapOf(state, now)) > Limits.SlowGap;
}

Obstacle EndpointPicker::obstacleAt(const EndpointState &state,
                                    const CallState &call,
                                    TimePoint now) const {
  if (state.Record.IsLeaving || Excluded.isLeaving(state.Incarnation))
    return Obstacle::Leaving;
  if (state.IsDrained)
    return Obstacle::Drained;
  if (call.Tried.contains(state.Record.Id))
    return Obstacle::Tried;
  if (Excluded.isInBackoff(state.Incarnation, now))
    return Obstacle::Resting;
  if (now < state.FullUntil || now < state.ReplacedUntil || state.MustReport)
    return Obstacle::Closed;
  // A rejection does not count as an attempt of a stream that has begun.
  if (call.WasRejected && !call.HasBegun &&
      now - state.KnownServingAt > Limits.KnownServingTime)
    return Obstacle::NotKnownToServe;
  if (Slow.isToBeEmptied(state))
    return Obstacle::SlowRank;
  const ServiceRule *service = call.Request.Config->findService(call.Service);
  bool isEngine = service && service->Engine;
  if (isEngine && !canFinish(state, call, now))
    return Obstacle::TooSlow;
  double limit =
      state.Record.Slots * (isEngine ? 1.0 : Limits.MaxLoadWithoutEngine);
  // All ranks of a group wait for the slowest one, so a slow rank's share of
  // requests is reduced by its slowdown factor.
  bool isFull = Table.totalLoad(state, now).Running >=
                limit / EndpointTable::slowdownOf(state, now);
  if (isFull)
    return Obstacle::Full;
  // The limits of an endpoint are divided among the entries whose subset has
  // it.
  bool isLimited =
      Rates.isLimited(state.Incarnation) || Cold.isCold(state.Incarnation);
  bool isAllowed = !(isLimited && state.IsOutside) &&
                   Rates.hasCapacity(state.Incarnation, now) &&
                   Cold.hasCapacity(state.Incarnation, now);
  return isAllowed ? Obstacle::None : Obstacle::RateLimited;
}

ObstacleCounts EndpointPicker::countObstacles(const CallState &call,
                                              TimePoint now) const {
  ObstacleCounts out{};
  for (const EndpointState *it : statesOf(call.Service))
    ++out.at(static_cast<std::size_t>(obstacleAt(*it, call, now)));
  return out;
}

/// Whether the rest of a response of usual length would arrive before the
/// call's deadline. Where it would not, the request only slows down others.
bool EndpointPicker::canFinish(const EndpointState &state,
                               const CallState &call, TimePoint now) const {
  const ServiceRule *service = call.Request.Config->findService(call.Service);
  const EngineCosts &engine = *service->Engine;
  unsigned tokens = engine.TypicalOutputTokens;
  if (call.Request.Tokens.Output > 0)
    tokens = std::min(tokens, call.Request.Tokens.Output);
  // At least one more event is always expected.
  unsigned parts =
      std::max(tokens / engine.StepsPerIteration, call.ReceivedParts + 1);
  Duration gap = Slow.gapWithout(state, Table.confirmedGapOf(state, now));
  return gap * (parts - call.ReceivedParts) < call.Deadline - now;
}

/// Returns the load of an endpoint in seconds: the time that its running
/// requests add to an engine iteration, plus the time to prefill all pending
/// prompts, times the slowdown factor; for a service without an engine, the
/// fraction of slots in use. The current duration of the group's iterations is
/// left out: it depends on the expert map and changes as fast as the map does.
double EndpointPicker::costOf(const EndpointState &state, const CallState &call,
                              TimePoint now) const {
  EndpointLoad load = Table.totalLoad(state, now);
  const ServiceRule *service = call.Request.Config->findService(call.Service);
  if (!service || !service->Engine)
    return double(load.Running) / state.Record.Slots;
  const EngineCosts &engine = *service->Engine;
  double each = std::chrono::duration<double>(engine.StepPerRequest).count() *
                engine.StepsPerIteration;
  double prefill =
      engine.PrefillTokensPerSecond > 0
          ? load.PendingPromptTokens / engine.PrefillTokensPerSecond
          : 0;
  return (load.Running * each + prefill) *
         EndpointTable::slowdownOf(state, now);
}
