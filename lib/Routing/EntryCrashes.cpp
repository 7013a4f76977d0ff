//===- EntryCrashes.cpp - requests that crash endpoints, at an entry ------===//
//
// The part of EntryNode that attributes endpoint crashes to requests, isolates
// suspect requests, and replicates crashes and suspect runs to the other
// entries through relays.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Routing/EntryNode.h"

#include <algorithm>
#include <utility>

using namespace ospreyspur;

/// Upper bound of the random backoff before a suspect request with several
/// crashes is dispatched. The bound is many times a relay's latency.
static constexpr Duration MaxSuspectBackoff = std::chrono::milliseconds(200);
/// Maximum number of suspect runs in one report.
static constexpr std::size_t MaxReportedRuns = 64;

/// Returns a digest that identifies an endpoint's incarnation at all entries.
static IncarnationDigest incarnationOf(const EndpointId &endpoint,
                                       const Finish &msg) {
  return digestIncarnation(
      EndpointId(endpoint.get() + '/' + std::to_string(msg.Id.Issuer.get()) +
                 '/' + std::to_string(msg.Incarnation.get())));
}

void EntryNode::noteCrash(const Call &call, const Finish &msg, TimePoint now) {
  const EndpointId &endpoint = call.Permit->Endpoint;
  const ServiceView *service = findService(call);
  Crashes.onCrash({call.Subject, std::to_string(call.Request.Id.get()),
                   now - call.SentAt, call.HasProgressed},
                  endpoint, incarnationOf(endpoint, msg),
                  service ? service->Endpoints.size() : 1, now);
  Reporter.onChange(now);
  updateCrashVerdicts(now);
}

/// Decides what to quarantine. The decision on a request waits for the reports
/// of other entries, except at an entry that knows of no other.
void EntryNode::updateCrashVerdicts(TimePoint now) {
  if (!Crashes.updateVerdicts(Reporter.entryCount(now) == 1, now))
    return;
  endQuarantined();
  Reporter.onChange(now);
}

/// Records that the current dispatch of \p call has been receiving data for
/// CrashQuarantine::ProgressTime.
void EntryNode::recordProgress(Call &call, TimePoint now) {
  if (!call.FirstDataAt)
    call.FirstDataAt = now;
  if (call.HasProgressed ||
      now - *call.FirstDataAt < CrashQuarantine::ProgressTime)
    return;
  call.HasProgressed = true;
  Crashes.onProgress(call.Subject, now);
}

/// Fails the calls that a quarantine concerns and that are probing or deferred,
/// and cancels and fails the dispatched ones that may run elsewhere, as these
/// may still be queued at their agents. All other calls go on.
void EntryNode::endQuarantined() {
  std::vector<std::pair<CallId, ResultCode>> ended;
  for (const auto &[id, call] : Calls) {
    ResultCode code = Crashes.codeOf(call.Subject);
    if (code == ResultCode::Ok)
      continue;
    bool isInFlight = call.Stage == CallStage::Dispatched ||
                      call.Stage == CallStage::Accepted;
    bool isUndispatched =
        call.Stage == CallStage::Probing || call.Stage == CallStage::Deferred;
    bool isRunning = code == ResultCode::PartQuarantined && call.HasProgressed;
    if (isUndispatched || (isInFlight && mayRunElsewhere(call) && !isRunning))
      ended.emplace_back(id, code);
  }
  for (const auto &[id, code] : ended) {
    Call &call = Calls.at(id);
    if (call.Permit)
      send(call.Permit->Endpoint, Cancel{call.Permit->Id, call.Attempt});
    finishWith(call, code);
  }
}

EntryActions
EntryNode::restoreQuarantine(const std::vector<RequestDigest> &requests,
                             TimePoint now) {
  Crashes.restore(requests, now);
  endQuarantined();
  return takeActions();
}

bool EntryNode::isSuspect(const Call &call) const {
  return Crashes.requests().verdictOf(call.Subject.Request) ==
         CrashVerdict::Suspect;
}

