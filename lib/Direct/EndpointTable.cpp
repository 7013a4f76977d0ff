//===- EndpointTable.cpp - load and health of each endpoint ---------------===//
//
// See EndpointTable.h. An endpoint that the list no longer contains is kept
// until its running requests have ended.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/EndpointTable.h"

#include <algorithm>
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
  for (const ListedEndpoint &it : endpoints) {
  HasDrained = false;
  HasOutside = false;
    auto [at, isNew] = States.try_emplace(it.Record.Id);
    EndpointState &state = at->second;
    // A group that is being formed would reject requests, and each rejection
    // leads to a retry, which the retry budget limits.
    if (isNew) {
      state.MustReport = it.Record.AnswersStatusQueries;
      state.Incarnation = digestIncarnation(it.Record.Id);
    }
    state.Record = it.Record;
    state.IsMissing = it.IsMissing;
    present.insert(it.Record.Id);
  }
  for (auto it = States.begin(); it != States.end();) {
    state.IsDrained = it.IsDrained;
    HasDrained = HasDrained || it.IsDrained;
    state.IsOutside = it.IsOutside;
    HasOutside = HasOutside || it.IsOutside;
    bool isGone = !present.contains(it->first);
    it->second.Record.IsLeaving = it->second.Record.IsLeaving || isGone;
    bool isIdle = it->second.OwnRequests == 0;
    it = isGone && isIdle ? States.erase(it) : std::next(it);
  }
}

