//===- DirectPushback.cpp - pushback from endpoints -----------------------===//
//
// The part of DirectTraffic that passes the rate limits, backoffs and leaving
// states in endpoints' responses to the node and logs their changes.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/DirectTraffic.h"

#include "ospreyspur/Process/PushbackLog.h"
#include "ospreyspur/Support/LogEvent.h"

#include <glog/logging.h>

#include <utility>

using namespace ospreyspur;

void DirectTraffic::takePushback(const EndpointId &id, const Pushback &pushback,
                                 std::optional<TimePoint> sentAt) {
  logMalformedPushback(id, pushback, Measures);
  DirectActions actions = Node.onPushback(id, pushback, sentAt, monotonicNow());
  if (!actions.empty())
    apply(std::move(actions));
  else
    logPushback();
}

void DirectTraffic::logPushback() {
  auto nameOf = [this](IncarnationDigest incarnation) {
    const EndpointState *state =
        Node.endpointTable().findIncarnation(incarnation);
    return state ? state->Record.Id : EndpointId();
  };
  logRateLimits(Node.takeRateLimitLogRecords(), nameOf,
                Node.rates().limitedCount(), Measures);
  if (Node.excluded().isEmpty())
    return;
  logLeaving(Node.takeLeavingLogRecords(), nameOf, Measures);
  logBackoffs(Node.takeBackoffLogRecords(), nameOf,
              Node.excluded().backoffCount(monotonicNow()), Measures);
}

void DirectTraffic::logColdEndpoints() {
  for (const auto &[incarnation, span] : Node.takeColdLogRecords()) {
    const EndpointState *state =
        Node.endpointTable().findIncarnation(incarnation);
    LOG(INFO) << LogEvent("endpoint.cold")
                     .with("endpoint", state ? state->Record.Id.get() : "")
                     .with("for_ms", toMillis(span));
  }
}

void DirectTraffic::logSharing() {
  std::size_t sharing =
      Node.rates().limitedCount() > 0 ? Node.rates().memberCount() : 0;
  if (std::exchange(LoggedSharing, sharing) == sharing)
    return;
  Measures.set("entries_sharing_rates", double(sharing));
  LOG(INFO) << LogEvent("rates.shared").with("entries", sharing);
}
