//===- EntryCrashes.cpp - requests that end endpoints, at an entry --------===//
//
// The part of EntryNode that puts ended endpoints down to requests, keeps
// suspects apart, and exchanges what is known with the other entries through
// relaying agents.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Routing/EntryNode.h"

#include <algorithm>
#include <utility>

using namespace ospreyspur;

/// Over which the turns of a suspect's copies at all entries are drawn: many
/// times what the news of a start takes through a relay.
static constexpr Duration TurnSpread = std::chrono::milliseconds(200);
/// Suspects under way in one report.
static constexpr std::size_t MaxToldRuns = 64;

/// A life as all entries name it.
static LifeDigest lifeOf(const EndpointId &endpoint, const Finish &msg) {
  return digestLife(EndpointId(endpoint.get() + '/' +
                               std::to_string(msg.Id.Issuer.get()) + '/' +
                               std::to_string(msg.Life.get())));
}

void EntryNode::noteCrash(const Call &call, const Finish &msg, TimePoint now) {
  RequestDigest request = call.Request.Digest;
  const EndpointId &endpoint = call.Permit->Endpoint;
  const ServiceView *service = findService(call);
  Duration ran = now - call.SentAt;
  Crashes.onCrash(request, lifeOf(endpoint, msg), ran,
                  service ? service->Endpoints.size() : 1, now);
  CrashNotes.push_back({request, std::to_string(call.Request.Id.get()),
                        endpoint, ran, Crashes.crashesOf(request),
                        Crashes.chanceOf(request, now),
                        Crashes.standingOf(request), false});
  Reporter.onChange(now);
  judgeCrashes(now);
}

/// Ends wait until the other entries have told what else ran there; without
/// others there is nothing to wait for.
void EntryNode::judgeCrashes(TimePoint now) {
  bool isAlone = Reporter.entryCount(now) == 1;
  for (RequestDigest it :
       isAlone ? Crashes.judgeAll(now) : Crashes.judge(now)) {
    quarantine(it, false, now);
    Reporter.onChange(now);
  }
}

void EntryNode::quarantine(RequestDigest request, bool isTold, TimePoint now) {
  CrashNotes.push_back(
      {request, "", EndpointId(), Duration(), Crashes.crashesOf(request),
       Crashes.chanceOf(request, now), CrashStanding::Quarantined, isTold});
  endQuarantined(request);
}

/// Gives every call of \p request its final answer at once. What is under way
/// may still wait at its agent; it is withdrawn unless that would leave its
/// caller in doubt.
void EntryNode::endQuarantined(RequestDigest request) {
  std::vector<CallId> ended;
  for (const auto &[id, call] : Calls) {
    if (call.Request.Digest != request)
      continue;
    bool isOut = call.Stage == CallStage::Dispatched ||
                 call.Stage == CallStage::Accepted;
    bool isUnsent = call.Stage == CallStage::Probing ||
                    call.Stage == CallStage::StandingBack;
    if (isUnsent || (isOut && mayRunElsewhere(call)))
      ended.push_back(id);
  }
  for (CallId id : ended) {
    Call &call = Calls.at(id);
    if (call.Permit)
      send(call.Permit->Endpoint, Cancel{call.Permit->Id, call.Attempt});
    finishWith(call, ResultCode::RequestQuarantined);
  }
}

EntryActions
EntryNode::restoreQuarantine(const std::vector<RequestDigest> &requests,
                             TimePoint now) {
  Crashes.restore(requests, now);
  for (RequestDigest it : requests)
    if (Crashes.standingOf(it) == CrashStanding::Quarantined)
      endQuarantined(it);
  return takeActions();
}

bool EntryNode::isSuspect(const Call &call) const {
  return Crashes.standingOf(call.Request.Digest) == CrashStanding::Suspect;
}

bool EntryNode::isQuarantined(const Call &call) const {
  return Crashes.standingOf(call.Request.Digest) == CrashStanding::Quarantined;
}

