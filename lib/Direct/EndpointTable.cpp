//===- EndpointTable.cpp - load and health of each endpoint ---------------===//
//
// See EndpointTable.h. An endpoint that the list no longer contains is kept
// until its running requests have ended.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/EndpointTable.h"

#include <algorithm>
#include <iterator>
#include <set>

using namespace ospreyspur;

/// Upper bound on the number of doublings. MaxAvoidTime and LongestFullTime are
/// reached before.
static constexpr unsigned MaxDoublings = 10;

static GroupGaps::Key groupKey(const EndpointState &state) {
  return {state.Record.Service, state.Group};
}

void EndpointTable::setEndpoints(const std::vector<ListedEndpoint> &endpoints) {
  std::set<EndpointId> present;
  HasDrained = false;
  HasOutside = false;
  for (const ListedEndpoint &it : endpoints) {
    auto [at, isNew] = States.try_emplace(it.Record.Id);
    EndpointState &state = at->second;
    // A group that is being formed would reject requests, and each rejection
    // leads to a retry, which the retry budget limits.
    if (isNew) {
      state.MustReport = it.Record.AnswersStatusQueries;
      state.Incarnation = digestIncarnation(it.Record.Id);
    }
    state.Record = it.Record;
    if (isNew)
      sumPeerLoads(state);
    state.IsMissing = it.IsMissing;
    state.IsDrained = it.IsDrained;
    HasDrained = HasDrained || it.IsDrained;
    state.IsOutside = it.IsOutside;
    HasOutside = HasOutside || it.IsOutside;
    present.insert(it.Record.Id);
  }
  for (auto it = States.begin(); it != States.end();) {
    bool isGone = !present.contains(it->first);
    it->second.Record.IsLeaving = it->second.Record.IsLeaving || isGone;
    bool isIdle = it->second.OwnRequests == 0;
    it = isGone && isIdle ? States.erase(it) : std::next(it);
  }
  buildIndexes();
}

void EndpointTable::buildIndexes() {
  Services.clear();
  Incarnations.clear();
  Groups.clear();
  Closed.clear();
  Slowed.clear();
  for (auto &[id, state] : States) {
    Services[state.Record.Service].push_back(&state);
    Incarnations.emplace(state.Incarnation, &state);
    if (!state.Group.get().empty())
      Groups[groupKey(state)].push_back(&state);
    if (state.MustReport)
      Closed.emplace(id, &state);
    if (state.Slowdown >= MinSlowdown)
      Slowed.emplace(id, &state);
  }
}

void EndpointTable::setGroup(EndpointState &state, const GroupId &group) {
  if (state.Group == group)
    return;
  if (auto it = Groups.find(groupKey(state)); it != Groups.end())
    std::erase(it->second, &state);
  state.Group = group;
  if (!group.get().empty())
    Groups[groupKey(state)].push_back(&state);
}

void EndpointTable::setMustReport(EndpointState &state, bool mustReport) {
  state.MustReport = mustReport;
  if (mustReport)
    Closed.emplace(state.Record.Id, &state);
  else
    Closed.erase(state.Record.Id);
}

void EndpointTable::setSlowdown(EndpointState &state, double slowdown,
                                TimePoint now) {
  state.Slowdown = slowdown;
  state.SlowdownAt = now;
  state.QuerySlowdownAt.reset();
  if (slowdown >= MinSlowdown)
    Slowed.emplace(state.Record.Id, &state);
  else
    Slowed.erase(state.Record.Id);
}

void EndpointTable::onStarted(const EndpointId &id, unsigned promptTokens) {
  if (EndpointState *it = findMutable(id)) {
    ++it->OwnRequests;
    it->OwnPendingTokens += promptTokens;
  }
}

void EndpointTable::onFirstByte(const EndpointId &id, unsigned promptTokens,
                                TimePoint now) {
  dropPendingPrompt(id, promptTokens);
  if (EndpointState *it = findMutable(id)) {
    it->KnownServingAt = now;
    Gaps.onBegun(groupKey(*it), now);
  }
}

void EndpointTable::onEvents(const EndpointId &id, Duration gap,
                             TimePoint now) {
  if (EndpointState *it = findMutable(id))
    Gaps.onEvents(groupKey(*it), gap, now);
}

void EndpointTable::onEndedIdle(const EndpointId &id, Duration idleTime,
                                TimePoint now) {
  if (EndpointState *it = findMutable(id))
    Gaps.onEndedIdle(groupKey(*it), idleTime, now);
}

Duration EndpointTable::gapOf(const EndpointState &state, TimePoint now) const {
  return state.Group.get().empty() ? Duration::zero()
                                   : Gaps.gapOf(groupKey(state), now);
}

Duration EndpointTable::confirmedGapOf(const EndpointState &state,
                                       TimePoint now) const {
  return state.Group.get().empty() ? Duration::zero()
                                   : Gaps.confirmedGapOf(groupKey(state), now);
}

void EndpointTable::dropPendingPrompt(const EndpointId &id,
                                      unsigned promptTokens) {
  if (EndpointState *it = findMutable(id))
    it->OwnPendingTokens -= std::min(it->OwnPendingTokens, promptTokens);
}

void EndpointTable::onEnded(const EndpointId &id, bool wasDecoding) {
  EndpointState *it = findMutable(id);
  if (it && it->OwnRequests > 0)
    --it->OwnRequests;
  if (it && wasDecoding)
    Gaps.onEnded(groupKey(*it));
}

