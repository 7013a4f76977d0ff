//===- CrashSimulation.cpp - entries with endpoints that crash ------------===//
//
// See CrashSimulation.h.
//
//===----------------------------------------------------------------------===//

#include "Direct/CrashSimulation.h"

#include "Direct/NodeFixture.h"

#include <algorithm>

using namespace test;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// How long ranks of a group stall before they cut the requests that depend on
/// a crashed rank, how long forming a group takes, and how long a crashed
/// endpoint is down.
static constexpr milliseconds StallTime(1500);
/// When an endpoint sends an event after the first byte of a response.
static constexpr milliseconds EventTime(1100);
static constexpr milliseconds FormTime(600);
static constexpr milliseconds LeastDownTime(3500);
static constexpr milliseconds MostDownTime(6000);

CrashSimulation::CrashSimulation(std::uint64_t seed,
                                 CrashSimulationOptions sizes)
    : Time(seed, 0), Sizes(sizes) {
  auto config = std::make_shared<FleetConfig>();
  RouteRule route = makeRoute(RequestKind::Stream, 2, true);
  route.Services = {{ServiceId("s"), 1}};
  config->Routes.push_back(route);
  EngineCosts engine;
  engine.StepPerRequest = milliseconds(1);
  engine.PrefillTokensPerSecond = 70000;
  config->Services.emplace(ServiceId("s"),
                           ServiceRule{ServiceId("s"), 400, engine});
  Config = std::move(config);
  for (unsigned i = 0; i < sizes.Groups * sizes.Ranks; ++i) {
    Endpoints.emplace_back();
    Endpoints.back().Group = i / sizes.Ranks;
  }
  OpenAt.resize(sizes.Groups);
  Entries.resize(sizes.Entries);
  for (unsigned i = 0; i < sizes.Entries; ++i)
    startEntry(i);
  scheduleHarmlessRequest();
}

EndpointRecord CrashSimulation::recordOf(unsigned i) const {
  EndpointRecord out;
  out.Name = "e" + std::to_string(i);
  out.Incarnation = EndpointIncarnation(Endpoints[i].Incarnation);
  out.Id = makeEndpointId(out.Name, out.Incarnation);
  out.Service = ServiceId("s");
  out.DataCentre = DataCentreId("a");
  out.Slots = Slots;
  out.AnswersStatusQueries = true;
  return out;
}

std::vector<ListedEndpoint> CrashSimulation::list() const {
  std::vector<ListedEndpoint> out;
  for (unsigned i = 0; i < Endpoints.size(); ++i)
    out.push_back({recordOf(i), false});
  return out;
}

unsigned CrashSimulation::indexOf(const EndpointId &id) const {
  return unsigned(std::stoul(id.get().substr(1, id.get().find('@') - 1)));
}

void CrashSimulation::startEntry(unsigned i) {
  Entry &entry = Entries[i];
  ++entry.Incarnation;
  entry.FrozenUntil = TimePoint();
  entry.TimerAt = TimePoint();
  entry.DisturbedAt = Time.now();
  entry.Node = std::make_unique<DirectNode>(DataCentreId("a"), DirectLimits(),
                                            Time.below(1U << 30U));
  entry.Node->setEndpoints(list());
  deliver(i, entry.Incarnation,
          [this](DirectNode &it) { return it.onTimer(Time.now()); });
  report(i, entry.Incarnation);
}

void CrashSimulation::publish() {
  std::vector<ListedEndpoint> listed = list();
  for (unsigned i = 0; i < Entries.size(); ++i)
    toEntry(i, [this, listed](DirectNode &it) {
      it.setEndpoints(listed);
      return it.onTimer(Time.now());
    });
}

/// Delivers \p input to an entry after the transport delay.
void CrashSimulation::toEntry(
    unsigned i, std::function<DirectActions(DirectNode &)> input) {
  Time.at(Time.now() + between(milliseconds(1), milliseconds(3)),
          [this, i, incarnation = Entries[i].Incarnation,
           input = std::move(input)] { deliver(i, incarnation, input); });
}

void CrashSimulation::deliver(
    unsigned i, unsigned incarnation,
    const std::function<DirectActions(DirectNode &)> &input) {
  Entry &entry = Entries[i];
  if (entry.Incarnation != incarnation || !entry.Node)
    return;
  if (Time.now() < entry.FrozenUntil) {
    Time.at(entry.FrozenUntil,
            [this, i, incarnation, input] { deliver(i, incarnation, input); });
    return;
  }
  for (const DirectAction &action : input(*entry.Node))
    std::visit([&](const auto &it) { perform(i, it); }, action);
  setTimer(i);
}

