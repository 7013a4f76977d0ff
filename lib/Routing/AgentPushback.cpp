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

AgentActions AgentNode::onPushback(RequestId id, const Pushback &pushback,
                                   TimePoint now) {
  detectPause(now);
  auto it = Jobs.find(id);
  if (it == Jobs.end() || !it->second.Started)
    return takeActions();
  IncarnationDigest incarnation(it->second.Engine.get());
  if (pushback.RequestsPerSecond || pushback.Malformed.empty())
    Rates.onResponse(incarnation, pushback.RequestsPerSecond,
                     *it->second.Started, now);
  if (pushback.Backoff)
    Excluded.onBackoff(incarnation, *pushback.Backoff, now);
  if (pushback.IsLeaving)
    Excluded.onLeaving(incarnation, false, now);
  updateLeaving(now);
  if (remainingBackoff() > Limits.MaxWait)
    for (const QueuedRequest &queued : Queue.drain())
      withdrawJob(queued.Id, ResultCode::EndpointsResting, now);
  startQueued(now);
  return takeActions();
}

AgentActions AgentNode::onEndpointExited(TimePoint now) {
  detectPause(now);
  Engine = EngineIncarnation(Engine.get() + 1);
  updateLeaving(now);
  startQueued(now);
  return takeActions();
}

Duration AgentNode::remainingBackoff() const {
  TimePoint end = Excluded.backoffUntil(currentIncarnation());
  return std::max(end - LastInput, Duration::zero());
}

/// Returns how long a new request would wait under the advertised rate limit.
Duration AgentNode::rateLimitWait() const {
  IncarnationDigest incarnation = currentIncarnation();
  if (!Rates.isLimited(incarnation))
    return Duration::zero();
  double rate =
      std::max(Rates.advertisedRate(incarnation), RateLimits::MinPerSecond);
  auto ahead = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(double(Queue.size()) / rate));
  std::optional<TimePoint> next = Rates.nextCapacityAt(LastInput);
  return ahead + (next ? *next - LastInput : Duration::zero());
}
