//===- DirectLiveness.cpp - endpoint crashes during requests --------------===//
//
// The part of DirectTraffic that checks whether an endpoint has exited, handles
// other entries' reports of crashes, and logs the resulting verdicts.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/DirectTraffic.h"

#include "ospreyspur/Process/CrashLog.h"
#include "ospreyspur/Process/LivenessCheck.h"
#include "ospreyspur/Process/RankLink.h"
#include "ospreyspur/Support/LogEvent.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <glog/logging.h>

#include <utility>

using namespace ospreyspur;
namespace asio = boost::asio;

/// Logs each crash of an endpoint during a request and each new quarantine, and
/// passes changes of the quarantine to ReportQuarantine.
void DirectTraffic::logCrashes() {
  ospreyspur::logCrashes(Node.takeCrashLogRecords(), Node.crashes(), Measures);
  std::uint64_t change = Node.crashes().changes();
  if (std::exchange(LastReportedChange, change) == change || !ReportQuarantine)
    return;
  ReportQuarantine(Node.crashes().quarantined(), Node.crashes().cleared());
}

/// Applies a load report. Each entry sends several a second, so this entry
/// schedules a report of its own only if a received one may change something
/// here.
void DirectTraffic::takeReport(const LoadReport &report) {
  TimePoint now = monotonicNow();
  if (report.IsOutside)
    Node.onOutsideReport(report.Node, now);
  else
    Node.setPeerLoad(report.Node, report.Loads, now);
  if (report.IsIdle)
    Node.onIdlePeer(report.Node, now);
  Node.mergeReplaced(report.Replaced, now);
  if (report.IsNew)
    Node.onPeerStarted(now);
  if (!report.Leaving.empty())
    apply(Node.onLeaving(report.Leaving, now));
  if (!report.Rates.empty())
    apply(Node.onRateLimits(report.Rates, now));
  if (report.Crashes.isEmpty() && Node.crashes().isEmpty())
    return;
  DirectActions actions = Node.onCrashReport(report.Node, report.Crashes, now);
  if (!actions.empty())
    apply(std::move(actions));
  else
    logCrashes();
}

void DirectTraffic::perform(CheckEndpoint &action) {
  asio::co_spawn(Context, checkEndpoint(action.Endpoint), asio::detached);
}

asio::awaitable<void> DirectTraffic::checkEndpoint(EndpointRecord endpoint) {
  EndpointLiveness liveness = co_await findLiveness(endpoint);
  const char *word = toString(liveness);
  Measures.count("endpoint_checks_total{fate=\"" + std::string(word) + "\"}");
  LOG(INFO) << LogEvent("endpoint.checked")
                   .with("endpoint", endpoint.Id.get())
                   .with("fate", word);
  apply(Node.onChecked(endpoint.Id, liveness, monotonicNow()));
}

asio::awaitable<EndpointLiveness>
DirectTraffic::findLiveness(EndpointRecord endpoint) {
  // If the endpoint reports no incarnation, has a rate limit, is in backoff or
  // is leaving, a connection is opened without a status query, which would
  // count as a request.
  bool reportsIncarnation =
      endpoint.AnswersStatusQueries &&
      endpoint.Incarnation != EndpointIncarnation(0) &&
      Node.acceptsStatusQueries(endpoint.Id, monotonicNow());
  if (!reportsIncarnation)
    co_return co_await checkLiveness(Context, endpoint.Address);
  auto isSameIncarnation =
      [this, &endpoint]() -> asio::awaitable<std::optional<bool>> {
    RankLink link(Context, endpoint.Address);
    Result<RankStatus> status = co_await link.readReport();
    if (!status)
      co_return std::nullopt;
    co_return status.value().Incarnation.get() == endpoint.Incarnation.get();
  };
  co_return co_await checkLiveness(Context, endpoint.Address,
                                   isSameIncarnation);
}

/// The state of an endpoint in this entry's table, as a word for the log.
static const char *wordOf(const EndpointState *state) {
  if (!state)
    return "unknown";
  if (state->IsMissing)
    return "missing";
  return state->Record.IsLeaving ? "leaving" : "ready";
}

/// Whether the endpoint of \p call has exited though it was not to leave.
asio::awaitable<bool> DirectTraffic::hasCrashed(const DirectCall &call,
                                                EndpointRecord endpoint) {
  std::string label = call.Request.Label;
  const EndpointState *state = Node.endpointTable().find(endpoint.Id);
  const char *stateWord = wordOf(state);
  bool isPlanned = !state || state->Record.IsLeaving || state->IsMissing;
  const char *fate = "unchecked";
  bool isCut = false;
  if (!isPlanned) {
    EndpointLiveness liveness = co_await findLiveness(endpoint);
    fate = toString(liveness);
    isCut = liveness == EndpointLiveness::Exited;
    Measures.count("response_end_checks_total{fate=\"" + std::string(fate) +
                   "\"}");
  }
  LOG(INFO) << LogEvent("response.end_checked")
                   .with("id", label)
                   .with("endpoint", endpoint.Id.get())
                   .with("state", stateWord)
                   .with("fate", fate)
                   .with("whole", !isCut);
  co_return isCut;
}
