//===- DirectCrashes.cpp - requests that crash endpoints ------------------===//
//
// The part of DirectNode that finds out whether an endpoint crashed when it
// closed a connection early, and keeps requests that crash endpoints away from
// them.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/DirectNode.h"

#include <algorithm>
#include <utility>

using namespace ospreyspur;

/// Range over which the start times of a suspect request's copies are drawn. It
/// is many times the delay of some 15 ms until other entries learn of a start,
/// and short compared with the time until the caller's deadline.
static constexpr Duration CopyStartSpread = std::chrono::milliseconds(200);

/// Handles an endpoint that closed the connection of the current attempt early.
/// A closed connection alone does not prove a crash, so the endpoint's liveness
/// is checked before the request is sent to another endpoint.
void DirectNode::handleClosedConnection(const CallState &call, TimePoint now) {
  const EndpointState *state = Table.find(*call.Current);
  bool isPlanned = !state || state->Record.IsLeaving || state->IsMissing;
  if (isPlanned || call.Request.Digest == RequestDigest())
    return;
  CrashedAttempt attempt{call.Subject, call.Request.Label, now - call.SentAt,
                         call.HasProgressed, hasOutlastedStart(call, now)};
  IncarnationDigest incarnation = digestIncarnation(*call.Current);
  if (std::optional<TimePoint> ended =
          Crashes.requests().crashTimeOf(incarnation)) {
    if (call.SentAt < *ended)
      recordCrash(*call.Current, attempt, now);
    return;
  }
  auto [it, isNew] = Checks.try_emplace(*call.Current);
  it->second.push_back(std::move(attempt));
  if (isNew)
    Out.emplace_back(CheckEndpoint{state->Record});
}

DirectActions DirectNode::onChecked(const EndpointId &id,
                                    EndpointLiveness liveness, TimePoint now) {
  auto it = Checks.find(id);
  if (it == Checks.end())
    return takeActions();
  std::vector<CrashedAttempt> attempts = std::move(it->second);
  Checks.erase(it);
  if (liveness == EndpointLiveness::Exited) {
    excludeGroupOf(id, now);
    for (const CrashedAttempt &attempt : attempts)
      recordCrash(id, attempt, now);
  }
  if (liveness == EndpointLiveness::Alive)
    for (const CrashedAttempt &attempt : attempts)
      if (attempt.HasOutlastedStart)
        Crashes.onProgress(attempt.Subject, now);
  startWaiting(now);
  return takeActions();
}

void DirectNode::recordCrash(const EndpointId &id,
                             const CrashedAttempt &attempt, TimePoint now) {
  Crashes.onCrash(attempt, id, digestIncarnation(id),
                  Picker.countEndpoints(attempt.Subject.Service), now);
}

void DirectNode::evaluateCrashes(TimePoint now) {
  if (Crashes.updateVerdicts(false, now))
    endQuarantined(now);
}

/// Whether the first byte of the current attempt arrived long ago.
bool DirectNode::hasOutlastedStart(const CallState &call, TimePoint now) {
  return call.HasFirstByte &&
         now - call.FirstByteAt >= CrashQuarantine::ProgressTime;
}

/// Records if the current attempt of \p call has been receiving data for
/// CrashQuarantine::ProgressTime.
void DirectNode::recordProgress(CallState &call, TimePoint now) {
  if (call.HasProgressed || !hasOutlastedStart(call, now))
    return;
  call.HasProgressed = true;
  Crashes.onProgress(call.Subject, now);
}

/// Stops sending requests to the group of \p id and marks its resumable streams
/// for migration. When one rank of a group has exited, the other ranks stall
/// and end their running requests after a second or two. A request sent there
/// meanwhile would wait as long for its rejection, while those that run there
/// can be migrated now.
void DirectNode::excludeGroupOf(const EndpointId &id, TimePoint now) {
  for (const EndpointId &member : Table.onIncarnationEnded(id, now))
    for (auto &[callId, call] : Calls) {
      bool isThere = call.Current == member && member != id;
      if (isThere && call.Request.Route->canResume() &&
          !std::exchange(call.IsSilent, true))
        Silent.insert(callId);
    }
}

/// Handles endpoint crashes that another entry saw within the last \c
/// CrashedGroupDelay.
void DirectNode::handleReportedCrashes(const CrashReport &report,
                                       TimePoint now) {
  std::set<IncarnationDigest> fresh;
  for (const CrashRecord &record : report.Records)
    for (const ReportedCrash &it : record.Crashes)
      if (it.Age < EndpointTable::CrashedGroupDelay &&
          !Crashes.requests().crashTimeOf(it.Incarnation))
        fresh.insert(it.Incarnation);
  if (fresh.empty())
    return;
  std::vector<EndpointId> ended;
  for (const auto &[id, state] : Table.states())
    if (fresh.contains(state.Incarnation))
      ended.push_back(id);
  for (const EndpointId &it : ended)
    excludeGroupOf(it, now);
}

