//===- DirectStatusQueries.cpp - status queries to endpoints --------------===//
//
// The part of DirectNode that queries engines for whether they accept requests
// and for their slowdown factors.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/DirectNode.h"

#include <utility>

using namespace ospreyspur;

DirectActions
DirectNode::onTold(const EndpointId &id,
                   const std::optional<EndpointCondition> &condition,
                   TimePoint now) {
  Book.onTold(id, condition, now);
  sendStatusQueries(now);
  startWaiting(now);
  return takeActions();
}

void DirectNode::sendStatusQueries(TimePoint now) {
  auto mayBeQueried = [this, now](const EndpointState &it) {
    return mayQuery(it, now);
  };
  for (EndpointRecord &it : Book.takeStatusQueries(mayBeQueried, now))
    Out.emplace_back(AskEndpoint{std::move(it)});
  for (EndpointRecord &it : Book.takeSlowdownQueries(mayBeQueried, now, Random))
    Out.emplace_back(AskEndpoint{std::move(it)});
}

/// Whether a status query may be sent to the endpoint. A query counts toward
/// the endpoint's limits like a request.
bool DirectNode::mayQuery(const EndpointState &state, TimePoint now) {
  if (isClosed(state, now))
    return false;
  if (!Rates.isEmpty())
    refreshMembers(now);
  return Rates.take(state.Life, now);
}
