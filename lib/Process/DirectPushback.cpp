//===- DirectPushback.cpp - what endpoints ask an entry for ---------------===//
//
// The part of DirectTraffic that hands it to the node and logs its changes.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/DirectTraffic.h"

#include "ospreyspur/Support/LogEvent.h"

#include <glog/logging.h>

using namespace ospreyspur;

/// One in so many values that cannot be read is logged.
static constexpr int LogOneIn = 100;

void DirectTraffic::takePushback(const EndpointId &id, const Pushback &asked,
                                 std::optional<TimePoint> sentAt) {
  if (!asked.Malformed.empty()) {
    Measures.count("pushback_unreadable_total");
    LOG_EVERY_N(WARNING, LogOneIn) << LogEvent("pushback.unreadable")
                                          .with("endpoint", id.get())
                                          .with("value", asked.Malformed);
  }
  DirectActions actions = Node.onPushback(id, asked, sentAt, monotonicNow());
  if (!actions.empty())
    apply(std::move(actions));
  else
    logRates();
}

static const char *wordOf(const RateLimitNote &note) {
  if (!note.After)
    return "lifted";
  if (!note.Before)
    return "set";
  return *note.After < *note.Before ? "lowered" : "raised";
}

void DirectTraffic::logRates() {
  std::vector<RateLimitNote> notes = Node.takeRateNotes();
  if (notes.empty())
    return;
  for (const RateLimitNote &note : notes) {
    const EndpointState *state = Node.book().findLife(note.Life);
    Measures.count("rate_limit_changes_total{change=\"" +
                   std::string(wordOf(note)) + "\"}");
    LOG(INFO) << LogEvent("endpoint.rate")
                     .with("endpoint", state ? state->Record.Id.get() : "")
                     .with("change", wordOf(note))
                     .with("per_s", note.After.value_or(-1))
                     .with("before_per_s", note.Before.value_or(-1))
                     .with("from", note.IsTold ? "entry" : "answer")
                     .with("age_ms", toMillis(note.Age))
                     .with("rank", note.Rank)
                     .with("senders", note.Holders);
  }
  Measures.set("endpoints_rate_limited", double(Node.rates().limitedCount()));
}