void EndpointTable::setPeerLoad(const std::string &peer,
                                const std::vector<EndpointLoad> &loads,
                                TimePoint now) {
  PeerLoad &kept = Peers[peer];
  kept.At = now;
  kept.Loads.clear();
  for (const EndpointLoad &it : loads) {
    kept.Loads[it.Endpoint] = it;
    EndpointState *state = it.Slowdown > 0 ? findMutable(it.Endpoint) : nullptr;
    if (!state)
      continue;
    state->Slowdown = it.Slowdown;
    state->SlowdownAt = now;
  }
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
      member->MustReport = true;
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
    it->MustReport = true;
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

std::vector<EndpointRecord>
EndpointTable::takeStatusQueries(const MayQuery &mayQuery, TimePoint now) {
  std::vector<EndpointRecord> out;
  for (auto &[id, state] : States) {
    if (!state.MustReport || now < state.QueryAt)
      continue;
    if (!mayQuery(state)) {
      state.QueryAt = now + queryInterval(now);
      continue;
    }
    out.push_back(state.Record);
    for (EndpointState *member : groupOf(state))
      member->QueryAt = now + QueryTimeout;
  }
  return out;
}

std::vector<EndpointRecord>
EndpointTable::takeSlowdownQueries(const MayQuery &mayQuery, TimePoint now,
                                   std::mt19937_64 &random) {
  std::vector<EndpointRecord> out;
  std::size_t others = livePeers(now);
  // Each entry's interval is drawn from [0, 2 * SlowdownInterval * entries] and
  // is at least SlowdownInterval, so the mean interval between the queries of
  // all entries is about SlowdownInterval. Without other entries it is
  // SlowdownInterval.
  Duration maxInterval =
      others > 0 ? 2 * SlowdownInterval * int(others + 1) : Duration();
  std::uniform_int_distribution<Duration::rep> drawInterval(
      0, maxInterval.count());
  for (auto &[id, state] : States) {
    bool mayBeSlow = state.Record.AnswersStatusQueries &&
                     gapOf(state, now) >= SlowdownQueryGap;
    if (!mayBeSlow || state.MustReport) {
      state.QuerySlowdownAt.reset();
      continue;
    }
    if (!state.QuerySlowdownAt)
      state.QuerySlowdownAt = now + Duration(drawInterval(random));
    if (now < *state.QuerySlowdownAt)
      continue;
    bool isKnown = now - state.SlowdownAt < SlowdownInterval;
    if (!isKnown && mayQuery(state))
      out.push_back(state.Record);
    TimePoint from = isKnown ? state.SlowdownAt : now;
    state.QuerySlowdownAt =
        from +
        std::max<Duration>(SlowdownInterval, Duration(drawInterval(random)));
  }
  return out;
}

std::optional<TimePoint> EndpointTable::nextStatusQuery() const {
  std::optional<TimePoint> next;
  for (const auto &[id, state] : States)
    if (state.MustReport && (!next || state.QueryAt < *next))
      next = state.QueryAt;
  return next;
}

void EndpointTable::onStatusReport(const EndpointId &id,
                                   const std::optional<EndpointStatus> &status,
                                   TimePoint now) {
  EndpointState *reporter = findMutable(id);
  if (reporter && status) {
    reporter->Slowdown = status->Slowdown;
    reporter->SlowdownAt = now;
    reporter->SlowdownReportedAt = now;
  }
  if (!reporter || !reporter->MustReport)
    return;
  if (!status) {
    onNoResponse(*reporter, now);
    return;
  }
  reporter->Group = status->Group;
  reporter->UnresponsiveUntil = TimePoint();
  bool isFull = status->Running >= reporter->Record.Slots;
  if (status->IsOpen && isFull)
    extendFull(*reporter, now);
  // Whether the group accepts requests is the same for all its ranks; the load
  // is the endpoint's own.
  for (EndpointState *it : groupOf(*reporter)) {
    it->MustReport = !status->IsOpen;
    it->QueryAt = std::max(now + queryInterval(now), it->UnresponsiveUntil);
  }
  if (status->IsOpen && !isFull)
    reporter->KnownServingAt = now;
}

/// A status query without a response says nothing about the group, so another
/// member is queried at once. Otherwise a group of which only this one endpoint
/// is unreachable would stay closed to this entry for as long.
void EndpointTable::onNoResponse(EndpointState &queried, TimePoint now) {
  onFailure(queried.Record.Id, now);
  queried.QueryAt = now + queryInterval(now);
  for (EndpointState *it : groupOf(queried)) {
    if (it == &queried)
      continue;
    it->QueryAt = std::max(now, it->UnresponsiveUntil);
    queried.QueryAt = now + QueryTimeout;
  }
  queried.UnresponsiveUntil = now + QueryTimeout;
}

Duration EndpointTable::queryInterval(TimePoint now) const {
  std::size_t entries = livePeers(now) + 1;
  return QueryInterval *
         ((entries + MaxQueriesPerInterval - 1) / MaxQueriesPerInterval);
}

/// Returns \p state and the other endpoints of its group.
std::vector<EndpointState *> EndpointTable::groupOf(EndpointState &state) {
  if (state.Group.get().empty())
    return {&state};
  std::vector<EndpointState *> out;
  for (auto &[id, it] : States)
    if (it.Group == state.Group && it.Record.Service == state.Record.Service)
      out.push_back(&it);
  return out;
}

const EndpointState *EndpointTable::find(const EndpointId &id) const {
  auto it = States.find(id);
  return it == States.end() ? nullptr : &it->second;
}

const EndpointState *
EndpointTable::findIncarnation(IncarnationDigest incarnation) const {
  auto it = std::find_if(States.begin(), States.end(),
                         [incarnation](const auto &state) {
                           return state.second.Incarnation == incarnation;
                         });
  return it == States.end() ? nullptr : &it->second;
}

EndpointLoad EndpointTable::totalLoad(const EndpointState &state,
                                      TimePoint now) const {
  EndpointLoad out{state.Record.Id, state.OwnRequests, state.OwnPendingTokens};
  for (const auto &[name, peer] : Peers) {
    auto it = peer.Loads.find(state.Record.Id);
    if (it == peer.Loads.end() || now - peer.At >= MaxPeerLoadAge)
      continue;
    out.Running += it->second.Running;
    out.PendingPromptTokens += it->second.PendingPromptTokens;
  }
  return out;
}

std::vector<EndpointLoad> EndpointTable::ownLoads(TimePoint now) const {
  std::vector<EndpointLoad> out;
  for (const auto &[id, state] : States) {
    bool isReported = now - state.SlowdownReportedAt < SlowdownInterval;
    if (state.OwnRequests > 0 || isReported)
      out.push_back({id, state.OwnRequests, state.OwnPendingTokens,
                     isReported ? state.Slowdown : 0.0});
  }
  return out;
}

std::size_t EndpointTable::livePeers(TimePoint now) const {
  return std::count_if(Peers.begin(), Peers.end(), [now](const auto &it) {
    return now - it.second.At < MaxPeerLoadAge;
  });
}

EndpointState *EndpointTable::findMutable(const EndpointId &id) {
  auto it = States.find(id);
  return it == States.end() ? nullptr : &it->second;
}
