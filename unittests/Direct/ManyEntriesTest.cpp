//===- ManyEntriesTest.cpp - many entries with many endpoints -------------===//
//
// Each entry learns of the others' load some milliseconds late. In that time
// the entries must not all send to the endpoint with the lowest reported load.
//
//===----------------------------------------------------------------------===//

#include "Direct/NodeFixture.h"
#include "RandomScheduler.h"
#include "ospreyspur/Support/Digest.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>

using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
/// Entries, endpoints of one service, and steady arrivals on virtual time.
class LoadSimulation {
public:
  static constexpr unsigned Slots = 6;

  LoadSimulation(unsigned entries, unsigned endpoints, double perSecond)
      : Time(1, 0), Route(::test::makeRoute(RequestKind::Repeatable, 2)),
        Each(seconds(1) / perSecond) {
    auto config = std::make_shared<FleetConfig>();
    Route.Services = {{ServiceId("s"), 1}};
    config->Routes.push_back(Route);
    EngineCosts engine;
    engine.StepPerRequest = milliseconds(1);
    engine.PrefillTokensPerSecond = 70000;
    config->Services.emplace(ServiceId("s"),
                             ServiceRule{ServiceId("s"), 100, engine});
    Config = std::move(config);
    std::vector<ListedEndpoint> listed;
    for (unsigned i = 0; i < endpoints; ++i) {
      EndpointRecord it;
      it.Id = EndpointId("e" + std::to_string(i));
      it.Service = ServiceId("s");
      it.DataCentre = DataCentreId("a");
      it.Slots = Slots;
      listed.push_back({it, false});
    }
    for (unsigned i = 0; i < entries; ++i) {
      Nodes.push_back(std::make_unique<DirectNode>(DataCentreId("a"),
                                                   DirectLimits(), i + 1));
      Nodes.back()->setEndpoints(listed);
      report(i);
    }
    arrive();
  }

  void run(Duration length) { Time.runUntil(Time.now() + length); }

  unsigned requests() const { return Requests; }
  /// Requests that arrived at an endpoint without a free slot.
  unsigned overloaded() const { return Overloaded; }

private:
  void at(Duration after, std::function<void()> what) {
    Time.at(Time.now() + after, std::move(what));
  }

  void arrive() {
    at(Duration(Time.below(std::uint64_t(2 * Each.count()))), [this] {
      start(unsigned(Time.below(Nodes.size())));
      arrive();
    });
  }

  void start(unsigned entry) {
    DirectRequest request;
    CallId id(++Requests);
    request.Id = id;
    request.Config = Config;
    request.Route = &Config->Routes.front();
    request.TimeLeft = seconds(8);
    request.Tokens.Prompt = 800;
    DirectActions actions =
        Nodes[entry]->onCall(std::move(request), Time.now());
    const auto *started = ::test::find<StartAttempt>(actions);
    if (!started)
      return;
    EndpointId endpoint = started->Endpoint.Id;
    Overloaded += ++Running[endpoint] > Slots ? 1 : 0;
    at(milliseconds(180),
       [this, entry, id] { Nodes[entry]->onFirstByte(id, Time.now()); });
    at(milliseconds(500) + Duration(Time.below(2000000)),
       [this, entry, id, endpoint] {
         --Running[endpoint];
         Nodes[entry]->onAttemptEnded(id, AttemptEnd::Complete, Time.now());
       });
  }

  /// Reports the entry's load to the others, as LoadExchange does.
  void report(unsigned entry) {
    std::vector<EndpointLoad> loads =
        Nodes[entry]->endpointTable().ownLoads(Time.now());
    at(milliseconds(4), [this, entry, loads] {
      for (unsigned i = 0; i < Nodes.size(); ++i)
        if (i != entry)
          Nodes[i]->setPeerLoad("n" + std::to_string(entry), loads, Time.now());
    });
    at(milliseconds(8), [this, entry] { report(entry); });
  }

  ospreyspur::test::RandomScheduler Time;
  RouteRule Route;
  std::chrono::duration<double, std::micro> Each;
  std::shared_ptr<const FleetConfig> Config;
  std::vector<std::unique_ptr<DirectNode>> Nodes;
  std::map<EndpointId, unsigned> Running;
  unsigned Requests = 0;
  unsigned Overloaded = 0;
};
} // namespace

TEST_CASE(
    "many entries do not crowd the endpoint with the lowest reported load") {
  // Two thirds of the slots are in use.
  LoadSimulation large(52, 192, 500);
  large.run(seconds(5));
  CHECK(large.requests() > 2000);
  CHECK(large.overloaded() * 500 <= large.requests());
  LoadSimulation small(5, 16, 42);
  small.run(seconds(20));
  CHECK(small.requests() > 700);
  CHECK(small.overloaded() * 100 <= small.requests());
}

TEST_CASE(
    "all entries together query a slow group's endpoints once per second") {
  constexpr unsigned Entries = 52;
  constexpr unsigned Endpoints = 96;
  std::vector<ListedEndpoint> listed;
  for (unsigned i = 0; i < Endpoints; ++i) {
    EndpointRecord it;
    it.Id = EndpointId("e" + std::to_string(i));
    it.Service = ServiceId("s");
    it.AnswersStatusQueries = true;
    listed.push_back({it, false});
  }
  std::vector<EndpointTable> books(Entries);
  auto nameOf = [](unsigned entry) { return "n" + std::to_string(entry); };
  TimePoint now{seconds(100)};
  EndpointStatus slow{GroupId("g"), true, 0, 4.0};
  for (EndpointTable &it : books) {
    it.setEndpoints(listed);
    for (const ListedEndpoint &row : listed)
      it.onStatusReport(row.Record.Id, slow, now);
    it.onStarted(listed.front().Record.Id, 0);
    it.onFirstByte(listed.front().Record.Id, 0, now);
    it.onEvents(listed.front().Record.Id, milliseconds(500), now);
  }
  unsigned queries = 0;
  unsigned known = 0;
  for (unsigned tick = 0; tick < 100; ++tick, now += milliseconds(100)) {
    for (unsigned entry = 0; entry < Entries; ++entry) {
      EndpointTable &it = books[entry];
      it.onEvents(listed.front().Record.Id, milliseconds(500), now);
      for (const EndpointRecord &query :
           it.takeSlowdownQueries([](const EndpointState &) { return true; },
                                  {}, digest64(nameOf(entry)), now)) {
        ++queries;
        it.onStatusReport(query.Id, slow, now);
      }
    }
    for (unsigned from = 0; from < Entries; ++from) {
      std::vector<EndpointLoad> loads = books[from].ownLoads(now);
      for (unsigned to = 0; to < Entries; ++to)
        if (to != from)
          books[to].setPeerLoad(nameOf(from), loads, now);
    }
    for (const auto &[id, state] : books.back().states())
      known += EndpointTable::slowdownOf(state, now) > 1 ? 1 : 0;
  }
  // In ten seconds, about one query per second and endpoint. If each entry
  // queried on its own, there would be 50,000.
  CHECK(queries < Endpoints * 10 * 3 / 2);
  // Every entry knows the slowdown factors of most slow endpoints at any time.
  CHECK(known > Endpoints * 100 * 3 / 4);
}
