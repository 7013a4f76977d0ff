//===- LockStepFleet.cpp - entries and one group in lock step -------------===//
//
// See LockStepFleet.h.
//
//===----------------------------------------------------------------------===//

#include "LockStepFleet.h"

#include "ospreyspur/Scheduling/RankCost.h"

#include <algorithm>
#include <variant>

using namespace ospreyspur;
using namespace ::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Length of an iteration of an idle group.
static constexpr Duration IdleIteration = milliseconds(20);
/// Time that a message takes from one host to another.
static constexpr Duration Latency = milliseconds(1);
static constexpr Duration TickInterval = milliseconds(10);

static EngineCosts makeEngine() {
  EngineCosts engine;
  engine.Step = std::chrono::microseconds(5850);
  engine.StepPerRequest = std::chrono::microseconds(426);
  engine.StepsPerIteration = 6;
  engine.PrefillTokensPerSecond = 61200;
  engine.TypicalOutputTokens =
      LockStepFleet::EventsPerStream * engine.StepsPerIteration;
  return engine;
}

/// Streams per second that use 55% of the slots, at some 1.4 s each.
static double usualLoad(std::size_t ranks) {
  return double(ranks * LockStepFleet::Slots) * 0.55 / 1.4;
}

LockStepFleet::LockStepFleet(unsigned entries, unsigned ranks)
    : Config(std::make_shared<FleetConfig>()), Ranks(ranks),
      UsedEntries(entries) {
  RouteRule route;
  route.Kind = RequestKind::Stream;
  route.IsResumable = true;
  route.Attempts = 2;
  route.Target = milliseconds(400);
  route.GapTarget = GapTarget;
  route.Timeout = seconds(8);
  route.Services = {{ServiceId("s"), 1}};
  Config->Routes.push_back(route);
  Config->Services.emplace(ServiceId("s"),
                           ServiceRule{ServiceId("s"), 100, makeEngine()});
  listRanks();
  std::set<std::string> names;
  for (unsigned i = 0; i < entries; ++i)
    names.insert("n" + std::to_string(i));
  for (unsigned i = 0; i < entries; ++i) {
    Entries.push_back({std::make_unique<DirectNode>(
        DataCentreId("a"), DirectLimits(), i, "n" + std::to_string(i))});
    std::set<std::string> others = names;
    others.erase("n" + std::to_string(i));
    DirectNode &node = *Entries.back().Node;
    node.setListedEntries(std::move(others), Time.now());
    node.setEndpoints(Listed);
    for (unsigned rank = 0; rank < ranks; ++rank)
      apply(i, node.onStatusReport(Listed[rank].Record.Id, statusOf(rank),
                                   Time.now()));
  }
  iterate();
  tick();
  report();
  arrive();
}

void LockStepFleet::listRanks() {
  for (unsigned i = 0; i < Ranks.size(); ++i) {
    EndpointRecord record;
    record.Id = EndpointId("r" + std::to_string(i));
    record.Service = ServiceId("s");
    record.DataCentre = DataCentreId("a");
    record.Slots = Slots;
    record.AnswersStatusQueries = true;
    RankNumbers[record.Id] = i;
    Listed.push_back({record, false});
  }
}

void LockStepFleet::setSlowdown(unsigned rank, double slowdown) {
  Ranks[rank].Slowdown = slowdown;
  setReportedSlowdown(rank, slowdown);
}

void LockStepFleet::setReportedSlowdown(unsigned rank, double slowdown) {
  Rank &it = Ranks[rank];
  it.ReportedBefore = it.Reported;
  it.Reported = slowdown;
  it.ReportedSince = Time.now() + ReportLag;
}

void LockStepFleet::query(unsigned rank) {
  perform(0, QueryEndpoint{Listed[rank].Record});
}

EndpointStatus LockStepFleet::statusOf(unsigned rank) const {
  const Rank &it = Ranks[rank];
  bool isOld = Time.now() < it.ReportedSince;
  return {GroupId("g"), true, it.Running,
          isOld ? it.ReportedBefore : it.Reported};
}

/// Begins an iteration with the streams that are on the ranks now.
void LockStepFleet::iterate() {
  const EngineCosts &engine = *Config->Services.at(ServiceId("s")).Engine;
  Duration longest{};
  unsigned running = 0;
  for (const Rank &it : Ranks) {
    unsigned decoding = std::min(it.Running, Slots);
    longest = std::max(longest, rankTime(engine, it.Slowdown, decoding));
    running += it.Running;
  }
  Duration experts =
      expertTime(engine, Slots) * running / Duration::rep(Slots * Ranks.size());
  longest += experts;
  Duration length = running > 0 ? longest : IdleIteration;
  LateIterations += length > GapTarget ? 1 : 0;
  after(length, [this] { finishIteration(); });
}

void LockStepFleet::finishIteration() {
  std::vector<std::uint64_t> running;
  for (const auto &[id, stream] : Streams)
    if (stream.Rank)
      running.push_back(id);
  for (std::uint64_t id : running)
    deliver(id);
  iterate();
}

