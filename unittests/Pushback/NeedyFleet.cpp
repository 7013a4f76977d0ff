//===- NeedyFleet.cpp - entries and endpoints with rate limits ------------===//
//
// See NeedyFleet.h.
//
//===----------------------------------------------------------------------===//

#include "NeedyFleet.h"

#include <algorithm>
#include <utility>

using namespace ospreyspur;
using namespace ospreyspur::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr Duration ReportEvery = milliseconds(200);
static constexpr Duration RestartTime = milliseconds(300);
/// A request counts in mostWithin() if its entry had received the endpoint's
/// rate limit at least this long before.
static constexpr Duration HeardBefore = milliseconds(500);

NeedyFleet::NeedyFleet(std::uint64_t seed, FleetShape shape)
    : Time(seed, 1), Shape(shape), Hosts(shape.Endpoints), Nodes(shape.Entries),
      Used(shape.Entries) {
  auto config = std::make_shared<FleetConfig>();
  RouteRule route;
  route.Kind = RequestKind::Repeatable;
  route.Attempts = 2;
  route.Timeout = seconds(8);
  route.Target = milliseconds(400);
  route.Services = {{ServiceId("s"), 1}};
  config->Routes.push_back(route);
  config->Services.emplace(ServiceId("s"),
                           ServiceRule{ServiceId("s"), 100, std::nullopt});
  Config = std::move(config);
  for (unsigned i = 0; i < shape.Endpoints; ++i) {
    EndpointRecord &it = Hosts[i].Record;
    it.Id = EndpointId("e" + std::to_string(i));
    it.Service = ServiceId("s");
    it.DataCentre = DataCentreId("a");
    it.Slots = 40;
    Listed.push_back({it, false});
  }
  for (unsigned i = 0; i < shape.Entries; ++i)
    start(i);
  arrive();
}

void NeedyFleet::start(unsigned i) {
  Entry &entry = Nodes[i];
  entry.Node = std::make_unique<DirectNode>(DataCentreId("a"), DirectLimits(),
                                            Time.below(1U << 30U),
                                            "n" + std::to_string(i));
  entry.HeardAt.clear();
  entry.Node->beginLife(Time.now());
  entry.Node->setEndpoints(Listed);
  if (Time.now() >= StoreOutUntil)
    list(i);
  report(i, entry.Life);
}

void NeedyFleet::list(unsigned i) {
  std::set<std::string> others;
  for (unsigned k = 0; k < Nodes.size(); ++k)
    if (k != i)
      others.insert("n" + std::to_string(k));
  Nodes[i].Node->setListedEntries(std::move(others), Time.now());
}

void NeedyFleet::kill(unsigned entry) {
  ++Nodes[entry].Life;
  Nodes[entry].Node.reset();
  Time.at(Time.now() + RestartTime, [this, entry] {
    if (!Nodes[entry].Node)
      start(entry);
  });
}

void NeedyFleet::setStoreOut(Duration span) {
  StoreOutUntil = Time.now() + span;
  Time.at(StoreOutUntil, [this] {
    for (unsigned i = 0; i < Nodes.size(); ++i)
      if (Nodes[i].Node)
        list(i);
  });
}

bool NeedyFleet::isAwake(unsigned i, unsigned life) const {
  const Entry &it = Nodes[i];
  return it.Node && it.Life == life && Time.now() >= it.FrozenUntil;
}

void NeedyFleet::report(unsigned i, unsigned life) {
  if (Nodes[i].Life != life || !Nodes[i].Node)
    return;
  Time.at(Time.now() + ReportEvery, [this, i, life] { report(i, life); });
  if (!isAwake(i, life))
    return;
  DirectNode &node = *Nodes[i].Node;
  LoadReport out{"n" + std::to_string(i),
                 node.book().ownLoads(Time.now()),
                 {},
                 {},
                 node.takeRateReport(Time.now()),
                 node.takeLeavingReport(),
                 node.isNew(Time.now()),
                 node.isIdle(Time.now())};
  for (unsigned k = 0; k < Nodes.size(); ++k) {
    if (k == i || Time.now() < Nodes[i].CutUntil ||
        Time.now() < Nodes[k].CutUntil)
      continue;
    Time.unreliably(2, [this, k, bytes = encodeLoad(out)] {
      if (!isAwake(k, Nodes[k].Life))
        return;
      LoadReport told = *decodeLoad(bytes);
      DirectNode &to = *Nodes[k].Node;
      to.setPeerLoad(told.Node, told.Loads, Time.now());
      if (told.IsIdle)
        to.onIdlePeer(told.Node, Time.now());
      if (told.IsNew)
        to.onPeerBegun(Time.now());
      take(k, to.onRateLimits(told.Rates, Time.now()));
      take(k, to.onLeaving(told.Leaving, Time.now()));
    });
  }
}

