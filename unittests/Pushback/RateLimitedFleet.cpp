//===- RateLimitedFleet.cpp - fleet with rate-limited endpoints -----------===//
//
// See RateLimitedFleet.h.
//
//===----------------------------------------------------------------------===//

#include "RateLimitedFleet.h"

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
static constexpr Duration LimitKnownTime = milliseconds(500);

RateLimitedFleet::RateLimitedFleet(std::uint64_t seed, FleetShape shape)
    : Time(seed, 1), Shape(shape), FakeEndpoints(shape.Endpoints),
      Nodes(shape.Entries), UsedEntries(shape.Entries) {
  auto config = std::make_shared<FleetConfig>();
  RouteRule route;
  route.Kind = RequestKind::Repeatable;
  route.Attempts = 2;
  route.Timeout = seconds(8);
  route.Target = milliseconds(400);
  route.Services = {{ServiceId("s"), 1}};
  config->Routes.push_back(route);
  ServiceRule service{ServiceId("s"), 100, std::nullopt};
  service.ColdRequestsPerSecond = shape.ColdRequestsPerSecond;
  config->Services.emplace(ServiceId("s"), service);
  Config = std::move(config);
  for (unsigned i = 0; i < shape.Endpoints; ++i) {
    EndpointRecord &it = FakeEndpoints[i].Record;
    it.Id = EndpointId("e" + std::to_string(i));
    it.Service = ServiceId("s");
    it.DataCentre = DataCentreId("a");
    it.Slots = 40;
    Listed.push_back({it, false});
  }
  for (unsigned i = 0; i < shape.Entries; ++i)
    start(i);
  generateRequest();
}

void RateLimitedFleet::start(unsigned i) {
  Entry &entry = Nodes[i];
  entry.Node = std::make_unique<DirectNode>(DataCentreId("a"), DirectLimits(),
                                            Time.below(1U << 30U),
                                            "n" + std::to_string(i));
  entry.LimitReceivedAt.clear();
  entry.Node->onProcessStarted(Time.now());
  listEndpoints(i, entry.IncarnationNumber);
  if (Time.now() >= StoreOutUntil)
    listOthers(i);
  report(i, entry.IncarnationNumber);
}

void RateLimitedFleet::listEndpoints(unsigned i, unsigned incarnation) {
  Entry &entry = Nodes[i];
  if (!entry.Node || entry.IncarnationNumber != incarnation)
    return;
  if (!isAwake(i, incarnation)) {
    Time.at(entry.FrozenUntil,
            [this, i, incarnation] { listEndpoints(i, incarnation); });
    return;
  }
  entry.Node->setEndpoints(Listed);
  entry.Node->setColdEndpoints(Listed, *Config, Time.now());
}

void RateLimitedFleet::makeCold(unsigned i, Duration span) {
  EndpointRecord &record = Listed[i].Record;
  record.ListedAt = Revision(record.ListedAt.get() + 1);
  record.ColdLeft = span;
  for (unsigned k = 0; k < Nodes.size(); ++k)
    Time.at(Time.now() + Duration(Time.below(200000)),
            [this, k, incarnation = Nodes[k].IncarnationNumber] {
              listEndpoints(k, incarnation);
            });
  Time.at(Time.now() + span, [this, i] {
    Listed[i].Record.ListedAt = Revision(Listed[i].Record.ListedAt.get() + 1);
    Listed[i].Record.ColdLeft = Duration::zero();
  });
}

void RateLimitedFleet::listOthers(unsigned i) {
  std::set<std::string> others;
  for (unsigned k = 0; k < Nodes.size(); ++k)
    if (k != i)
      others.insert("n" + std::to_string(k));
  Nodes[i].Node->setListedEntries(std::move(others), Time.now());
}

void RateLimitedFleet::kill(unsigned entry) {
  ++Nodes[entry].IncarnationNumber;
  Nodes[entry].Node.reset();
  Time.at(Time.now() + RestartTime, [this, entry] {
    if (!Nodes[entry].Node)
      start(entry);
  });
}