void CrashSimulation::setTimer(unsigned i) {
  Entry &entry = Entries[i];
  std::optional<TimePoint> due = entry.Node->nextTimer();
  if (!due || (entry.TimerAt > Time.now() && entry.TimerAt <= *due))
    return;
  // A node whose timer is already due is called a moment later.
  entry.TimerAt = std::max(*due, Time.now() + milliseconds(1));
  Time.at(entry.TimerAt, [this, i, incarnation = entry.Incarnation] {
    deliver(i, incarnation,
            [this](DirectNode &it) { return it.onTimer(Time.now()); });
  });
}

void CrashSimulation::report(unsigned i, unsigned incarnation) {
  Entry &entry = Entries[i];
  if (entry.Incarnation != incarnation || !entry.Node)
    return;
  Time.at(Time.now() + milliseconds(50),
          [this, i, incarnation] { report(i, incarnation); });
  sendReport(i, incarnation);
}

void CrashSimulation::sendReport(unsigned i, unsigned incarnation) {
  Entry &entry = Entries[i];
  if (entry.Incarnation != incarnation || !entry.Node ||
      Time.now() < entry.FrozenUntil)
    return;
  std::vector<EndpointLoad> loads =
      entry.Node->endpointTable().ownLoads(Time.now());
  CrashReport crashes = entry.Node->takeCrashReport(Time.now());
  std::string name = "n" + std::to_string(i);
  for (unsigned k = 0; k < Entries.size(); ++k) {
    if (k == i || Time.chance(Sizes.LostReports) ||
        Time.now() < ReportsCutUntil)
      continue;
    toEntry(k, [this, name, loads, crashes](DirectNode &it) {
      it.setPeerLoad(name, loads, Time.now());
      return it.onCrashReport(name, crashes, Time.now());
    });
  }
}

void CrashSimulation::scheduleHarmlessRequest() {
  auto interval = Duration(std::int64_t(1e6 / Sizes.HarmlessPerSecond));
  Time.at(Time.now() + between(Duration(0), 2 * interval), [this] {
    ++LastHarmless;
    call({RequestDigest(LastHarmless),
          {CommonPart, makeHarmlessPart(unsigned(LastHarmless))},
          0});
    scheduleHarmlessRequest();
  });
}

void CrashSimulation::addDeadlyRequest(RequestDigest request,
                                       Duration meanInterval) {
  DeadlyRequests.insert(request);
  scheduleDeadlyRequest(request, meanInterval);
}

void CrashSimulation::scheduleDeadlyRequest(RequestDigest request,
                                            Duration meanInterval) {
  Time.at(Time.now() + between(Duration(0), 2 * meanInterval),
          [this, request, meanInterval] {
            call({request, {CommonPart}, 0});
            scheduleDeadlyRequest(request, meanInterval);
          });
}

void CrashSimulation::addDeadlyPart(RequestDigest part,
                                    const std::vector<RequestDigest> &parts,
                                    Duration meanInterval) {
  DeadlyParts.insert(part);
  scheduleDeadlyPart(parts, meanInterval);
}

void CrashSimulation::scheduleDeadlyPart(
    const std::vector<RequestDigest> &parts, Duration meanInterval) {
  Time.at(Time.now() + between(Duration(0), 2 * meanInterval),
          [this, parts, meanInterval] {
            call({RequestDigest(++LastHarmless), parts, 0});
            scheduleDeadlyPart(parts, meanInterval);
          });
}

RequestDigest CrashSimulation::deadlyCauseOf(const Caller &caller) const {
  if (DeadlyRequests.contains(caller.Request))
    return caller.Request;
  for (RequestDigest it : caller.Parts)
    if (DeadlyParts.contains(it))
      return it;
  return RequestDigest();
}

void CrashSimulation::addCrashWave(unsigned n, Duration span) {
  for (unsigned i = 0; i < n; ++i)
    Time.at(Time.now() + between(Duration(0), span),
            [this] { crash(unsigned(Time.below(Endpoints.size()))); });
}

void CrashSimulation::call(Caller caller) {
  auto i = unsigned(Time.below(Entries.size()));
  CallId id(++LastCall);
  ++caller.Tries;
  Callers[id] = caller;
  toEntry(i, [this, id, caller](DirectNode &it) {
    DirectRequest request;
    request.Id = id;
    request.Config = Config;
    request.Route = &Config->Routes.front();
    request.TimeLeft = seconds(8);
    request.Tokens.Prompt = 800;
    request.Digest = caller.Request;
    request.Parts = caller.Parts;
    return it.onCall(std::move(request), Time.now());
  });
}

