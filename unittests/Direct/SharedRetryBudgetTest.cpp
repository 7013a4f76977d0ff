//===- SharedRetryBudgetTest.cpp - retry budget of all entries together ---===//
//
// Entries on virtual time with endpoints that lose every request, so that each
// entry retries as often as it may. Guards against retries beyond the limit for
// all entries together: with the store unavailable and entries killed, each
// restarted entry used a full share again, based on the number of entries that
// it had received reports from.
//
//===----------------------------------------------------------------------===//

#include "Direct/NodeFixture.h"
#include "RandomScheduler.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>

using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::seconds;
using ::test::makeRoute;

namespace {
constexpr std::uint64_t Seeds = 6;
constexpr unsigned Entries = 5;
constexpr unsigned Endpoints = 40;
constexpr unsigned RequestsPerSecond = 100;

class RetryLimitSimulation {
public:
  explicit RetryLimitSimulation(std::uint64_t seed) : Time(seed, 0) {
    auto config = std::make_shared<FleetConfig>();
    RouteRule route = makeRoute(RequestKind::Repeatable, 4);
    route.Services = {{ServiceId("s"), 1}};
    config->Routes.push_back(route);
    config->Services.emplace(ServiceId("s"),
                             ServiceRule{ServiceId("s"), 100, std::nullopt});
    Config = std::move(config);
    for (unsigned i = 0; i < Endpoints; ++i) {
      EndpointRecord it;
      it.Id = EndpointId("e" + std::to_string(i));
      it.Service = ServiceId("s");
      it.DataCentre = DataCentreId("a");
      it.Slots = 50;
      Listed.push_back({it, false});
    }
    Nodes.resize(Entries);
    for (unsigned i = 0; i < Entries; ++i)
      start(i);
    arrive();
  }

  void run(Duration span) { Time.runUntil(Time.now() + span); }
  void cutReports(Duration span) { CutUntil = Time.now() + span; }
  void freeze(unsigned i, Duration span) {
    Nodes[i].FrozenUntil = Time.now() + span;
  }
  /// The store lists no entries to starting entries until it is back.
  void setStoreOut(Duration span) {
    StoreOutUntil = Time.now() + span;
    Time.at(StoreOutUntil, [this] {
      for (unsigned i = 0; i < Entries; ++i)
        if (Nodes[i].Node)
          list(i);
    });
  }
  /// Kills the entry; a new incarnation of it starts later.
  void kill(unsigned i) {
    ++Nodes[i].Incarnation;
    Nodes[i].Node.reset();
    Time.at(Time.now() + milliseconds(300), [this, i] {
      if (!Nodes[i].Node)
        start(i);
    });
  }

  std::size_t retries() const { return RetryTimes.size(); }
  /// Returns the largest excess of retries in a window over what all entries
  /// together may send.
  double worstExcess() const {
    const RetryLimits limits;
    auto countIn = [](const std::vector<TimePoint> &times, TimePoint from,
                      TimePoint until) {
      return double(std::upper_bound(times.begin(), times.end(), until) -
                    std::upper_bound(times.begin(), times.end(), from));
    };
    double worst = -limits.Allowance;
    for (TimePoint at : RetryTimes) {
      TimePoint from = at - limits.Window;
      double allowed =
          limits.Ratio * countIn(RequestTimes, from, at) + limits.Allowance;
      worst = std::max(worst, countIn(RetryTimes, from, at) - allowed);
    }
    return worst;
  }

private:
  struct Entry {
    std::unique_ptr<DirectNode> Node;
    unsigned Incarnation = 0;
    TimePoint FrozenUntil;
  };

  void start(unsigned i) {
    Nodes[i].Node = std::make_unique<DirectNode>(
        DataCentreId("a"), DirectLimits(), Time.below(1U << 30U));
    Nodes[i].Node->onProcessStarted(Time.now());
    Nodes[i].Node->setEndpoints(Listed);
    if (Time.now() >= StoreOutUntil)
      list(i);
    report(i, Nodes[i].Incarnation);
  }

  void list(unsigned i) {
    std::set<std::string> others;
    for (unsigned k = 0; k < Entries; ++k)
      if (k != i)
        others.insert("n" + std::to_string(k));
    Nodes[i].Node->setListedEntries(std::move(others), Time.now());
  }

  bool isAwake(unsigned i, unsigned incarnation) const {
    const Entry &it = Nodes[i];
    return it.Node && it.Incarnation == incarnation &&
           Time.now() >= it.FrozenUntil;
  }