DirectActions DirectNode::onCrashReport(const std::string &peer,
                                        const CrashReport &report,
                                        TimePoint now) {
  handleReportedCrashes(report, now);
  if (Crashes.merge(peer, report, now))
    endQuarantined(now);
  startWaiting(now);
  return takeActions();
}

DirectActions
DirectNode::restoreQuarantine(const std::vector<RequestDigest> &requests,
                              TimePoint now) {
  if (requests.empty())
    return takeActions();
  Crashes.restore(requests, now);
  endQuarantined(now);
  return takeActions();
}

CrashReport DirectNode::takeCrashReport(TimePoint now) {
  if (Crashes.isEmpty())
    return {};
  CrashReport out = Crashes.takeReport(Fleet.count(Duration::zero(), now), now);
  for (const auto &[id, call] : Calls) {
    if (call.Current && isSuspect(call) &&
        out.SuspectAttempts.size() < MaxReportedAttempts)
      out.SuspectAttempts.push_back(
          {call.Request.Digest, digestIncarnation(*call.Current)});
  }
  return out;
}

bool DirectNode::isSuspect(const CallState &call) const {
  return Crashes.requests().verdictOf(call.Request.Digest) ==
         CrashVerdict::Suspect;
}

/// Returns the endpoint for a suspect request; null if there is none or the
/// request's start time has not come. When a group becomes available, the
/// copies of a request wake up at all entries at the same moment. Random start
/// times let the other entries learn of the first start before the next copy
/// starts.
const EndpointState *DirectNode::pickForSuspect(CallState &call,
                                                TimePoint now) {
  bool hasSeveralCrashes =
      Crashes.requests().crashesOf(call.Request.Digest) > 1;
  const EndpointState *state = Picker.pickIsolated(
      call, incarnationsOfSuspects(call, now), hasSeveralCrashes, now);
  if (!state)
    call.CopyStartAt.reset();
  if (!state || !hasSeveralCrashes)
    return state;
  if (!call.CopyStartAt) {
    std::uniform_int_distribution<Duration::rep> turn(0,
                                                      CopyStartSpread.count());
    call.CopyStartAt = now + Duration(turn(Random));
  }
  return now < *call.CopyStartAt ? nullptr : state;
}

/// Whether the call has to wait though there may be capacity: the liveness of
/// its last endpoint is still being checked or evaluated, or the request is
/// suspect and already running. Only one copy of a suspect request runs at a
/// time, so that no more endpoints crash than are needed for a verdict.
bool DirectNode::mustDefer(const CallState &call, TimePoint now) const {
  RequestDigest request = call.Request.Digest;
  for (const auto &[id, runs] : Checks)
    if (std::any_of(runs.begin(), runs.end(), [&](const CrashedAttempt &it) {
          return it.Subject.Request == request;
        }))
      return true;
  if (!isSuspect(call))
    return false;
  if (Crashes.requests().isVerdictPending(request))
    return true;
  bool runsHere = std::any_of(Calls.begin(), Calls.end(), [&](const auto &it) {
    return it.second.Current && it.second.Request.Digest == request;
  });
  return runsHere || Crashes.requests().runsElsewhere(request, now);
}

/// Returns the endpoints that run suspect requests other than \p call's. If an
/// endpoint crashed while running two suspects, the crash could not be
/// attributed to either of them.
std::set<IncarnationDigest>
DirectNode::incarnationsOfSuspects(const CallState &call, TimePoint now) const {
  std::set<IncarnationDigest> out =
      Crashes.requests().incarnationsOfOthers(call.Request.Digest, now);
  for (const auto &[id, other] : Calls) {
    const EndpointState *state =
        other.Current ? Table.find(*other.Current) : nullptr;
    if (state && isSuspect(other) &&
        other.Request.Digest != call.Request.Digest)
      out.insert(state->Incarnation);
  }
  return out;
}

/// Ends the waiting calls that a quarantine concerns. An attempt in progress
/// may not have started at its endpoint yet, so the attempt is stopped, and
/// onAttemptEnded() ends its call. If that would leave the caller uncertain
/// whether the request ran, or if the endpoint has been sending the response
/// for some time, the attempt runs on.
void DirectNode::endQuarantined(TimePoint now) {
  std::vector<std::pair<CallId, ResultCode>> waiting;
  for (auto &[id, call] : Calls) {
    ResultCode code = Crashes.codeOf(call.Subject);
    if (code == ResultCode::Ok)
      continue;
    if (!call.Current) {
      waiting.emplace_back(id, code);
      continue;
    }
    bool isRunning = code == ResultCode::PartQuarantined && call.HasProgressed;
    if (call.IsStopping || isRunning || !call.Request.Route->isRepeatable())
      continue;
    call.IsStopping = true;
    Out.emplace_back(StopAttempt{id, StopReason::Quarantined, Duration(),
                                 call.Deadline - now});
  }
  for (const auto &[id, code] : waiting)
    end(Calls.at(id), code, Duration::zero());
}