/// Callers send each request once more, whatever the result.
void CrashSimulation::onResult(CallId id, ResultCode code) {
  auto it = Callers.find(id);
  if (it == Callers.end())
    return;
  Caller caller = it->second;
  Callers.erase(it);
  ++(isDeadly(caller) ? DeadlyResults : HarmlessResults)[code];
  if (caller.Tries < 2)
    Time.at(Time.now() + milliseconds(200), [this, caller] { call(caller); });
}

void CrashSimulation::perform(unsigned i, const StartAttempt &it) {
  Run run{i, Entries[i].Incarnation, it.Call, Callers[it.Call], false};
  // A change is reported after the delay that batches changes.
  Time.at(Time.now() + milliseconds(8),
          [this, i, incarnation = run.EntryIncarnation] {
            sendReport(i, incarnation);
          });
  Time.at(
      Time.now() + between(milliseconds(1), milliseconds(3)),
      [this, run, id = it.Endpoint.Id] { onArrival(indexOf(id), run, id); });
}

void CrashSimulation::onArrival(unsigned endpoint, const Run &run,
                                const EndpointId &meant) {
  Endpoint &it = Endpoints[endpoint];
  if (!it.IsUp) {
    endRun(run, AttemptEnd::NeverSent, ConnectionEnd::Ours);
    return;
  }
  if (recordOf(endpoint).Id != meant) {
    endRun(run, AttemptEnd::OtherIncarnation, ConnectionEnd::Ours);
    return;
  }
  if (Time.now() - Entries[run.Entry].DisturbedAt >= ContactTime)
    Arrivals[isDeadly(run.From) ? deadlyCauseOf(run.From) : run.From.Request]
        .push_back(Time.now());
  if (Time.now() < OpenAt[it.Group] || it.Runs.size() >= Slots) {
    endRun(run, AttemptEnd::Full, ConnectionEnd::Ours);
    return;
  }
  std::uint64_t number = ++LastRun;
  it.Runs[number] = run;
  unsigned incarnation = it.Incarnation;
  Duration queued = between(milliseconds(30), milliseconds(250));
  if (isDeadly(run.From)) {
    Duration ran = queued + between(milliseconds(20), milliseconds(90));
    Time.at(Time.now() + ran, [this, endpoint, number, incarnation] {
      Endpoint &there = Endpoints[endpoint];
      auto found = there.Runs.find(number);
      if (there.Incarnation != incarnation || found == there.Runs.end())
        return;
      CrashTimes[deadlyCauseOf(found->second.From)].push_back(Time.now());
      crash(endpoint);
    });
    return;
  }
  Time.at(Time.now() + queued, [this, endpoint, number, incarnation] {
    Endpoint &there = Endpoints[endpoint];
    auto found = there.Runs.find(number);
    if (there.Incarnation != incarnation || found == there.Runs.end() ||
        Time.now() < OpenAt[there.Group])
      return;
    found->second.HasBegun = true;
    CallId id = found->second.Call;
    toEntry(found->second.Entry, [this, id](DirectNode &node) {
      return node.onFirstByte(id, Time.now());
    });
  });
  Time.at(Time.now() + queued + EventTime,
          [this, endpoint, number, incarnation] {
            Endpoint &there = Endpoints[endpoint];
            auto found = there.Runs.find(number);
            if (there.Incarnation != incarnation || found == there.Runs.end() ||
                !found->second.HasBegun || Time.now() < OpenAt[there.Group])
              return;
            CallId id = found->second.Call;
            toEntry(found->second.Entry, [this, id](DirectNode &node) {
              return node.onEvents(id, Time.now());
            });
          });
  Duration ran = queued + between(milliseconds(400), milliseconds(1800));
  Time.at(Time.now() + ran, [this, endpoint, number, incarnation] {
    finish(endpoint, number, incarnation);
  });
}

void CrashSimulation::finish(unsigned endpoint, std::uint64_t run,
                             unsigned incarnation) {
  Endpoint &it = Endpoints[endpoint];
  auto found = it.Runs.find(run);
  // Stalled requests are cut by stall().
  if (it.Incarnation != incarnation || found == it.Runs.end() ||
      Time.now() < OpenAt[it.Group])
    return;
  Run done = found->second;
  it.Runs.erase(found);
  HarmlessCompleted += Callers.erase(done.Call);
  endRun(done, AttemptEnd::Complete, ConnectionEnd::Ours);
}

void CrashSimulation::endRun(const Run &run, AttemptEnd end,
                             ConnectionEnd connection) {
  if (Entries[run.Entry].Incarnation != run.EntryIncarnation)
    return;
  toEntry(run.Entry, [this, run, end, connection](DirectNode &it) {
    return it.onAttemptEnded(run.Call, end, Time.now(), connection);
  });
}