  void report(unsigned i, unsigned incarnation) {
    if (Nodes[i].Incarnation != incarnation)
      return;
    Time.at(Time.now() + milliseconds(200),
            [this, i, incarnation] { report(i, incarnation); });
    if (!isAwake(i, incarnation) || Time.now() < CutUntil)
      return;
    for (unsigned k = 0; k < Entries; ++k)
      if (k != i)
        Time.runSoon([this, i, k] {
          if (isAwake(k, Nodes[k].Incarnation))
            Nodes[k].Node->setPeerLoad("n" + std::to_string(i), {}, Time.now());
        });
  }

  void arrive() {
    Duration interval = Duration(seconds(1)) / RequestsPerSecond;
    Time.at(Time.now() + Duration(Time.below(2 * interval.count())),
            [this] { arrive(); });
    auto i = unsigned(Time.below(Entries));
    if (!isAwake(i, Nodes[i].Incarnation))
      return;
    RequestTimes.push_back(Time.now());
    DirectRequest request;
    request.Id = CallId(++LastCall);
    request.Config = Config;
    request.Route = &Config->Routes.front();
    request.TimeLeft = milliseconds(300);
    take(i, Nodes[i].Node->onCall(std::move(request), Time.now()));
  }

  void take(unsigned i, const DirectActions &actions) {
    for (const DirectAction &action : actions) {
      const auto *started = std::get_if<StartAttempt>(&action);
      if (!started)
        continue;
      if (!Arrived.insert(started->Call).second)
        RetryTimes.push_back(Time.now());
      lose(i, Nodes[i].Incarnation, started->Call);
    }
  }

  void lose(unsigned i, unsigned incarnation, CallId id) {
    Time.at(Time.now() + milliseconds(2), [this, i, incarnation, id] {
      if (Nodes[i].Incarnation != incarnation)
        return;
      if (!isAwake(i, incarnation)) {
        lose(i, incarnation, id);
        return;
      }
      take(i, Nodes[i].Node->onAttemptEnded(id, AttemptEnd::Lost, Time.now()));
    });
  }

  ospreyspur::test::RandomScheduler Time;
  std::shared_ptr<const FleetConfig> Config;
  std::vector<ListedEndpoint> Listed;
  std::vector<Entry> Nodes;
  std::vector<TimePoint> RequestTimes;
  std::vector<TimePoint> RetryTimes;
  std::set<CallId> Arrived;
  TimePoint CutUntil;
  TimePoint StoreOutUntil;
  std::uint64_t LastCall = 0;
};
} // namespace

TEST_CASE("the retry limit holds when half of the entries restart without "
          "the store") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    RetryLimitSimulation fleet(seed);
    fleet.run(seconds(22));
    CHECK(fleet.retries() > 100);
    fleet.setStoreOut(seconds(12));
    fleet.run(seconds(5));
    for (unsigned i = 0; i < 3; ++i)
      fleet.kill(i);
    fleet.run(seconds(25));
    CHECK(fleet.worstExcess() <= 0);
  }
}

TEST_CASE(
    "the retry limit holds when entries restart one by one and together") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    RetryLimitSimulation fleet(seed);
    fleet.run(seconds(15));
    fleet.setStoreOut(seconds(14));
    for (unsigned i = 0; i < Entries; ++i) {
      fleet.kill(i);
      fleet.run(milliseconds(1100));
    }
    for (unsigned n = 0; n < 3; ++n) {
      for (unsigned i = 0; i < Entries; ++i)
        fleet.kill(i);
      fleet.run(seconds(3));
    }
    fleet.run(seconds(20));
    CHECK(fleet.worstExcess() <= 0);
  }
}

TEST_CASE("the retry limit holds when all entries restart repeatedly with "
          "the store available") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    RetryLimitSimulation fleet(seed);
    fleet.run(seconds(15));
    for (unsigned n = 0; n < 4; ++n) {
      for (unsigned i = 0; i < Entries; ++i)
        fleet.kill(i);
      fleet.run(milliseconds(2500));
    }
    fleet.run(seconds(15));
    CHECK(fleet.worstExcess() <= 0);
  }
}

TEST_CASE("the retry limit holds when entries are cut from each other, "
          "frozen and killed") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    RetryLimitSimulation fleet(seed);
    fleet.run(seconds(15));
    fleet.setStoreOut(seconds(20));
    fleet.cutReports(seconds(16));
    fleet.run(seconds(6));
    fleet.freeze(4, seconds(4));
    fleet.kill(0);
    fleet.run(seconds(8));
    fleet.kill(1);
    fleet.run(seconds(15));
    CHECK(fleet.worstExcess() <= 0);
  }
}

TEST_CASE("an entry that does not know the number of entries uses nothing of "
          "the shared allowance") {
  RetryWindow window({0.2, 90, Duration(seconds(10))});
  TimePoint now{seconds(100)};
  ServiceId service("s");
  window.setBegin(now);
  CHECK_FALSE(window.canSpend(service, 0, now + seconds(20)));
  CHECK(window.canSpend(service, 3, now + seconds(20)));
}
