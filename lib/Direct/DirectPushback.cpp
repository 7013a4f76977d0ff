//===- DirectPushback.cpp - limits that endpoints ask for -----------------===//
//
// The part of DirectNode that follows the rate limits, backoffs and draining
// announcements in the endpoints' responses, and refuses callers at once when
// no endpoint can serve them in time.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/DirectNode.h"

#include <algorithm>
#include <utility>

using namespace ospreyspur;

/// Interval at which the members of the fleet are counted again while rate
/// limits are in force.
static constexpr Duration MembersMaxAge = std::chrono::milliseconds(200);
/// An entry without a call for this long counts as having no callers.
static constexpr Duration IdleAfter = std::chrono::seconds(3);
/// Time until all other entries know that this entry has callers again, and
/// this entry knows of those that got callers at the same time.
static constexpr Duration ActiveSettleTime = std::chrono::seconds(1);
/// How long a starting entry asks the others for the rate limits that they
/// know.
static constexpr Duration StartupQueryTime = std::chrono::seconds(1);
/// Bounds of the time after which a refused caller should retry, and the upper
/// bound if a rate limit or a backoff is the reason for the refusal.
static constexpr Duration MinRetryAfter = std::chrono::milliseconds(150);
static constexpr Duration MaxRetryAfter = std::chrono::seconds(2);
static constexpr Duration MaxPushbackRetryAfter = std::chrono::seconds(10);

void DirectNode::refreshMembers(TimePoint now) {
  if (MembersAt && now - *MembersAt < MembersMaxAge)
    return;
  MembersAt = now;
  FleetMembers members;
  members.Self = NameDigest;
  members.IsComplete = !MustKnowFleet || Fleet.hasList();
  Duration window = Retries.limits().Window;
  bool isSettled = ActiveSince && now - *ActiveSince >= ActiveSettleTime;
  for (const std::string &it : isSettled ? Fleet.othersWithCallers(window, now)
                                         : Fleet.others(window, now)) {
    if (Sharing && !Sharing->contains(it))
      continue;
    members.Others.push_back(digest64(it));
  }
  if (!Cold.isEmpty())
    Cold.setMembers(members, now);
  Rates.setMembers(std::move(members), now);
}

void DirectNode::setColdEndpoints(const std::vector<ListedEndpoint> &endpoints,
                                  const FleetConfig &config, TimePoint now) {
  bool wasEmpty = Cold.isEmpty();
  Cold.setEndpoints(endpoints, config, now);
  if (wasEmpty && !Cold.isEmpty()) {
    MembersAt.reset();
    refreshMembers(now);
  }
}

/// Takes a token from each limit of the endpoint, or from none. Returns false
/// if one of the limits leaves this entry none now.
bool DirectNode::takeTokens(const EndpointState &state, TimePoint now) {
  if ((state.IsOutside && isLimited(state)) ||
      !Rates.hasCapacity(state.Incarnation, now) ||
      !Cold.hasCapacity(state.Incarnation, now))
    return false;
  Cold.take(state.Incarnation, now);
  return Rates.take(state.Incarnation, now);
}

bool DirectNode::isIdle(TimePoint now) const {
  return Calls.empty() && (!LastCallAt || now - *LastCallAt >= IdleAfter);
}

bool DirectNode::isNew(TimePoint now) const {
  return Begin && now - *Begin < StartupQueryTime;
}

DirectActions DirectNode::onPushback(const EndpointId &id,
                                     const Pushback &pushback,
                                     std::optional<TimePoint> sentAt,
                                     TimePoint now) {
  const EndpointState *state = Table.find(id);
  if (!state)
    return takeActions();
  if (pushback.Backoff)
    Excluded.onBackoff(state->Incarnation, *pushback.Backoff, now);
  if (pushback.IsLeaving)
    Excluded.onLeaving(state->Incarnation, false, now);
  bool mayLift = sentAt && pushback.Malformed.empty();
  if (pushback.RequestsPerSecond ||
      (mayLift && Rates.isKnown(state->Incarnation))) {
    refreshMembers(now);
    // Without a send time the response can only lower a limit.
    Rates.onResponse(state->Incarnation, pushback.RequestsPerSecond,
                     sentAt.value_or(TimePoint()), now);
  }
  if (pushback.Backoff || pushback.IsLeaving || Rates.hasLogRecords())
    onLimitsChanged(now);
  return takeActions();
}

