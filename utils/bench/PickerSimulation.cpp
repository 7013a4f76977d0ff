//===- PickerSimulation.cpp - simulation of a deployment ------------------===//
//
// See PickerSimulation.h.
//
//===----------------------------------------------------------------------===//

#include "PickerSimulation.h"

#include <algorithm>
#include <cmath>

using namespace ospreyspur;
using namespace ospreyspur::bench;
using std::chrono::milliseconds;

static constexpr Duration NearDelay = std::chrono::microseconds(300);
static constexpr Duration FarDelay = std::chrono::microseconds(1400);
static constexpr double PrefixSkew = 0.8;
static constexpr std::size_t TokensPerChunk = 32;
static const ServiceId model("model");

static double toMs(Duration it) {
  return std::chrono::duration<double, std::milli>(it).count();
}

PickerSimulation::PickerSimulation(const Deployment &deployment,
                                   const Method &method, std::uint64_t seed)
    : Plan(deployment), Picking(method), Scheduler(seed, 0), Random(seed),
      Began(Scheduler.now()), AllEndpoints(std::make_shared<RoutingSnapshot>()),
      Endpoints(Plan.Endpoints), Entries(Plan.Entries),
      IsStepping(Plan.Endpoints / Plan.GroupSize) {
  ServiceView &service = AllEndpoints->Services[model];
  service = {ServiceKind::Model, true, {}};
  for (std::size_t i = 0; i < Endpoints.size(); ++i) {
    Endpoint &it = Endpoints[i];
    it.Id = EndpointId("e" + std::to_string(i));
    AgentLimits limits;
    limits.Slots = Plan.Slots;
    limits.Ledger.MaxRecords = 1000000;
    it.Agent = std::make_unique<AgentNode>(it.Id, Incarnation(i + 1), "key",
                                           limits, i);
    it.Agent->setLeaving(false, Began);
    DataCentreId place("d" + std::to_string(i % Plan.DataCentres));
    EndpointView view{it.Id, model, place, "", {}, false};
    service.Endpoints.push_back(view);
    auto alone = std::make_shared<RoutingSnapshot>();
    alone->Services[model] = {ServiceKind::Model, true, {view}};
    it.SingleEndpoint = alone;
  }
  for (std::size_t i = 0; i < Entries.size(); ++i) {
    EntryLimits limits;
    limits.Probes = Picking.Probes;
    limits.Weights = Picking.Weights;
    DataCentreId place("d" + std::to_string(i % Plan.DataCentres));
    Entries[i].Node = std::make_unique<EntryNode>(place, limits, seed + i);
    Entries[i].Node->setSnapshot(AllEndpoints);
    Entries[i].NextRoundRobin = Random();
  }
  for (std::size_t i = 0; i < Plan.Prefixes; ++i)
    PrefixWeights.push_back(1.0 / std::pow(double(i + 1), PrefixSkew));
}

PickerResult PickerSimulation::run() {
  report();
  arrive(false);
  if (Plan.FloodRate > 0)
    arrive(true);
  while (!HasAllArrived || OpenCalls > 0)
    Scheduler.runUntil(Scheduler.now() + std::chrono::seconds(1));
  return std::move(Totals);
}

/// Refreshes the endpoint loads that LeastKnown uses.
void PickerSimulation::report() {
  for (Endpoint &it : Endpoints)
    it.KnownLoad = it.Agent->runningCount() + it.Agent->queuedCount();
  if (!HasAllArrived)
    Scheduler.at(Scheduler.now() + Picking.ReportEvery, [this] { report(); });
}

void PickerSimulation::arrive(bool isFlood) {
  TimePoint now = Scheduler.now();
  if (now - Began >= Plan.Span) {
    HasAllArrived = true;
    return;
  }
  bool isBurst =
      now - Began >= Plan.BurstAt && now - Began < Plan.BurstAt + Plan.BurstFor;
  double rate =
      isFlood ? Plan.FloodRate : Plan.Rate * (isBurst ? Plan.BurstFactor : 1);
  std::exponential_distribution<double> gap(rate);
  Scheduler.at(now + Duration(std::int64_t(gap(Random) * 1e6)),
               [this, isFlood] { arrive(isFlood); });
  sendCall(isFlood);
}