/// Whether the call must wait for another run of the same suspect request, for
/// a pending crash verdict or for its random backoff, which starts here.
/// Running a suspect request once at a time bounds the number of endpoints that
/// it can crash before it is quarantined. From the second crash on, a random
/// backoff keeps entries from dispatching it at the same time.
bool EntryNode::mustDefer(Call &call, TimePoint now) {
  if (!isSuspect(call) || call.Request.WantsTicket)
    return false;
  RequestDigest request = call.Subject.Request;
  bool runsHere = std::any_of(Calls.begin(), Calls.end(), [&](const auto &it) {
    const Call &other = it.second;
    bool isInFlight = other.Stage == CallStage::Dispatched ||
                      other.Stage == CallStage::Accepted;
    return isInFlight && it.first != call.Request.Id &&
           other.Subject.Request == request;
  });
  if (runsHere || Crashes.requests().isVerdictPending(request) ||
      Crashes.requests().runsElsewhere(request, now)) {
    call.NotBefore.reset();
    return true;
  }
  if (Crashes.requests().crashesOf(request) < 2 ||
      Reporter.entryCount(now) == 1)
    return false;
  if (!call.NotBefore) {
    std::uniform_int_distribution<Duration::rep> turn(
        0, MaxSuspectBackoff.count());
    call.NotBefore = now + Duration(turn(Random));
  }
  return now < *call.NotBefore;
}

void EntryNode::defer(Call &call, TimePoint now) {
  if (!call.DeferUntil)
    call.DeferUntil = now + Limits.MaxDefer;
  if (now >= *call.DeferUntil) {
    finishWith(call, call.LastRefusal);
    return;
  }
  call.Stage = CallStage::Deferred;
  call.Offers.clear();
  setStageTimer(call, Limits.DeferPollInterval, now);
}

/// Resumes a deferred call. A call with a caller's ticket needs no probing, as
/// the ticket names its agent.
void EntryNode::resume(Call &call, TimePoint now) {
  if (!call.Request.CallerTicket)
    startProbing(call, now);
  else if (mustDefer(call, now))
    defer(call, now);
  else
    dispatch(call, now);
}

/// Returns the endpoints that run other suspect requests. If such an endpoint
/// crashed with both requests, the crash could not be attributed.
std::set<IncarnationDigest>
EntryNode::endpointsOfSuspects(const Call &call, TimePoint now) const {
  if (!isSuspect(call))
    return {};
  std::set<IncarnationDigest> out =
      Crashes.requests().incarnationsOfOthers(call.Subject.Request, now);
  for (const SuspectAttempt &it : suspectRuns())
    if (it.Request != call.Subject.Request)
      out.insert(it.Incarnation);
  return out;
}

/// Returns the dispatched suspect requests. Only an agent knows its endpoint's
/// current incarnation, so the digest of the endpoint's id replaces it here.
std::vector<SuspectAttempt> EntryNode::suspectRuns() const {
  std::vector<SuspectAttempt> out;
  if (Crashes.isEmpty())
    return out;
  for (const auto &[id, call] : Calls) {
    bool isInFlight = call.Stage == CallStage::Dispatched ||
                      call.Stage == CallStage::Accepted ||
                      call.Stage == CallStage::Resolving;
    if (isInFlight && isSuspect(call) && out.size() < MaxReportedRuns)
      out.push_back(
          {call.Subject.Request, digestIncarnation(call.Permit->Endpoint)});
  }
  return out;
}

void EntryNode::sendReports(TimePoint now) {
  for (const EndpointId &relay : Reporter.takeSubscriptions(now)) {
    send(relay, CrashUpdate{Name, 0, {}});
    for (CrashReport &it : Crashes.allReports(now))
      send(relay, CrashUpdate{Name, 0, std::move(it)});
  }
  for (const EndpointId &relay : Reporter.takeHeartbeats(now))
    send(relay, CrashUpdate{Name, 0, {}});
  std::vector<SuspectAttempt> runs = suspectRuns();
  if (!Reporter.takeReport(!runs.empty(), now))
    return;
  CrashReport report = Crashes.takeReport(Reporter.entryCount(now), now);
  report.SuspectAttempts = std::move(runs);
  for (const EndpointId &relay : Reporter.relays())
    send(relay, CrashUpdate{Name, 0, report});
}

void EntryNode::handle(const EndpointId &from, const CrashUpdate &msg,
                       TimePoint now) {
  Reporter.onCount(from, msg.Entries, now);
  if (msg.Report.isEmpty() && msg.Sender.empty())
    return;
  if (Crashes.merge(msg.Sender, msg.Report, now))
    endQuarantined();
}
