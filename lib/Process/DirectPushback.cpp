//===- DirectPushback.cpp - what endpoints ask an entry for ---------------===//
//
// The part of DirectTraffic that hands it to the node and logs its changes.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/DirectTraffic.h"

#include "ospreyspur/Process/PushbackLog.h"

using namespace ospreyspur;

void DirectTraffic::takePushback(const EndpointId &id, const Pushback &asked,
                                 std::optional<TimePoint> sentAt) {
  logUnreadable(id, asked, Measures);
  DirectActions actions = Node.onPushback(id, asked, sentAt, monotonicNow());
  if (!actions.empty())
    apply(std::move(actions));
  else
    logPushback();
}

void DirectTraffic::logPushback() {
  auto nameOf = [this](LifeDigest life) {
    const EndpointState *state = Node.book().findLife(life);
    return state ? state->Record.Id : EndpointId();
  };
  logRates(Node.takeRateNotes(), nameOf, Node.rates().limitedCount(), Measures);
  if (Node.closed().isEmpty())
    return;
  logLeaving(Node.takeLeavingNotes(), nameOf, Measures);
  logRests(Node.takeRestNotes(), nameOf,
           Node.closed().restingCount(monotonicNow()), Measures);
}