void PickerSimulation::sendCall(bool isFlood) {
  TimePoint now = Scheduler.now();
  std::size_t i = Random() % Entries.size();
  Entry &entry = Entries[i];
  std::uint64_t prefix = drawPrefix();
  CallerRequest request;
  request.Id = CallId(++LastCall);
  request.Workspace = WorkspaceId(
      isFlood ? "flood" : "w" + std::to_string(Random() % Plan.Workspaces));
  request.Service = model;
  request.IsRetryable = true;
  request.Deadline = Plan.Deadline;
  request.Prefix = Picking.UsesPrefix ? prefix : 0;
  request.Body = std::to_string(prefix);
  if (Picking.Strategy != Method::Kind::Shipped)
    entry.Node->setSnapshot(Endpoints[pickEndpoint(entry)].SingleEndpoint);
  Totals.Messages += Picking.ExtraMessages;
  entry.Calls[request.Id] = {now, {}, isFlood};
  ++OpenCalls;
  apply(i, entry.Node->onCall(std::move(request), now));
}

std::size_t PickerSimulation::pickEndpoint(Entry &entry) {
  if (Picking.Strategy == Method::Kind::RoundRobin)
    return entry.NextRoundRobin++ % Endpoints.size();
  if (Picking.Strategy == Method::Kind::LeastKnown) {
    std::size_t first = Random() % Endpoints.size();
    std::size_t best = first;
    for (std::size_t k = 0; k < Endpoints.size(); ++k) {
      std::size_t i = (first + k) % Endpoints.size();
      if (Endpoints[i].KnownLoad < Endpoints[best].KnownLoad)
        best = i;
    }
    return best;
  }
  // A sufficiently long random walk, whose edges represent free slots, ends at
  // an endpoint with a probability proportional to its free slots. Endpoints
  // without free slots keep a small weight.
  std::vector<double> free;
  for (const Endpoint &it : Endpoints) {
    std::size_t used = it.Agent->runningCount() + it.Agent->queuedCount();
    free.push_back(used < Plan.Slots ? double(Plan.Slots - used) : 0.01);
  }
  return std::discrete_distribution<std::size_t>(free.begin(),
                                                 free.end())(Random);
}

std::uint64_t PickerSimulation::drawPrefix() {
  std::discrete_distribution<std::uint64_t> draw(PrefixWeights.begin(),
                                                 PrefixWeights.end());
  return draw(Random) + 1;
}

Duration PickerSimulation::delay(std::size_t entry,
                                 std::size_t endpoint) const {
  bool isNear = entry % Plan.DataCentres == endpoint % Plan.DataCentres;
  return isNear ? NearDelay : FarDelay;
}

void PickerSimulation::apply(std::size_t i, const EntryActions &actions) {
  for (const EntryAction &action : actions) {
    const auto *send = std::get_if<SendToAgent>(&action);
    if (!send) {
      onEntryAction(i, action);
      continue;
    }
    ++Totals.Messages;
    std::size_t k = std::stoul(send->To.get().substr(1));
    Scheduler.at(Scheduler.now() + delay(i, k), [this, i, k,
                                                 body = send->Body] {
      apply(k, Endpoints[k].Agent->onMessage(LinkId(i), body, Scheduler.now()));
    });
  }
  setTimer(i);
}

void PickerSimulation::setTimer(std::size_t i) {
  if (auto due = Entries[i].Node->nextTimer())
    Scheduler.at(*due, [this, i, due] {
      if (Entries[i].Node->nextTimer() == due)
        apply(i, Entries[i].Node->onTimer(Scheduler.now()));
    });
}

void PickerSimulation::onEntryAction(std::size_t i, const EntryAction &action) {
  TimePoint now = Scheduler.now();
  auto &calls = Entries[i].Calls;
  if (const auto *data = std::get_if<ResponseData>(&action)) {
    Call &call = calls.at(data->Call);
    if (call.FirstToken == TimePoint())
      call.FirstToken = now;
    return;
  }
  const auto *end = std::get_if<ResponseEnd>(&action);
  const auto *error = std::get_if<ResponseError>(&action);
  if (!end && !error)
    return;
  CallId id = end ? end->Call : error->Call;
  Call call = calls.at(id);
  calls.erase(id);
  --OpenCalls;
  bool hasBegun = call.FirstToken != TimePoint();
  Totals.Completed += end != nullptr;
  Totals.Truncated += error && hasBegun;
  if (call.IsFlood)
    return;
  if (error) {
    ++Totals.Refused;
    Totals.RefusedMs.push_back(toMs(now - call.Began));
    return;
  }
  Totals.FirstMs.push_back(toMs(call.FirstToken - call.Began));
  Totals.BetweenMs.push_back(toMs(now - call.FirstToken) /
                             double(Plan.Tokens - 1));
}

