//===- EndpointBook.cpp - load and health of each endpoint ----------------===//
//
// See EndpointBook.h. An endpoint that the list no longer contains is kept
// until its running requests have ended.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/EndpointBook.h"

#include <algorithm>
#include <set>

using namespace ospreyspur;

/// Upper bound on the number of doublings. The longest suspicion time is
/// reached before.
static constexpr unsigned MaxDoublings = 10;

static GroupPaces::Key groupKey(const EndpointState &state) {
  return {state.Record.Service, state.Group};
}

void EndpointBook::setEndpoints(const std::vector<ListedEndpoint> &endpoints) {
  std::set<EndpointId> present;
  for (const ListedEndpoint &it : endpoints) {
    auto [at, isNew] = States.try_emplace(it.Record.Id);
    EndpointState &state = at->second;
    // A group that is being formed would reject requests, and each rejection
    // leads to a retry, which the retry budget limits.
    if (isNew) {
      state.MustTell = it.Record.TellsState;
      state.Life = digestLife(it.Record.Id);
    }
    state.Record = it.Record;
    state.IsMissing = it.IsMissing;
    present.insert(it.Record.Id);
  }
  for (auto it = States.begin(); it != States.end();) {
    bool isGone = !present.contains(it->first);
    it->second.Record.IsLeaving = it->second.Record.IsLeaving || isGone;
    bool isIdle = it->second.Own == 0;
    it = isGone && isIdle ? States.erase(it) : std::next(it);
  }
}

void EndpointBook::setPeerLoad(const std::string &peer,
                               const std::vector<EndpointLoad> &loads,
                               TimePoint now) {
  PeerLoad &kept = Peers[peer];
  kept.At = now;
  kept.Loads.clear();
  for (const EndpointLoad &it : loads) {
    kept.Loads[it.Endpoint] = it;
    EndpointState *state = it.Pace > 0 ? findMutable(it.Endpoint) : nullptr;
    if (!state)
      continue;
    state->Pace = it.Pace;
    state->PaceAt = now;
  }
}

void EndpointBook::onStarted(const EndpointId &id, unsigned promptTokens) {
  if (EndpointState *it = findMutable(id)) {
    ++it->Own;
    it->OwnUnread += promptTokens;
  }
}

void EndpointBook::onFirstByte(const EndpointId &id, unsigned promptTokens,
                               TimePoint now) {
  dropUnread(id, promptTokens);
  if (EndpointState *it = findMutable(id)) {
    it->ProvenAt = now;
    Paces.onBegun(groupKey(*it), now);
  }
}

void EndpointBook::onEvents(const EndpointId &id, Duration gap, TimePoint now) {
  if (EndpointState *it = findMutable(id))
    Paces.onEvents(groupKey(*it), gap, now);
}

void EndpointBook::onSilence(const EndpointId &id, Duration silence,
                             TimePoint now) {
  if (EndpointState *it = findMutable(id))
    Paces.onSilence(groupKey(*it), silence, now);
}

Duration EndpointBook::gapOf(const EndpointState &state, TimePoint now) const {
  return state.Group.get().empty() ? Duration::zero()
                                   : Paces.gapOf(groupKey(state), now);
}

Duration EndpointBook::sureGapOf(const EndpointState &state,
                                 TimePoint now) const {
  return state.Group.get().empty() ? Duration::zero()
                                   : Paces.sureGapOf(groupKey(state), now);
}

void EndpointBook::dropUnread(const EndpointId &id, unsigned promptTokens) {
  if (EndpointState *it = findMutable(id))
    it->OwnUnread -= std::min(it->OwnUnread, promptTokens);
}

void EndpointBook::onEnded(const EndpointId &id, bool wasWriting) {
  EndpointState *it = findMutable(id);
  if (it && it->Own > 0)
    --it->Own;
  if (it && wasWriting)
    Paces.onEnded(groupKey(*it));
}

void EndpointBook::onSuccess(const EndpointId &id, TimePoint now) {
  if (EndpointState *it = findMutable(id)) {
    it->ProvenAt = now;
    it->FailuresInRow = 0;
    it->FailedAnswersInRow = 0;
    it->FullInRow = 0;
    it->SuspectUntil = TimePoint();
  }
}

void EndpointBook::onFailure(const EndpointId &id, TimePoint now) {
  EndpointState *it = findMutable(id);
  // Failures during the suspicion time count as one failure.
  if (!it || now < it->SuspectUntil)
    return;
  Duration pause = FirstSuspicion * (1U << it->FailuresInRow);
  it->SuspectUntil = now + std::min(pause, LongestSuspicion);
  it->FailuresInRow = std::min(it->FailuresInRow + 1, MaxDoublings);
}