/// Whether another run of the same suspect goes first. One at a time, so that
/// no more endpoints end than it takes to know. What ended two endpoints waits
/// for a turn that is drawn at each entry, so that the first one's start is
/// heard of before the next.
bool EntryNode::mustStandBack(Call &call, TimePoint now) {
  if (!isSuspect(call) || call.Request.WantsTicket)
    return false;
  RequestDigest request = call.Request.Digest;
  bool runsHere = std::any_of(Calls.begin(), Calls.end(), [&](const auto &it) {
    const Call &other = it.second;
    bool isOut = other.Stage == CallStage::Dispatched ||
                 other.Stage == CallStage::Accepted;
    return isOut && it.first != call.Request.Id &&
           other.Request.Digest == request;
  });
  if (runsHere || Crashes.isSettling(request) ||
      Crashes.runsElsewhere(request, now)) {
    call.TurnAt.reset();
    return true;
  }
  if (Crashes.crashesOf(request) < 2 || Reporter.entryCount(now) == 1)
    return false;
  if (!call.TurnAt) {
    std::uniform_int_distribution<Duration::rep> turn(0, TurnSpread.count());
    call.TurnAt = now + Duration(turn(Random));
  }
  return now < *call.TurnAt;
}

void EntryNode::standBack(Call &call, TimePoint now) {
  if (!call.StandsBackUntil)
    call.StandsBackUntil = now + Limits.MaxStandBack;
  if (now >= *call.StandsBackUntil) {
    finishWith(call, call.LastRefusal);
    return;
  }
  call.Stage = CallStage::StandingBack;
  call.Offers.clear();
  touch(call, Limits.StandBackLook, now);
}

/// Goes on from where the call stood back. A caller's ticket names its agent.
void EntryNode::goOn(Call &call, TimePoint now) {
  if (!call.Request.CallerTicket)
    startProbing(call, now);
  else if (mustStandBack(call, now))
    standBack(call, now);
  else
    dispatch(call, now);
}

/// The endpoints at which suspects other than \p call's request run: a second
/// one there could not be told from the first if the endpoint ended.
std::set<LifeDigest> EntryNode::placesOfSuspects(const Call &call,
                                                 TimePoint now) const {
  if (!isSuspect(call))
    return {};
  std::set<LifeDigest> out = Crashes.livesOfOthers(call.Request.Digest, now);
  for (const SuspectRun &it : suspectRuns())
    if (it.Request != call.Request.Digest)
      out.insert(it.Life);
  return out;
}

/// The suspects that this entry has at agents. An endpoint's present life is
/// known to its agent only, so its id stands for it.
std::vector<SuspectRun> EntryNode::suspectRuns() const {
  std::vector<SuspectRun> out;
  if (Crashes.isEmpty())
    return out;
  for (const auto &[id, call] : Calls) {
    bool isOut = call.Stage == CallStage::Dispatched ||
                 call.Stage == CallStage::Accepted ||
                 call.Stage == CallStage::Resolving;
    if (isOut && isSuspect(call) && out.size() < MaxToldRuns)
      out.push_back({call.Request.Digest, digestLife(call.Permit->Endpoint)});
  }
  return out;
}

void EntryNode::tellRelays(TimePoint now) {
  for (const EndpointId &relay : Reporter.takeSubscriptions(now)) {
    send(relay, CrashUpdate{Name, 0, {}});
    for (CrashReport &it : Crashes.allRows(now))
      send(relay, CrashUpdate{Name, 0, std::move(it)});
  }
  for (const EndpointId &relay : Reporter.takeGreetings(now))
    send(relay, CrashUpdate{Name, 0, {}});
  std::vector<SuspectRun> runs = suspectRuns();
  if (!Reporter.takeReport(!runs.empty(), now))
    return;
  CrashReport report{Crashes.takeRows(Reporter.entryCount(now), now),
                     std::move(runs)};
  for (const EndpointId &relay : Reporter.relays())
    send(relay, CrashUpdate{Name, 0, report});
}

void EntryNode::handle(const EndpointId &from, const CrashUpdate &msg,
                       TimePoint now) {
  Reporter.onCount(from, msg.Entries, now);
  if (msg.Report.isEmpty() && msg.Sender.empty())
    return;
  for (RequestDigest it : Crashes.merge(msg.Sender, msg.Report, now))
    quarantine(it, true, now);
}
