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
DirectNode::onStatusReport(const EndpointId &id,
                           const std::optional<EndpointStatus> &status,
                           TimePoint now) {
  Table.onStatusReport(id, status, now);
  Slow.update(now);
  sendStatusQueries(now);
  startWaiting(now);
  return takeActions();
}

void DirectNode::sendStatusQueries(TimePoint now) {
  auto mayBeQueried = [this, now](const EndpointState &it) {
    return mayQuery(it, now);
  };
  for (EndpointRecord &it : Table.takeStatusQueries(mayBeQueried, now, Random))
    Out.emplace_back(QueryEndpoint{std::move(it)});
  for (EndpointRecord &it :
       Table.takeSlowdownQueries(mayBeQueried, Slow.slow(), NameDigest, now))
    Out.emplace_back(QueryEndpoint{std::move(it)});
}

/// Whether a status query may be sent to the endpoint. A query counts toward
/// the endpoint's limits like a request.
bool DirectNode::mayQuery(const EndpointState &state, TimePoint now) {
  if (isExcluded(state, now) || (state.IsOutside && isLimited(state)))
    return false;
  if (!Rates.isEmpty())
    refreshMembers(now);
  return Rates.take(state.Incarnation, now);
}