/// Delivers one event of the stream \p id.
void LockStepFleet::deliver(std::uint64_t id) {
  auto it = Streams.find(id);
  if (it == Streams.end() || !it->second.Rank)
    return;
  Stream &stream = it->second;
  unsigned entry = stream.Entry;
  bool isFirst = !std::exchange(stream.HasBegun, true);
  bool isLast = --stream.EventsLeft == 0;
  if (isLast) {
    leaveRank(stream);
    Streams.erase(it);
  }
  if (Entries[entry].IsCutOff)
    return;
  DirectNode &node = *Entries[entry].Node;
  apply(entry, isFirst ? node.onFirstByte(CallId(id), Time.now())
                       : node.onEvents(CallId(id), Time.now()));
  if (isLast)
    apply(entry,
          node.onAttemptEnded(CallId(id), AttemptEnd::Complete, Time.now()));
}

/// A caller sends a stream to some entry; the next one follows.
void LockStepFleet::arrive() {
  double each = 1e6 / usualLoad(Ranks.size());
  after(Duration(Time.below(std::uint64_t(2 * each) + 1)),
        [this] { arrive(); });
  auto entry = unsigned(Time.below(UsedEntries));
  if (Entries[entry].IsCutOff)
    return;
  DirectRequest request;
  request.Id = CallId(++LastCall);
  request.Config = Config;
  request.Route = &Config->Routes.front();
  request.TimeLeft = seconds(8);
  request.Tokens = {800, EventsPerStream * 6};
  Streams[LastCall].Entry = entry;
  apply(entry, Entries[entry].Node->onCall(std::move(request), Time.now()));
}

bool LockStepFleet::isTimerDue(unsigned entry) const {
  std::optional<TimePoint> due = Entries[entry].Node->nextTimer();
  return !Entries[entry].IsCutOff && due && *due <= Time.now();
}

void LockStepFleet::tick() {
  for (unsigned i = 0; i < Entries.size(); ++i)
    if (isTimerDue(i))
      apply(i, Entries[i].Node->onTimer(Time.now()));
  after(TickInterval, [this] { tick(); });
}

/// Every entry reports its load to all others.
void LockStepFleet::report() {
  for (unsigned from = 0; from < Entries.size(); ++from) {
    if (Entries[from].IsCutOff)
      continue;
    auto loads = Entries[from].Node->endpointTable().ownLoads(Time.now());
    std::string name = "n" + std::to_string(from);
    for (unsigned to = 0; to < Entries.size(); ++to)
      if (to != from && !Entries[to].IsCutOff)
        Entries[to].Node->setPeerLoad(name, loads, Time.now());
  }
  after(LoadReportInterval, [this] { report(); });
}

void LockStepFleet::leaveRank(Stream &stream) {
  if (stream.Rank)
    --Ranks[*stream.Rank].Running;
  stream.Rank.reset();
}

void LockStepFleet::apply(unsigned entry, const DirectActions &actions) {
  for (const DirectAction &action : actions)
    std::visit([&](const auto &it) { perform(entry, it); }, action);
}

void LockStepFleet::perform(unsigned entry, const StartAttempt &action) {
  unsigned rank = RankNumbers.at(action.Endpoint.Id);
  after(Latency, [this, entry, rank, id = action.Call.get()] {
    auto it = Streams.find(id);
    if (it == Streams.end())
      return;
    if (Ranks[rank].Running >= Slots + QueueLength) {
      apply(entry, Entries[entry].Node->onAttemptEnded(
                       CallId(id), AttemptEnd::Full, Time.now()));
      return;
    }
    ++Ranks[rank].Running;
    it->second.Rank = rank;
    it->second.HasBegun = false;
  });
}

void LockStepFleet::perform(unsigned entry, const StopAttempt &action) {
  ++Moved;
  after(Latency, [this, entry, id = action.Call.get()] {
    auto it = Streams.find(id);
    if (it == Streams.end())
      return;
    leaveRank(it->second);
    apply(entry, Entries[entry].Node->onAttemptEnded(
                     CallId(id), AttemptEnd::BrokeOff, Time.now()));
  });
}

void LockStepFleet::perform(unsigned entry, const QueryEndpoint &action) {
  ++Queries;
  unsigned rank = RankNumbers.at(action.Endpoint.Id);
  after(2 * Latency, [this, entry, rank, id = action.Endpoint.Id] {
    if (!Entries[entry].IsCutOff)
      apply(entry, Entries[entry].Node->onStatusReport(id, statusOf(rank),
                                                       Time.now()));
  });
}

void LockStepFleet::perform(unsigned, const EndCall &action) {
  auto it = Streams.find(action.Call.get());
  if (it == Streams.end())
    return;
  ++Refused;
  leaveRank(it->second);
  Streams.erase(it);
}

unsigned LockStepFleet::runningAt(unsigned rank) const {
  return std::count_if(Streams.begin(), Streams.end(), [&](const auto &it) {
    return it.second.Rank == rank && !Entries[it.second.Entry].IsCutOff;
  });
}

unsigned LockStepFleet::entriesThatKnow(unsigned rank) const {
  return std::count_if(Entries.begin(), Entries.end(), [&](const Entry &it) {
    return it.Node->slowRanks().slow().contains(Listed[rank].Record.Id);
  });
}
