//===- AgentPushback.cpp - honours an endpoint's pushback -----------------===//
//
// The part of AgentNode that applies the rate limit, the backoff and the
// leaving notice that an endpoint sends with its responses. This state is lost
// when the agent restarts; the endpoint's next response restores it.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Routing/AgentNode.h"

#include <algorithm>

using namespace ospreyspur;

AgentActions AgentNode::onPushback(RequestId id, const Pushback &asked,
                                   TimePoint now) {
  noticeTime(now);
  auto it = Jobs.find(id);
  if (it == Jobs.end() || !it->second.Started)
    return takeActions();
  LifeDigest life(it->second.Life.get());
  if (asked.RequestsPerSecond || asked.Malformed.empty())
    Rates.onAnswer(life, asked.RequestsPerSecond, *it->second.Started, now);
  if (asked.Rest)
    Closed.onRest(life, *asked.Rest, now);
  if (asked.IsLeaving)
    Closed.onLeaving(life, false, now);
  updateLeaving(now);
  if (restLeft() > Limits.MaxWait)
    for (const QueuedRequest &queued : Queue.drain())
      withdrawQueued(queued.Id, ResultCode::EndpointsResting, now);
  startWaiting(now);
  return takeActions();
}

AgentActions AgentNode::onEndpointEnded(TimePoint now) {
  noticeTime(now);
  Life = EngineLife(Life.get() + 1);
  updateLeaving(now);
  startWaiting(now);
  return takeActions();
}

Duration AgentNode::restLeft() const {
  TimePoint end = Closed.restUntil(currentLife());
  return std::max(end - LastInput, Duration::zero());
}

/// Returns how long a new request would wait under the advertised rate limit.
Duration AgentNode::rateWait() const {
  LifeDigest life = currentLife();
  if (!Rates.isLimited(life))
    return Duration::zero();
  double rate = std::max(Rates.namedRate(life), RateLimits::MinPerSecond);
  auto ahead = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(double(Queue.size()) / rate));
  std::optional<TimePoint> next = Rates.nextRoom(LastInput);
  return ahead + (next ? *next - LastInput : Duration::zero());
}