void NeedyFleet::wake(unsigned i, unsigned life) {
  std::optional<TimePoint> due = Nodes[i].Node->nextTimer();
  if (!due)
    return;
  TimePoint at = std::max(*due, Time.now() + Duration(1));
  std::optional<TimePoint> &wakeAt = Nodes[i].WakeAt;
  if (wakeAt && *wakeAt > Time.now() && *wakeAt <= at)
    return;
  wakeAt = at;
  Time.at(at, [this, i, life, at] {
    if (Nodes[i].WakeAt == at && isAwake(i, life))
      take(i, Nodes[i].Node->onTimer(Time.now()));
  });
}

void NeedyFleet::arrive() {
  Duration pause = Duration(seconds(1)) / Shape.RequestsPerSecond;
  Time.at(Time.now() + Duration(Time.below(2 * pause.count())),
          [this] { arrive(); });
  auto i = unsigned((FirstUsed + Time.below(Used)) % Nodes.size());
  if (!isAwake(i, Nodes[i].Life))
    return;
  DirectRequest request;
  request.Id = CallId(++LastCall);
  request.Config = Config;
  request.Route = &Config->Routes.front();
  request.TimeLeft = seconds(8);
  ArrivedAt[request.Id] = Time.now();
  take(i, Nodes[i].Node->onCall(std::move(request), Time.now()));
}

void NeedyFleet::take(unsigned i, const DirectActions &actions) {
  for (const DirectAction &action : actions) {
    if (const auto *order = std::get_if<StartAttempt>(&action))
      send(i, Nodes[i].Life, *order);
    if (const auto *end = std::get_if<EndCall>(&action))
      note(*end);
  }
  if (!actions.empty() || Nodes[i].Node->waitingCount() > 0)
    wake(i, Nodes[i].Life);
}

void NeedyFleet::note(const EndCall &end) {
  ++Told.Refused[end.Code];
  Told.RetryAfters.push_back(end.RetryAfter);
  Told.LongestRefusal =
      std::max(Told.LongestRefusal, Time.now() - ArrivedAt.at(end.Call));
}

/// Sends the request once the connection is open, if the node still allows the
/// request by then.
void NeedyFleet::send(unsigned i, unsigned life, const StartAttempt &order) {
  auto endpoint = unsigned(std::stoul(order.Endpoint.Id.get().substr(1)));
  Duration connecting = Time.chance(10) ? Duration(Time.below(300000))
                                        : Duration(Time.below(2000));
  Time.at(Time.now() + connecting, [this, i, life, endpoint, id = order.Call] {
    if (!isAwake(i, life))
      return;
    if (!Nodes[i].Node->maySend(id, Time.now())) {
      take(i,
           Nodes[i].Node->onAttemptEnded(id, AttemptEnd::Withheld, Time.now()));
      return;
    }
    reach({id, i, life, endpoint, Time.now(), std::nullopt});
  });
}

void NeedyFleet::reach(Pending it) {
  Time.at(Time.now() + Duration(Time.below(2000)), [this, it]() mutable {
    Host &host = Hosts[it.Endpoint];
    std::map<unsigned, TimePoint> &heard = Nodes[it.Entry].HeardAt;
    auto at = heard.find(it.Endpoint);
    host.Arrivals.push_back(
        {Time.now(), it.Entry,
         at == heard.end() ? std::nullopt : std::optional(at->second)});
    // Some response heads arrive long after heads that were written later.
    it.Named = host.Rate;
    Duration work = Time.chance(5) ? Duration(Time.below(900000))
                                   : Duration(Time.below(40000));
    Time.at(Time.now() + work, [this, it] { answer(it); });
  });
}

void NeedyFleet::answer(const Pending &it) {
  if (Nodes[it.Entry].Life != it.Life || !Nodes[it.Entry].Node)
    return;
  if (!isAwake(it.Entry, it.Life)) {
    Time.at(Nodes[it.Entry].FrozenUntil, [this, it] { answer(it); });
    return;
  }
  Entry &entry = Nodes[it.Entry];
  if (it.Named)
    entry.HeardAt.try_emplace(it.Endpoint, Time.now());
  else
    entry.HeardAt.erase(it.Endpoint);
  Pushback asked;
  asked.RequestsPerSecond = it.Named;
  take(it.Entry, entry.Node->onPushback(Hosts[it.Endpoint].Record.Id, asked,
                                        it.SentAt, Time.now()));
  ++Told.Served;
  take(it.Entry,
       entry.Node->onAttemptEnded(it.Call, AttemptEnd::Complete, Time.now()));
}

std::size_t NeedyFleet::mostWithin(unsigned endpoint, Duration span,
                                   TimePoint from, bool ofAll) const {
  std::vector<TimePoint> counted;
  for (const FleetArrival &it : Hosts[endpoint].Arrivals) {
    bool isTold = it.EntryHeardAt && it.At - *it.EntryHeardAt >= HeardBefore;
    if (it.At >= from && (ofAll || isTold))
      counted.push_back(it.At);
  }
  std::size_t most = 0;
  for (auto it = counted.begin(); it != counted.end(); ++it) {
    auto end = std::upper_bound(it, counted.end(), *it + span);
    most = std::max(most, std::size_t(end - it));
  }
  return most;
}
