//===- DirectLog.cpp - log of requests on the direct path -----------------===//
//
// The part of DirectTraffic that logs what became of requests and attempts.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/DirectLog.h"

#include "ospreyspur/Process/DirectTraffic.h"
#include "ospreyspur/Support/LogEvent.h"

#include <glog/logging.h>

using namespace ospreyspur;

const char *ospreyspur::wordOf(AttemptEnd end) {
  switch (end) {
  case AttemptEnd::Complete:
    return "complete";
  case AttemptEnd::Full:
    return "full";
  case AttemptEnd::OtherIncarnation:
    return "replaced";
  case AttemptEnd::NeverSent:
    return "never_sent";
  case AttemptEnd::Withheld:
    return "withheld";
  case AttemptEnd::Failed:
    return "failed";
  case AttemptEnd::Lost:
    return "lost";
  case AttemptEnd::BrokeOff:
    return "broke_off";
  }
  return "";
}

const char *ospreyspur::wordOf(StopReason reason) {
  switch (reason) {
  case StopReason::TooSlow:
    return "too_slow";
  case StopReason::Silent:
    return "silent";
  case StopReason::Quarantined:
    return "quarantined";
  case StopReason::SlowRank:
    return "slow_rank";
  }
  return "";
}

/// Logs that a response was given up because its caller did not read it.
void DirectTraffic::logUnread(const DirectCall &call) {
  Measures.count("responses_unread_total");
  LOG(INFO) << LogEvent("response.unread")
                   .with("id", call.Request.Label)
                   .with("endpoints", call.Endpoints)
                   .with("timeout_ms", toMillis(Settings.WriteTimeout))
                   .with("ms", toMillis(monotonicNow() - call.Arrived));
}

/// Logs one line for each attempt whose endpoint sent bytes that are no
/// response.
void DirectTraffic::logBrokenResponse(const DirectCall &call,
                                      const StartAttempt &order,
                                      const std::string &detail) {
  Measures.count("broken_responses_total");
  LOG(WARNING) << LogEvent("response.broken")
                      .with("id", call.Request.Label)
                      .with("endpoint", order.Endpoint.Id.get())
                      .with("number", order.Number)
                      .with("ms", toMillis(monotonicNow() - call.Arrived))
                      .with("detail", detail);
}

/// Logs one line for each attempt whose endpoint closed the connection before
/// its response was complete.
void DirectTraffic::logEarlyClose(const DirectCall &call,
                                  const StartAttempt &order, AttemptEnd end,
                                  Duration ran) {
  LOG(INFO) << LogEvent("attempt.cut")
                   .with("id", call.Request.Label)
                   .with("digest", toHex(call.Request.Digest))
                   .with("parts", toHex(call.Request.Parts))
                   .with("endpoint", order.Endpoint.Id.get())
                   .with("end", wordOf(end))
                   .with("ran_ms", toMillis(ran));
}

/// Logs one line for each request that begins to wait, with the number of
/// endpoints of its service for each obstacle.
void DirectTraffic::logWaits() {
  for (const WaitLogRecord &record : Node.takeWaitLogRecords()) {
    auto it = Calls.find(record.Call);
    if (it == Calls.end())
      continue;
    LogEvent line("request.waits");
    line.with("id", it->second->Request.Label)
        .with("sent", record.Arrivals)
        .with("attempts_left", record.AttemptsLeft)
        .with("silent", record.IsSilent)
        .with("may_repeat", record.HasRetry)
        .with("entries", record.Entries);
    for (std::size_t i = 0; i < ObstacleNames.size(); ++i)
      line.with(ObstacleNames[i], record.Endpoints[i]);
    LOG(INFO) << line;
  }
}

/// Logs one line for each rank that begins or ceases to be slow.
void DirectTraffic::logSlowRanks() {
  std::vector<SlowRankLogRecord> records = Node.takeSlowRankLogRecords();
  if (records.empty())
    return;
  Measures.set("slow_ranks", double(Node.slowRanks().slow().size()));
  for (const SlowRankLogRecord &it : records)
    LOG(INFO) << LogEvent(it.IsSlow ? "rank.slow" : "rank.recovered")
                     .with("endpoint", it.Endpoint.get())
                     .with("group", it.Group.get())
                     .with("slowdown", it.Slowdown)
                     .with("emptied", it.IsEmptied)
                     .with("running", it.Running)
                     .with("gap_ms", toMillis(it.Gap))
                     .with("lasted_ms", toMillis(it.Lasted));
}

void DirectTraffic::finish(const DirectCall &call, ResultCode code) {
  TimePoint now = monotonicNow();
  const ResultInfo &info = describe(code);
  Measures.count("requests_total{outcome=\"" +
                 std::string(toString(info.Kind)) + "\",code=\"" +
                 std::to_string(static_cast<unsigned>(code)) + "\"}");
  if (call.FirstByte)
    Measures.observe("first_byte", *call.FirstByte - call.Arrived);
  LogEvent line("request.done");
  line.with("id", call.Request.Label)
      .with("digest", toHex(call.Request.Digest))
      .with("route", call.Request.Route->Name)
      .with("version", call.Request.Config->Version)
      .with("code", static_cast<unsigned>(code))
      .with("outcome", toString(info.Kind))
      .with("status", call.Status)
      .with("endpoints", call.Endpoints)
      .with("asked_rate", call.LastPushback.RequestsPerSecond.value_or(-1))
      .with("first_ms",
            call.FirstByte ? toMillis(*call.FirstByte - call.Arrived) : -1)
      .with("ms", toMillis(now - call.Arrived));
  if (call.QuarantinedPart != RequestDigest())
    line.with("part", toHex(call.QuarantinedPart));
  LOG(INFO) << line;
}