/// Crashes the process at \p endpoint with all its running requests. The group
/// of \p endpoint stalls, and is formed again when the endpoint is back.
void CrashSimulation::crash(unsigned endpoint) {
  Endpoint &it = Endpoints[endpoint];
  if (!it.IsUp)
    return;
  it.IsUp = false;
  for (const auto &[number, run] : std::exchange(it.Runs, {}))
    endRun(run, run.HasBegun ? AttemptEnd::BrokeOff : AttemptEnd::Lost,
           ConnectionEnd::Endpoint);
  Duration down = between(LeastDownTime, MostDownTime);
  TimePoint back = Time.now() + down;
  OpenAt[it.Group] = std::max(OpenAt[it.Group], back + FormTime);
  Time.at(Time.now() + StallTime, [this, group = it.Group] { stall(group); });
  Time.at(back, [this, endpoint] {
    Endpoints[endpoint].IsUp = true;
    ++Endpoints[endpoint].Incarnation;
    publish();
  });
}

void CrashSimulation::stall(unsigned group) {
  for (Endpoint &it : Endpoints) {
    if (it.Group != group)
      continue;
    for (const auto &[number, run] : std::exchange(it.Runs, {}))
      endRun(run, run.HasBegun ? AttemptEnd::BrokeOff : AttemptEnd::Full,
             run.HasBegun ? ConnectionEnd::Endpoint : ConnectionEnd::Ours);
  }
}

void CrashSimulation::perform(unsigned /*i*/, const EndCall &it) {
  onResult(it.Call, it.Code);
}

void CrashSimulation::perform(unsigned i, const ForwardResponse &it) {
  onResult(it.Call, ResultCode::EndpointFailed);
  toEntry(i, [this, id = it.Call](DirectNode &node) {
    return node.onCallClosed(id, Time.now());
  });
}

void CrashSimulation::perform(unsigned i, const QueryEndpoint &it) {
  Endpoint &there = Endpoints[indexOf(it.Endpoint.Id)];
  std::optional<EndpointStatus> status;
  if (there.IsUp && recordOf(indexOf(it.Endpoint.Id)).Id == it.Endpoint.Id)
    status = EndpointStatus{GroupId("g" + std::to_string(there.Group)),
                            Time.now() >= OpenAt[there.Group],
                            unsigned(there.Runs.size()), 1};
  toEntry(i, [this, id = it.Endpoint.Id, status](DirectNode &node) {
    return node.onStatusReport(id, status, Time.now());
  });
}

void CrashSimulation::perform(unsigned i, const CheckEndpoint &it) {
  unsigned index = indexOf(it.Endpoint.Id);
  bool isAlive = Endpoints[index].IsUp && recordOf(index).Id == it.Endpoint.Id;
  EndpointLiveness liveness =
      isAlive ? EndpointLiveness::Alive : EndpointLiveness::Exited;
  toEntry(i, [this, id = it.Endpoint.Id, liveness](DirectNode &node) {
    return node.onChecked(id, liveness, Time.now());
  });
}

void CrashSimulation::perform(unsigned i, const StopAttempt &it) {
  for (Endpoint &endpoint : Endpoints)
    for (auto run = endpoint.Runs.begin(); run != endpoint.Runs.end(); ++run) {
      bool isIt = run->second.Call == it.Call && run->second.Entry == i &&
                  run->second.EntryIncarnation == Entries[i].Incarnation;
      if (!isIt)
        continue;
      Run stopped = run->second;
      endpoint.Runs.erase(run);
      endRun(stopped,
             stopped.HasBegun ? AttemptEnd::BrokeOff : AttemptEnd::Lost,
             ConnectionEnd::Ours);
      return;
    }
}

void CrashSimulation::killEntry(unsigned i) {
  Entry &entry = Entries[i];
  ++entry.Incarnation;
  entry.Node.reset();
  for (Endpoint &it : Endpoints)
    std::erase_if(it.Runs,
                  [&](const auto &run) { return run.second.Entry == i; });
  Time.at(Time.now() + milliseconds(500), [this, i] {
    if (!Entries[i].Node)
      startEntry(i);
  });
}

void CrashSimulation::freezeEntry(unsigned i, Duration span) {
  Entries[i].FrozenUntil = Time.now() + span;
  Entries[i].DisturbedAt = Time.now() + span;
}

std::size_t CrashSimulation::maxHarmlessArrivals() const {
  std::size_t most = 0;
  for (const auto &[request, times] : Arrivals)
    if (!DeadlyRequests.contains(request) && !DeadlyParts.contains(request))
      most = std::max(most, times.size());
  return most;
}