void EndpointBook::onFailedAnswer(const EndpointId &id, TimePoint now) {
  EndpointState *it = findMutable(id);
  if (it && ++it->FailedAnswersInRow >= SuspectFailedAnswers)
    onFailure(id, now);
}

void EndpointBook::onFull(const EndpointId &id, TimePoint now) {
  EndpointState *it = findMutable(id);
  if (!it)
    return;
  // The rejected request itself still counts as running.
  bool hadRoom = totalLoad(*it, now).Running <= it->Record.Slots / 2;
  if (hadRoom && it->Record.TellsState) {
    for (EndpointState *member : groupOf(*it)) {
      member->MustTell = true;
      member->AskAt = now;
    }
    return;
  }
  pauseFull(*it, now);
}

void EndpointBook::pauseFull(EndpointState &state, TimePoint now) {
  Duration pause = FullTime * (1U << state.FullInRow);
  state.FullUntil = now + std::min(pause, LongestFullTime);
  state.FullInRow = std::min(state.FullInRow + 1, MaxDoublings);
}

void EndpointBook::forgetFull(TimePoint now) {
  for (auto &[id, state] : States)
    if (state.FullUntil <= now)
      state.FullUntil = TimePoint();
}

std::optional<TimePoint> EndpointBook::nextFree() const {
  std::optional<TimePoint> next;
  for (const auto &[id, state] : States)
    if (state.FullUntil != TimePoint() && (!next || state.FullUntil < *next))
      next = state.FullUntil;
  return next;
}

std::vector<EndpointId> EndpointBook::onLifeEnded(const EndpointId &id,
                                                  TimePoint now) {
  EndpointState *ended = findMutable(id);
  if (!ended || !ended->Record.TellsState)
    return {};
  std::vector<EndpointId> out;
  for (EndpointState *it : groupOf(*ended)) {
    it->MustTell = true;
    it->AskAt = now + BrokenPause;
    out.push_back(it->Record.Id);
  }
  return out;
}

void EndpointBook::onReplaced(const EndpointId &id, TimePoint now) {
  EndpointState *it = findMutable(id);
  if (!it)
    return;
  if (now >= it->ReplacedUntil)
    it->ReplacedTellings = ReplacedRepeats;
  it->ReplacedUntil = now + ReplacedTime;
}

void EndpointBook::mergeReplaced(const std::vector<LifeDigest> &lives,
                                 TimePoint now) {
  if (lives.empty())
    return;
  for (auto &[id, state] : States)
    if (std::find(lives.begin(), lives.end(), state.Life) != lives.end())
      state.ReplacedUntil = now + ReplacedTime;
}

std::vector<LifeDigest> EndpointBook::takeReplacedReport() {
  std::vector<LifeDigest> out;
  for (auto &[id, state] : States) {
    if (state.ReplacedTellings == 0 || out.size() >= MaxToldReplaced)
      continue;
    --state.ReplacedTellings;
    out.push_back(state.Life);
  }
  return out;
}

std::vector<EndpointRecord> EndpointBook::takeQuestions(const MayAsk &mayAsk,
                                                        TimePoint now) {
  std::vector<EndpointRecord> out;
  for (auto &[id, state] : States) {
    if (!state.MustTell || now < state.AskAt)
      continue;
    if (!mayAsk(state)) {
      state.AskAt = now + askPause(now);
      continue;
    }
    out.push_back(state.Record);
    for (EndpointState *member : groupOf(state))
      member->AskAt = now + AskTimeout;
  }
  return out;
}

std::vector<EndpointRecord>
EndpointBook::takePaceQuestions(const MayAsk &mayAsk, TimePoint now,
                                std::mt19937_64 &random) {
  std::vector<EndpointRecord> out;
  std::size_t others = livePeers(now);
  // Each entry's interval is uniform in [0, 2 * PaceEvery * entries], so the
  // mean interval between the queries of all entries is PaceEvery.
  Duration turns = others > 0 ? 2 * PaceEvery * int(others + 1) : Duration();
  std::uniform_int_distribution<Duration::rep> turn(0, turns.count());
  for (auto &[id, state] : States) {
    bool isSlow = state.Record.TellsState && gapOf(state, now) >= SlowPass;
    if (!isSlow || state.MustTell) {
      state.AskPaceAt.reset();
      continue;
    }
    if (!state.AskPaceAt)
      state.AskPaceAt = now + Duration(turn(random));
    if (now < *state.AskPaceAt)
      continue;
    bool isKnown = now - state.PaceAt < PaceEvery;
    if (!isKnown && mayAsk(state))
      out.push_back(state.Record);
    TimePoint from = isKnown ? state.PaceAt : now;
    state.AskPaceAt =
        from + std::max<Duration>(PaceEvery, Duration(turn(random)));
  }
  return out;
}

