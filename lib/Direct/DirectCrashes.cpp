//===- DirectCrashes.cpp - calls under which an endpoint ended ------------===//
//
// The part of DirectNode that finds out whether an endpoint ended when it cut
// an answer, and keeps requests that end endpoints away from them.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/DirectNode.h"

#include <algorithm>
#include <utility>

using namespace ospreyspur;

/// Over which the turns of a suspect's copies are drawn: many times what the
/// news of a start takes, some 15 ms; short beside the time that its caller
/// has.
static constexpr Duration TurnSpread = std::chrono::milliseconds(200);

/// The endpoint cut the attempt under way. Whether it has ended is asked before
/// the request goes anywhere else: an answer that was cut alone says nothing.
void DirectNode::noteCut(const CallState &call, TimePoint now) {
  const EndpointState *state = Book.find(*call.Current);
  bool isPlanned = !state || state->Record.IsLeaving || state->IsMissing;
  if (isPlanned || call.Request.Digest == RequestDigest())
    return;
  CutRun run{call.Request.Digest, call.Request.Label, call.Service,
             now - call.SentAt};
  LifeDigest life = digestLife(*call.Current);
  if (std::optional<TimePoint> ended = Crashes.endOf(life)) {
    if (call.SentAt < *ended)
      noteCrash(*call.Current, run, now);
    return;
  }
  auto [it, isNew] = Checks.try_emplace(*call.Current);
  it->second.push_back(std::move(run));
  if (isNew)
    Out.emplace_back(CheckEndpoint{state->Record});
}

DirectActions DirectNode::onChecked(const EndpointId &id, EndpointFate fate,
                                    TimePoint now) {
  auto it = Checks.find(id);
  if (it == Checks.end())
    return takeActions();
  std::vector<CutRun> runs = std::move(it->second);
  Checks.erase(it);
  if (fate == EndpointFate::Ended) {
    leaveGroupOf(id, now);
    for (const CutRun &run : runs)
      noteCrash(id, run, now);
  }
  startWaiting(now);
  return takeActions();
}

void DirectNode::noteCrash(const EndpointId &id, const CutRun &run,
                           TimePoint now) {
  std::size_t endpoints = Picker.countEndpoints(run.Service);
  Crashes.onCrash(run.Request, digestLife(id), run.Ran, endpoints, now);
  CrashNotes.push_back({run.Request, run.Label, id, run.Ran,
                        Crashes.crashesOf(run.Request),
                        Crashes.chanceOf(run.Request, now),
                        Crashes.standingOf(run.Request), false});
}

void DirectNode::judgeCrashes(TimePoint now) {
  for (RequestDigest it : Crashes.judge(now))
    quarantine(it, false, now);
}

void DirectNode::quarantine(RequestDigest request, bool isTold, TimePoint now) {
  CrashNotes.push_back(
      {request, "", EndpointId(), Duration(), Crashes.crashesOf(request),
       Crashes.chanceOf(request, now), CrashStanding::Quarantined, isTold});
  endQuarantined(request, now);
}

/// All ranks of a group stand still when one of them has ended, and cut what
/// they run after a second or two. What is sent there meanwhile would wait as
/// long to be refused; what runs there can go on elsewhere now.
void DirectNode::leaveGroupOf(const EndpointId &id, TimePoint now) {
  for (const EndpointId &member : Book.onLifeEnded(id, now))
    for (auto &[callId, call] : Calls) {
      bool isThere = call.Current == member && member != id;
      if (isThere && call.Request.Route->canResume() &&
          !std::exchange(call.IsSilent, true))
        Silent.insert(callId);
    }
}

/// Ends that another entry saw a moment ago.
void DirectNode::noteToldEnds(const CrashReport &report, TimePoint now) {
  std::set<LifeDigest> fresh;
  for (const CrashRow &row : report.Rows)
    for (const CrashTold &it : row.Crashes)
      if (it.Age < EndpointBook::BrokenPause && !Crashes.endOf(it.Life))
        fresh.insert(it.Life);
  if (fresh.empty())
    return;
  std::vector<EndpointId> ended;
  for (const auto &[id, state] : Book.states())
    if (fresh.contains(state.Life))
      ended.push_back(id);
  for (const EndpointId &it : ended)
    leaveGroupOf(it, now);
}

