//===- DirectPushback.cpp - endpoints that ask for less -------------------===//
//
// The part of DirectNode that keeps to what endpoints ask for in their answers,
// and turns callers away at once when no endpoint can serve them in time.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/DirectNode.h"

#include <algorithm>
#include <utility>

using namespace ospreyspur;

/// How often the members of the fleet are counted anew while they matter.
static constexpr Duration MembersAge = std::chrono::milliseconds(200);
/// How long an entry that begins asks the others for what they know.
static constexpr Duration NewTime = std::chrono::seconds(1);
/// Bounds of the time after which a caller who was turned away for a limit
/// should return.
static constexpr Duration MinReturn = std::chrono::milliseconds(150);
static constexpr Duration MaxReturn = std::chrono::seconds(10);

void DirectNode::refreshMembers(TimePoint now) {
  if (MembersAt && now - *MembersAt < MembersAge)
    return;
  MembersAt = now;
  FleetMembers members;
  members.Self = digest64(Name);
  members.IsComplete = !MustKnowFleet || Fleet.isListed();
  for (const std::string &it : Fleet.others(Retries.bounds().Window, now))
    members.Others.push_back(digest64(it));
  Rates.setMembers(std::move(members), now);
}

bool DirectNode::isNew(TimePoint now) const {
  return Begin && now - *Begin < NewTime;
}

DirectActions DirectNode::onPushback(const EndpointId &id,
                                     const Pushback &asked,
                                     std::optional<TimePoint> sentAt,
                                     TimePoint now) {
  const EndpointState *state = Book.find(id);
  bool mayLift = sentAt && asked.Malformed.empty();
  bool hasNews = state && (asked.RequestsPerSecond ||
                           (mayLift && Rates.isKnown(state->Life)));
  if (!hasNews)
    return takeActions();
  refreshMembers(now);
  // Without a time it can make a limit stricter only.
  Rates.onAnswer(state->Life, asked.RequestsPerSecond,
                 sentAt.value_or(TimePoint()), now);
  if (Rates.hasNotes())
    onRatesChanged(now);
  return takeActions();
}

DirectActions DirectNode::onRateLimits(const std::vector<RateLimitRow> &rows,
                                       TimePoint now) {
  if (rows.empty())
    return takeActions();
  refreshMembers(now);
  auto isKnown = [this](LifeDigest life) {
    return Book.findLife(life) != nullptr;
  };
  Rates.merge(rows, isKnown, now);
  if (Rates.hasNotes())
    onRatesChanged(now);
  return takeActions();
}

void DirectNode::onRatesChanged(TimePoint now) {
  if (Waiting.empty())
    return;
  startWaiting(now);
  endHopeless(now);
}

bool DirectNode::maySend(CallId id, TimePoint now) {
  auto it = Calls.find(id);
  if (it == Calls.end() || !it->second.Current)
    return false;
  CallState &call = it->second;
  const EndpointState *state = Book.find(*call.Current);
  if (!state || call.IsCounted)
    return true;
  call.IsCounted = Rates.isLimited(state->Life);
  return Rates.take(state->Life, now);
}

/// A question reaches an endpoint as a request does.
bool DirectNode::mayAsk(const EndpointState &state, TimePoint now) {
  if (!Rates.isEmpty())
    refreshMembers(now);
  return Rates.take(state.Life, now);
}

std::size_t DirectNode::waitingFor(const ServiceId &service) const {
  return std::count_if(Waiting.begin(), Waiting.end(), [&](const auto &it) {
    return Calls.at(std::get<CallId>(it)).Service == service;
  });
}

/// Whether each endpoint that the call may go to has named a rate of which this
/// entry has nothing left at present.
bool DirectNode::isRateLimited(const CallState &call, TimePoint now) const {
  if (Rates.limitedCount() == 0 || call.HasBegun)
    return false;
  ObstacleCounts counts = Picker.countObstacles(call, now);
  auto countOf = [&](Obstacle it) {
    return counts.at(static_cast<std::size_t>(it));
  };
  unsigned others = countOf(Obstacle::None) + countOf(Obstacle::Full) +
                    countOf(Obstacle::Closed) + countOf(Obstacle::TooSlow) +
                    countOf(Obstacle::Unproven);
  return others == 0 && countOf(Obstacle::RateLimited) > 0;
}

/// Whether such a call cannot be started before its wait ends: what this entry
/// may send by then is spoken for.
bool DirectNode::isHopeless(const CallState &call, TimePoint now) const {
  if (!isRateLimited(call, now))
    return false;
  double room = 0;
  for (const EndpointState *it : Picker.statesOf(call.Service))
    if (!it->Record.IsLeaving && !call.Tried.contains(it->Record.Id))
      room += Rates.roomUntil(it->Life, now, call.waitLimit());
  bool waits =
      Waiting.contains({call.Request.Priority, call.Arrived, call.Request.Id});
  return double(waitingFor(call.Service) + (waits ? 0 : 1)) > room;
}

/// Of those who wait the last ones go first.
void DirectNode::endHopeless(TimePoint now) {
  if (Rates.limitedCount() == 0)
    return;
  std::vector<CallId> waiting;
  for (const auto &[priority, arrived, id] : Waiting)
    waiting.push_back(id);
  for (auto it = waiting.rbegin(); it != waiting.rend(); ++it)
    if (CallState &call = Calls.at(*it); isHopeless(call, now))
      endNotRun(call, ResultCode::NoEndpoint, now);
}

/// When a caller who finds all endpoints limited should return: drawn around
/// the time in which this entry's part of the named rates takes those who wait,
/// so that callers who were turned away together do not return together.
Duration DirectNode::expectedRoom(const CallState &call, TimePoint now) {
  double rate = 0;
  for (const EndpointState *it : Picker.statesOf(call.Service))
    rate += std::max(Rates.namedRate(it->Life), RateLimits::MinPerSecond);
  double own = rate / double(Rates.memberCount());
  // Each of the others who were turned away lately wants a turn, too.
  double ahead = std::max(1.0, Arrivals.perSecond(call.Service, now));
  auto mean = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(ahead / own));
  mean = std::clamp(mean, 2 * MinReturn, MaxReturn);
  std::uniform_int_distribution<Duration::rep> spread(mean.count() / 2,
                                                      mean.count() * 3 / 2);
  return Duration(spread(Random));
}
