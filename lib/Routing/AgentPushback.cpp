//===- AgentPushback.cpp - an endpoint that asks its agent for less -------===//
//
// The part of AgentNode that keeps to it. What an agent knows of its endpoint
// goes with the agent; the next answer says it again.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Routing/AgentNode.h"

#include <algorithm>

using namespace ospreyspur;

AgentActions AgentNode::onPushback(RequestId id, const Pushback &asked,
                                   TimePoint now) {
  noticeTime(now);
  auto it = Jobs.find(id);
  bool isReadable = asked.RequestsPerSecond || asked.Malformed.empty();
  if (it == Jobs.end() || !it->second.Started || !isReadable)
    return takeActions();
  LifeDigest life(it->second.Life.get());
  Rates.onAnswer(life, asked.RequestsPerSecond, *it->second.Started, now);
  startWaiting(now);
  return takeActions();
}

/// How long a new request would wait for its turn under the named rate.
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