DirectActions
DirectNode::onRateLimits(const std::vector<RateLimitRecord> &records,
                         TimePoint now) {
  if (records.empty())
    return takeActions();
  refreshMembers(now);
  auto isKnown = [this](IncarnationDigest incarnation) {
    return Table.findIncarnation(incarnation) != nullptr;
  };
  Rates.merge(records, isKnown, now);
  if (Rates.hasLogRecords())
    onLimitsChanged(now);
  return takeActions();
}

DirectActions
DirectNode::onLeaving(const std::vector<IncarnationDigest> &incarnations,
                      TimePoint now) {
  for (IncarnationDigest it : incarnations)
    if (Table.findIncarnation(it))
      Excluded.onLeaving(it, true, now);
  return takeActions();
}

/// Serves and ends waiting calls after the limits of endpoints changed, usually
/// to lower values.
void DirectNode::onLimitsChanged(TimePoint now) {
  if (Waiting.empty())
    return;
  startWaiting(now);
  endUnservable(now);
}

bool DirectNode::maySend(CallId id, TimePoint now) {
  auto it = Calls.find(id);
  if (it == Calls.end() || !it->second.Current)
    return false;
  CallState &call = it->second;
  const EndpointState *state = Table.find(*call.Current);
  if (state && isExcluded(*state, now))
    return false;
  if (!state || call.IsCharged)
    return true;
  call.IsCharged = isLimited(*state);
  return takeTokens(*state, now);
}

std::size_t DirectNode::waitingFor(const ServiceId &service) const {
  return std::count_if(Waiting.begin(), Waiting.end(), [&](const auto &it) {
    return Calls.at(std::get<CallId>(it)).Service == service;
  });
}

bool DirectNode::isInBackoff(const EndpointId &id, TimePoint now) const {
  const EndpointState *state = Table.find(id);
  return state && Excluded.isInBackoff(state->Incarnation, now);
}

/// Returns why the call is held back if every endpoint that it may use is
/// excluded by a rate limit or a backoff that the endpoint asked for; otherwise
/// Ok.
ResultCode DirectNode::pushbackReason(const CallState &call,
                                      TimePoint now) const {
  if (!hasExclusions() || call.HasBegun)
    return ResultCode::Ok;
  ObstacleCounts counts = Picker.countObstacles(call, now);
  auto countOf = [&](Obstacle it) {
    return counts.at(static_cast<std::size_t>(it));
  };
  unsigned others = countOf(Obstacle::None) + countOf(Obstacle::Full) +
                    countOf(Obstacle::Closed) + countOf(Obstacle::TooSlow) +
                    countOf(Obstacle::NotKnownToServe) +
                    countOf(Obstacle::SlowRank);
  if (others > 0)
    return ResultCode::Ok;
  if (countOf(Obstacle::RateLimited) > 0)
    return ResultCode::RateLimited;
  if (countOf(Obstacle::Resting) > 0)
    return ResultCode::EndpointsResting;
  return countOf(Obstacle::Drained) > 0 ? ResultCode::DataCentreDrained
                                        : ResultCode::Ok;
}

/// Whether rate limits and backoffs keep \p call from starting before its wait
/// ends: the other waiting calls use up what this entry may send by then to
/// endpoints whose backoff has ended.
bool DirectNode::isUnservable(const CallState &call, TimePoint now) const {
  if (pushbackReason(call, now) == ResultCode::Ok)
    return false;
  TimePoint until = call.waitLimit();
  double capacity = 0;
  for (const EndpointState *it : Picker.statesOf(call.Service)) {
    bool isOut = it->Record.IsLeaving || it->IsDrained ||
                 Excluded.isLeaving(it->Incarnation) ||
                 Excluded.backoffUntil(it->Incarnation) >= until;
    if (isOut || call.Tried.contains(it->Record.Id))
      continue;
    capacity += Rates.isLimited(it->Incarnation)
                    ? Rates.capacityUntil(it->Incarnation, now, until)
                    : it->Record.Slots;
  }
  bool waits =
      Waiting.contains({call.Request.Priority, call.Arrived, call.Request.Id});
  return double(waitingFor(call.Service) + (waits ? 0 : 1)) > capacity;
}