DirectActions DirectNode::onCrashReport(const std::string &peer,
                                        const CrashReport &report,
                                        TimePoint now) {
  noteToldEnds(report, now);
  for (RequestDigest it : Crashes.merge(peer, report, now))
    quarantine(it, true, now);
  startWaiting(now);
  return takeActions();
}

DirectActions
DirectNode::restoreQuarantine(const std::vector<RequestDigest> &requests,
                              TimePoint now) {
  Crashes.restore(requests, now);
  for (RequestDigest it : requests)
    if (Crashes.standingOf(it) == CrashStanding::Quarantined)
      endQuarantined(it, now);
  return takeActions();
}

CrashReport DirectNode::takeCrashReport(TimePoint now) {
  if (Crashes.isEmpty())
    return {};
  CrashReport out{Crashes.takeRows(Book.livePeers(now) + 1, now), {}};
  for (const auto &[id, call] : Calls) {
    bool isSuspect = call.Current && Crashes.standingOf(call.Request.Digest) ==
                                         CrashStanding::Suspect;
    if (isSuspect && out.Runs.size() < MaxToldRuns)
      out.Runs.push_back({call.Request.Digest, digestLife(*call.Current)});
  }
  return out;
}

bool DirectNode::isSuspect(const CallState &call) const {
  return Crashes.standingOf(call.Request.Digest) == CrashStanding::Suspect;
}

/// The endpoint for a suspect; null if there is none or it is not its turn. A
/// group that opens wakes the copies of a request at all entries at the same
/// moment; their turns are drawn apart, so that the first one's is heard of
/// before the next begins.
const EndpointState *DirectNode::pickForSuspect(CallState &call,
                                                TimePoint now) {
  bool isPressing = Crashes.crashesOf(call.Request.Digest) > 1;
  const EndpointState *state =
      Picker.pickApart(call, livesOfSuspects(call, now), isPressing, now);
  if (!state)
    call.TurnAt.reset();
  if (!state || !isPressing)
    return state;
  if (!call.TurnAt) {
    std::uniform_int_distribution<Duration::rep> turn(0, TurnSpread.count());
    call.TurnAt = now + Duration(turn(Random));
  }
  return now < *call.TurnAt ? nullptr : state;
}

/// Whether the call has to wait though there may be room: what became of its
/// last endpoint is being asked or judged, or it is a suspect that runs
/// already. One at a time, so that no more endpoints end than it takes to know.
bool DirectNode::mustStandBack(const CallState &call, TimePoint now) const {
  RequestDigest request = call.Request.Digest;
  for (const auto &[id, runs] : Checks)
    if (std::any_of(runs.begin(), runs.end(),
                    [&](const CutRun &it) { return it.Request == request; }))
      return true;
  if (!isSuspect(call))
    return false;
  if (Crashes.isSettling(request))
    return true;
  bool runsHere = std::any_of(Calls.begin(), Calls.end(), [&](const auto &it) {
    return it.second.Current && it.second.Request.Digest == request;
  });
  return runsHere || Crashes.runsElsewhere(request, now);
}

/// The endpoints at which suspects other than \p call's request run: a second
/// one there could not be told from the first if the endpoint ended.
std::set<LifeDigest> DirectNode::livesOfSuspects(const CallState &call,
                                                 TimePoint now) const {
  std::set<LifeDigest> out = Crashes.livesOfOthers(call.Request.Digest, now);
  for (const auto &[id, other] : Calls) {
    const EndpointState *state =
        other.Current ? Book.find(*other.Current) : nullptr;
    if (state && isSuspect(other) &&
        other.Request.Digest != call.Request.Digest)
      out.insert(state->Life);
  }
  return out;
}

/// Gives every call of \p request its final answer at once. What is under way
/// may not have begun at its endpoint yet: it is stopped unless that would
/// leave its caller in doubt.
void DirectNode::endQuarantined(RequestDigest request, TimePoint now) {
  std::vector<CallId> waiting;
  for (auto &[id, call] : Calls) {
    if (call.Request.Digest != request)
      continue;
    if (!call.Current) {
      waiting.push_back(id);
      continue;
    }
    if (call.IsStopping || !call.Request.Route->isRepeatable())
      continue;
    call.IsStopping = true;
    Out.emplace_back(StopAttempt{id, MoveReason::Quarantined, Duration(),
                                 call.Deadline - now});
  }
  for (CallId id : waiting)
    end(Calls.at(id), ResultCode::RequestQuarantined, Duration::zero());
}