void RateLimitedFleet::setStoreOut(Duration span) {
  StoreOutUntil = Time.now() + span;
  Time.at(StoreOutUntil, [this] {
    for (unsigned i = 0; i < Nodes.size(); ++i)
      if (Nodes[i].Node)
        listOthers(i);
  });
}

bool RateLimitedFleet::isAwake(unsigned i, unsigned incarnation) const {
  const Entry &it = Nodes[i];
  return it.Node && it.IncarnationNumber == incarnation &&
         Time.now() >= it.FrozenUntil;
}

void RateLimitedFleet::report(unsigned i, unsigned incarnation) {
  if (Nodes[i].IncarnationNumber != incarnation || !Nodes[i].Node)
    return;
  Time.at(Time.now() + ReportEvery,
          [this, i, incarnation] { report(i, incarnation); });
  if (!isAwake(i, incarnation))
    return;
  DirectNode &node = *Nodes[i].Node;
  LoadReport out{"n" + std::to_string(i),
                 node.endpointTable().ownLoads(Time.now()),
                 {},
                 {},
                 node.takeRateReport(Time.now()),
                 node.takeLeavingReport(),
                 node.isNew(Time.now()),
                 node.isIdle(Time.now())};
  auto received =
      std::make_shared<const LoadReport>(*decodeLoad(encodeLoad(out)));
  for (unsigned k = 0; k < Nodes.size(); ++k) {
    if (k == i || Time.now() < Nodes[i].CutUntil ||
        Time.now() < Nodes[k].CutUntil)
      continue;
    Time.runUnreliably(2, [this, k, received] {
      if (!isAwake(k, Nodes[k].IncarnationNumber))
        return;
      const LoadReport &peerReport = *received;
      DirectNode &to = *Nodes[k].Node;
      to.setPeerLoad(peerReport.Node, peerReport.Loads, Time.now());
      if (peerReport.IsIdle)
        to.onIdlePeer(peerReport.Node, Time.now());
      if (peerReport.IsNew)
        to.onPeerStarted(Time.now());
      perform(k, to.onRateLimits(peerReport.Rates, Time.now()));
      perform(k, to.onLeaving(peerReport.Leaving, Time.now()));
    });
  }
}

void RateLimitedFleet::scheduleTimer(unsigned i, unsigned incarnation) {
  std::optional<TimePoint> due = Nodes[i].Node->nextTimer();
  if (!due)
    return;
  TimePoint at = std::max(*due, Time.now() + Duration(1));
  std::optional<TimePoint> &wakeAt = Nodes[i].WakeAt;
  if (wakeAt && *wakeAt > Time.now() && *wakeAt <= at)
    return;
  wakeAt = at;
  Time.at(at, [this, i, incarnation, at] {
    if (Nodes[i].WakeAt == at && isAwake(i, incarnation))
      perform(i, Nodes[i].Node->onTimer(Time.now()));
  });
}

void RateLimitedFleet::generateRequest() {
  Duration pause = Duration(seconds(1)) / Shape.RequestsPerSecond;
  Time.at(Time.now() + Duration(Time.below(2 * pause.count())),
          [this] { generateRequest(); });
  auto i = unsigned((FirstUsedEntry + Time.below(UsedEntries)) % Nodes.size());
  if (!isAwake(i, Nodes[i].IncarnationNumber))
    return;
  DirectRequest request;
  request.Id = CallId(++LastCall);
  request.Config = Config;
  request.Route = &Config->Routes.front();
  request.TimeLeft = seconds(8);
  ArrivedAt[request.Id] = Time.now();
  perform(i, Nodes[i].Node->onCall(std::move(request), Time.now()));
}

void RateLimitedFleet::perform(unsigned i, const DirectActions &actions) {
  for (const DirectAction &action : actions) {
    if (const auto *order = std::get_if<StartAttempt>(&action))
      send(i, Nodes[i].IncarnationNumber, *order);
    if (const auto *end = std::get_if<EndCall>(&action))
      recordRefusal(*end);
  }
  if (!actions.empty() || Nodes[i].Node->waitingCount() > 0)
    scheduleTimer(i, Nodes[i].IncarnationNumber);
}