std::optional<TimePoint> EndpointBook::nextQuestion() const {
  std::optional<TimePoint> next;
  for (const auto &[id, state] : States)
    if (state.MustTell && (!next || state.AskAt < *next))
      next = state.AskAt;
  return next;
}

void EndpointBook::onTold(const EndpointId &id,
                          const std::optional<EndpointCondition> &condition,
                          TimePoint now) {
  EndpointState *told = findMutable(id);
  if (told && condition) {
    told->Pace = condition->Pace;
    told->PaceAt = now;
    told->PaceToldAt = now;
  }
  if (!told || !told->MustTell)
    return;
  if (!condition) {
    onUnanswered(*told, now);
    return;
  }
  told->Group = condition->Group;
  told->UnansweredUntil = TimePoint();
  bool isFull = condition->Running >= told->Record.Slots;
  if (condition->IsOpen && isFull)
    pauseFull(*told, now);
  // Whether the group accepts requests is the same for all its ranks; the load
  // is the endpoint's own.
  for (EndpointState *it : groupOf(*told)) {
    it->MustTell = !condition->IsOpen;
    it->AskAt = std::max(now + askPause(now), it->UnansweredUntil);
  }
  if (condition->IsOpen && !isFull)
    told->ProvenAt = now;
}

/// A status query without a response says nothing about the group, so another
/// member is queried at once. Otherwise a group of which only this one endpoint
/// is unreachable would stay closed to this entry for as long.
void EndpointBook::onUnanswered(EndpointState &asked, TimePoint now) {
  onFailure(asked.Record.Id, now);
  asked.AskAt = now + askPause(now);
  for (EndpointState *it : groupOf(asked)) {
    if (it == &asked)
      continue;
    it->AskAt = std::max(now, it->UnansweredUntil);
    asked.AskAt = now + AskTimeout;
  }
  asked.UnansweredUntil = now + AskTimeout;
}

Duration EndpointBook::askPause(TimePoint now) const {
  std::size_t entries = livePeers(now) + 1;
  return AskPause * ((entries + AskersPerPause - 1) / AskersPerPause);
}

/// Returns \p state and the other endpoints of its group.
std::vector<EndpointState *> EndpointBook::groupOf(EndpointState &state) {
  if (state.Group.get().empty())
    return {&state};
  std::vector<EndpointState *> out;
  for (auto &[id, it] : States)
    if (it.Group == state.Group && it.Record.Service == state.Record.Service)
      out.push_back(&it);
  return out;
}

const EndpointState *EndpointBook::find(const EndpointId &id) const {
  auto it = States.find(id);
  return it == States.end() ? nullptr : &it->second;
}

const EndpointState *EndpointBook::findLife(LifeDigest life) const {
  auto it =
      std::find_if(States.begin(), States.end(), [life](const auto &state) {
        return state.second.Life == life;
      });
  return it == States.end() ? nullptr : &it->second;
}

EndpointLoad EndpointBook::totalLoad(const EndpointState &state,
                                     TimePoint now) const {
  EndpointLoad out{state.Record.Id, state.Own, state.OwnUnread};
  for (const auto &[name, peer] : Peers) {
    auto it = peer.Loads.find(state.Record.Id);
    if (it == peer.Loads.end() || now - peer.At >= PeerLoadAge)
      continue;
    out.Running += it->second.Running;
    out.Unread += it->second.Unread;
  }
  return out;
}

std::vector<EndpointLoad> EndpointBook::ownLoads(TimePoint now) const {
  std::vector<EndpointLoad> out;
  for (const auto &[id, state] : States) {
    bool isTold = now - state.PaceToldAt < PaceEvery;
    if (state.Own > 0 || isTold)
      out.push_back(
          {id, state.Own, state.OwnUnread, isTold ? state.Pace : 0.0});
  }
  return out;
}

std::size_t EndpointBook::livePeers(TimePoint now) const {
  return std::count_if(Peers.begin(), Peers.end(), [now](const auto &it) {
    return now - it.second.At < PeerLoadAge;
  });
}

EndpointState *EndpointBook::findMutable(const EndpointId &id) {
  auto it = States.find(id);
  return it == States.end() ? nullptr : &it->second;
}