void PickerSimulation::apply(std::size_t k, const AgentActions &actions) {
  for (const AgentAction &action : actions) {
    if (const auto *run = std::get_if<StartRun>(&action))
      startRun(k, *run);
    const auto *send = std::get_if<SendToLink>(&action);
    if (!send)
      continue;
    ++Totals.Messages;
    std::size_t i = send->To.get();
    Scheduler.at(Scheduler.now() + delay(i, k),
                 [this, i, k, body = send->Body] {
                   apply(i, Entries[i].Node->onMessage(Endpoints[k].Id, body,
                                                       Scheduler.now()));
                 });
  }
}

void PickerSimulation::startRun(std::size_t k, const StartRun &run) {
  Endpoint &endpoint = Endpoints[k];
  std::uint64_t prefix = std::stoull(run.Body);
  auto &cached = endpoint.Cached;
  auto it = std::find(cached.begin(), cached.end(), prefix);
  bool isHit = it != cached.end();
  if (isHit)
    cached.erase(it);
  cached.push_front(prefix);
  if (cached.size() > Plan.CachedPrefixes)
    cached.pop_back();
  ++Totals.Runs;
  Totals.Hits += isHit;
  std::size_t prefill = Plan.PromptTokens - (isHit ? Plan.PrefixTokens : 0);
  endpoint.Jobs.push_back({run.Id, Plan.Tokens, prefill, false});
  std::size_t group = k / Plan.GroupSize;
  if (!IsStepping[group])
    step(group);
}

/// Begins a step of all ranks, which lasts as long as the slowest rank needs.
void PickerSimulation::step(std::size_t group) {
  std::size_t most = 0;
  std::size_t sum = 0;
  double prefill = 0;
  for (std::size_t k = 0; k < Plan.GroupSize; ++k) {
    Endpoint &it = Endpoints[group * Plan.GroupSize + k];
    double own = 0;
    for (Job &job : it.Jobs)
      own += double(std::exchange(job.Prefill, 0)) / Plan.PrefillPerMs;
    prefill = std::max(prefill, own);
    most = std::max(most, it.Jobs.size());
    sum += it.Jobs.size();
  }
  IsStepping[group] = sum > 0;
  if (sum == 0)
    return;
  Totals.SkewSum += double(most * Plan.GroupSize) / double(sum);
  ++Totals.Steps;
  bool isSlow = group == 0 && Scheduler.now() - Began >= Plan.SlowAt;
  double ms =
      toMs(Plan.StepBase) + toMs(Plan.StepPerRequest) * double(most) + prefill;
  ms *= isSlow ? Plan.SlowFactor : 1;
  Scheduler.at(Scheduler.now() + Duration(std::int64_t(ms * 1000)),
               [this, group] { endStep(group); });
}

void PickerSimulation::endStep(std::size_t group) {
  TimePoint now = Scheduler.now();
  for (std::size_t k = 0; k < Plan.GroupSize; ++k) {
    std::size_t i = group * Plan.GroupSize + k;
    Endpoint &it = Endpoints[i];
    std::vector<RequestId> sending;
    std::vector<RequestId> done;
    for (Job &job : it.Jobs) {
      if (!std::exchange(job.HasStarted, true))
        apply(i, it.Agent->onRunHead(job.Id, 200, "text/event-stream", now));
      // Sends one chunk for every TokensPerChunk tokens: chunks for each token
      // would slow the benchmark down, and no chunks at all would let the call
      // time out as stalled.
      if (job.TokensLeft-- % TokensPerChunk == Plan.Tokens % TokensPerChunk)
        sending.push_back(job.Id);
      if (job.TokensLeft == 0)
        done.push_back(job.Id);
    }
    std::erase_if(it.Jobs, [](const Job &job) { return job.TokensLeft == 0; });
    for (RequestId id : sending)
      apply(i, it.Agent->onRunData(id, "t", now));
    for (RequestId id : done)
      apply(i, it.Agent->onRunEnd(id, ResultCode::Ok, now));
  }
  step(group);
}