void EndpointTable::onSuccess(const EndpointId &id, TimePoint now) {
  if (EndpointState *it = findMutable(id)) {
    it->KnownServingAt = now;
    it->ConsecutiveFailures = 0;
    it->ConsecutiveFailedResponses = 0;
    it->ConsecutiveFull = 0;
    it->AvoidedUntil = TimePoint();
  }
}

void EndpointTable::onFailure(const EndpointId &id, TimePoint now) {
  EndpointState *it = findMutable(id);
  // Failures while the endpoint is avoided count as one failure.
  if (!it || now < it->AvoidedUntil)
    return;
  Duration duration = FirstAvoidTime * (1U << it->ConsecutiveFailures);
  it->AvoidedUntil = now + std::min(duration, MaxAvoidTime);
  it->ConsecutiveFailures = std::min(it->ConsecutiveFailures + 1, MaxDoublings);
}

void EndpointTable::onFailedResponse(const EndpointId &id, TimePoint now) {
  EndpointState *it = findMutable(id);
  if (it && ++it->ConsecutiveFailedResponses >= AvoidAfterFailedResponses)
    onFailure(id, now);
}

void EndpointTable::onFull(const EndpointId &id, TimePoint now) {
  EndpointState *it = findMutable(id);
  if (!it)
    return;
  // The rejected request itself still counts as running.
  bool hadCapacity = totalLoad(*it, now).Running <= it->Record.Slots / 2;
  if (hadCapacity && it->Record.AnswersStatusQueries) {
    for (EndpointState *member : groupOf(*it)) {
      setMustReport(*member, true);
      member->QueryAt = now;
    }
    return;
  }
  extendFull(*it, now);
}

void EndpointTable::extendFull(EndpointState &state, TimePoint now) {
  Duration duration = FullTime * (1U << state.ConsecutiveFull);
  state.FullUntil = now + std::min(duration, LongestFullTime);
  state.ConsecutiveFull = std::min(state.ConsecutiveFull + 1, MaxDoublings);
}

void EndpointTable::clearExpiredFull(TimePoint now) {
  for (auto &[id, state] : States)
    if (state.FullUntil <= now)
      state.FullUntil = TimePoint();
}

std::optional<TimePoint> EndpointTable::nextFree() const {
  std::optional<TimePoint> next;
  for (const auto &[id, state] : States)
    if (state.FullUntil != TimePoint() && (!next || state.FullUntil < *next))
      next = state.FullUntil;
  return next;
}

std::vector<EndpointId> EndpointTable::onIncarnationEnded(const EndpointId &id,
                                                          TimePoint now) {
  EndpointState *ended = findMutable(id);
  if (!ended || !ended->Record.AnswersStatusQueries)
    return {};
  std::vector<EndpointId> out;
  for (EndpointState *it : groupOf(*ended)) {
    setMustReport(*it, true);
    it->QueryAt = now + CrashedGroupDelay;
    out.push_back(it->Record.Id);
  }
  return out;
}

void EndpointTable::onReplaced(const EndpointId &id, TimePoint now) {
  EndpointState *it = findMutable(id);
  if (!it)
    return;
  if (now >= it->ReplacedUntil)
    it->RemainingReplacedReports = ReplacedReports;
  it->ReplacedUntil = now + ReplacedTime;
}

void EndpointTable::mergeReplaced(
    const std::vector<IncarnationDigest> &incarnations, TimePoint now) {
  if (incarnations.empty())
    return;
  for (auto &[id, state] : States)
    if (std::find(incarnations.begin(), incarnations.end(),
                  state.Incarnation) != incarnations.end())
      state.ReplacedUntil = now + ReplacedTime;
}

std::vector<IncarnationDigest> EndpointTable::takeReplacedReport() {
  std::vector<IncarnationDigest> out;
  for (auto &[id, state] : States) {
    if (state.RemainingReplacedReports == 0 ||
        out.size() >= MaxReplacedPerReport)
      continue;
    --state.RemainingReplacedReports;
    out.push_back(state.Incarnation);
  }
  return out;
}

/// Returns \p state and the other endpoints of its group.
std::vector<EndpointState *> EndpointTable::groupOf(EndpointState &state) {
  auto it = Groups.find(groupKey(state));
  return it == Groups.end() ? std::vector{&state} : it->second;
}

std::size_t EndpointTable::groupSize(const EndpointState &state) const {
  auto it = Groups.find(groupKey(state));
  return it == Groups.end() ? 1 : it->second.size();
}

std::vector<const EndpointState *>
EndpointTable::statesOf(const ServiceId &service) const {
  auto it = Services.find(service);
  return it == Services.end() ? std::vector<const EndpointState *>()
                              : it->second;
}

const EndpointState *EndpointTable::find(const EndpointId &id) const {
  auto it = States.find(id);
  return it == States.end() ? nullptr : &it->second;
}

const EndpointState *
EndpointTable::findIncarnation(IncarnationDigest incarnation) const {
  auto it = Incarnations.find(incarnation);
  return it == Incarnations.end() ? nullptr : it->second;
}

EndpointState *EndpointTable::findMutable(const EndpointId &id) {
  auto it = States.find(id);
  return it == States.end() ? nullptr : &it->second;
}