void RateLimitedFleet::recordRefusal(const EndCall &end) {
  ++Outcomes.Refused[end.Code];
  Outcomes.RetryAfters.push_back(end.RetryAfter);
  Outcomes.LongestRefusal =
      std::max(Outcomes.LongestRefusal, Time.now() - ArrivedAt.at(end.Call));
}

/// Sends the request once the connection is open, if the node still allows the
/// request by then.
void RateLimitedFleet::send(unsigned i, unsigned incarnation,
                            const StartAttempt &order) {
  auto endpoint = unsigned(std::stoul(order.Endpoint.Id.get().substr(1)));
  Duration connecting = Time.chance(10) ? Duration(Time.below(300000))
                                        : Duration(Time.below(2000));
  Time.at(Time.now() + connecting,
          [this, i, incarnation, endpoint, id = order.Call] {
            if (!isAwake(i, incarnation))
              return;
            if (!Nodes[i].Node->maySend(id, Time.now())) {
              perform(i, Nodes[i].Node->onAttemptEnded(id, AttemptEnd::Withheld,
                                                       Time.now()));
              return;
            }
            deliver({id, i, incarnation, endpoint, Time.now(), std::nullopt});
          });
}

void RateLimitedFleet::deliver(Pending it) {
  Time.at(Time.now() + Duration(Time.below(2000)), [this, it]() mutable {
    FakeEndpoint &target = FakeEndpoints[it.Endpoint];
    std::map<unsigned, TimePoint> &received = Nodes[it.Entry].LimitReceivedAt;
    auto at = received.find(it.Endpoint);
    target.Arrivals.push_back(
        {Time.now(), it.Entry,
         at == received.end() ? std::nullopt : std::optional(at->second)});
    // Some response heads arrive long after heads that were written later.
    it.Advertised = target.Rate;
    Duration work = Time.chance(5) ? Duration(Time.below(900000))
                                   : Duration(Time.below(40000));
    Time.at(Time.now() + work, [this, it] { answer(it); });
  });
}

void RateLimitedFleet::answer(const Pending &it) {
  if (Nodes[it.Entry].IncarnationNumber != it.IncarnationNumber ||
      !Nodes[it.Entry].Node)
    return;
  if (!isAwake(it.Entry, it.IncarnationNumber)) {
    Time.at(Nodes[it.Entry].FrozenUntil, [this, it] { answer(it); });
    return;
  }
  Entry &entry = Nodes[it.Entry];
  if (it.Advertised)
    entry.LimitReceivedAt.try_emplace(it.Endpoint, Time.now());
  else
    entry.LimitReceivedAt.erase(it.Endpoint);
  Pushback asked;
  asked.RequestsPerSecond = it.Advertised;
  perform(it.Entry, entry.Node->onPushback(FakeEndpoints[it.Endpoint].Record.Id,
                                           asked, it.SentAt, Time.now()));
  ++Outcomes.Served;
  perform(it.Entry, entry.Node->onAttemptEnded(it.Call, AttemptEnd::Complete,
                                               Time.now()));
}

std::size_t RateLimitedFleet::mostWithin(unsigned endpoint, Duration span,
                                         TimePoint from, bool ofAll) const {
  std::vector<TimePoint> counted;
  for (const FleetArrival &it : FakeEndpoints[endpoint].Arrivals) {
    bool isLimitKnown = it.LimitFirstReceivedAt &&
                        it.At - *it.LimitFirstReceivedAt >= LimitKnownTime;
    if (it.At >= from && (ofAll || isLimitKnown))
      counted.push_back(it.At);
  }
  std::size_t most = 0;
  for (auto it = counted.begin(); it != counted.end(); ++it) {
    auto end = std::upper_bound(it, counted.end(), *it + span);
    most = std::max(most, std::size_t(end - it));
  }
  return most;
}