/// Ends the waiting calls that cannot be served in time, the last in the queue
/// first.
void DirectNode::endUnservable(TimePoint now) {
  if (!hasExclusions())
    return;
  std::vector<CallId> waiting;
  for (const auto &[priority, arrived, id] : Waiting)
    waiting.push_back(id);
  for (auto it = waiting.rbegin(); it != waiting.rend(); ++it)
    if (CallState &call = Calls.at(*it); isUnservable(call, now))
      endNotRun(call, ResultCode::NoEndpoint, now);
}

/// Returns the time after which a refused caller may find capacity: an estimate
/// of the time to serve the waiting calls of all services, at the rate at which
/// the service completes the requests that it runs now.
Duration DirectNode::expectedQueueDelay(const CallState &call,
                                        TimePoint now) const {
  unsigned running = 0;
  for (const EndpointState *it : Picker.statesOf(call.Service))
    running += Table.totalLoad(*it, now).Running;
  if (running == 0)
    return MinRetryAfter;
  // A request runs for a second or two at an engine. The route's latency target
  // is the only available figure that scales with this time.
  Duration each = call.Request.Route->Target * 4 / running;
  auto n = static_cast<std::int64_t>(Waiting.size() + 1);
  return std::clamp(each * n, MinRetryAfter, MaxRetryAfter);
}

/// Returns when a caller that no endpoint can serve now should retry. The time
/// is drawn at random, so that callers that were refused together do not return
/// together: around the time that this entry's share of the advertised rates
/// takes to serve them, or after the end of the first backoff.
Duration DirectNode::expectedCapacityDelay(const CallState &call,
                                           TimePoint now) {
  double rate = 0;
  for (const EndpointState *it : Picker.statesOf(call.Service))
    if (Rates.isLimited(it->Incarnation) && !isExcluded(*it, now))
      rate += std::max(Rates.advertisedRate(it->Incarnation),
                       RateLimits::MinPerSecond);
  if (rate == 0)
    return expectedBackoffDelay(call, now);
  double own = rate / double(Rates.memberCount());
  // The other callers that were recently refused need to be served as well.
  double ahead = std::max(1.0, Arrivals.perSecond(call.Service, now));
  auto mean = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(ahead / own));
  mean = std::clamp(mean, 2 * MinRetryAfter, MaxPushbackRetryAfter);
  return drawUniform(mean / 2, mean * 3 / 2);
}

/// Returns a random time after the first backoff ends, spread over the time
/// that the endpoints need to serve the callers that will have been refused by
/// then.
Duration DirectNode::expectedBackoffDelay(const CallState &call,
                                          TimePoint now) {
  std::optional<TimePoint> first;
  unsigned slots = 0;
  for (const EndpointState *it : Picker.statesOf(call.Service)) {
    TimePoint end = Excluded.backoffUntil(it->Incarnation);
    if (it->Record.IsLeaving || Excluded.isLeaving(it->Incarnation) ||
        end <= now)
      continue;
    first = std::min(first.value_or(end), end);
    slots += it->Record.Slots;
  }
  // Nothing tells how long a drain lasts.
  if (!first && Table.hasDrained())
    return drawUniform(MaxRetryAfter / 2, MaxRetryAfter);
  Duration left = first ? *first - now : Duration::zero();
  double rejected = Arrivals.perSecond(call.Service, now) *
                    std::chrono::duration<double>(left).count();
  // A request runs for a second or two at an engine. The route's latency target
  // is the only available figure that scales with this time.
  double each =
      std::chrono::duration<double>(call.Request.Route->Target).count();
  double entries = double(Table.livePeers(now) + 1);
  auto spread =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          rejected * 4 * each * entries / std::max(1U, slots)));
  spread = std::clamp(spread, std::max<Duration>(2 * MinRetryAfter, left / 4),
                      MaxPushbackRetryAfter);
  return left + drawUniform(Duration::zero(), spread);
}

Duration DirectNode::drawUniform(Duration least, Duration most) {
  std::uniform_int_distribution<Duration::rep> spread(least.count(),
                                                      most.count());
  return Duration(spread(Random));
}
