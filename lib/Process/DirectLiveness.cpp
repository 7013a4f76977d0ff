//===- DirectLiveness.cpp - endpoint crashes during requests --------------===//
//
// The part of DirectTraffic that checks whether an endpoint has exited, either
// because it cut off a response or because nothing but the end of the
// connection marks the end of a response. It also handles other entries'
// reports of crashes, and logs the resulting verdicts.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/DirectTraffic.h"

#include "ospreyspur/Process/CrashLog.h"
#include "ospreyspur/Process/HostTimer.h"
#include "ospreyspur/Process/LivenessCheck.h"
#include "ospreyspur/Support/LogEvent.h"
#include "platform/RankWire.h"
#include "platform/RequestWire.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <utility>

using namespace ospreyspur;
namespace asio = boost::asio;

/// How long an endpoint may take to reply to a liveness check: less than this
/// side waits for the reply.
static constexpr Duration LivenessQueryTime = std::chrono::milliseconds(300);
/// How long the caller of a response that may be cut off waits until the
/// endpoint has been reached. A lost SYN packet alone takes a second.
static constexpr Duration MaxEndCheckTime = std::chrono::milliseconds(1500);
/// Time between two such checks, so that they don't add to an overload.
static constexpr Duration EndCheckPause = std::chrono::milliseconds(250);

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

/// A query for the incarnation that \p endpoint reports.
static IncarnationQuery makeReportQuery(const EndpointRecord &endpoint) {
  return {platform::makeReportCall(),
          [incarnation = endpoint.Incarnation.get()](
              const HttpResponse &response) -> std::optional<bool> {
            Result<RankStatus> status = platform::readReport(response.body());
            if (!status)
              return std::nullopt;
            return status.value().Incarnation.get() == incarnation;
          }};
}

/// A query for the name of \p endpoint. Each start of an endpoint has a name of
/// its own, unless its record states an incarnation.
static IncarnationQuery makeNameQuery(const EndpointRecord &endpoint,
                                      const FleetConfig &config) {
  const ServiceRule *service = config.findService(endpoint.Service);
  std::string path = service ? service->HealthPath : ServiceRule().HealthPath;
  return {platform::makeHealthCall(path, endpoint.Name, LivenessQueryTime),
          [name = endpoint.Name](const HttpResponse &response) {
            return platform::isFromEndpoint(response, name);
          }};
}

static bool reportsIncarnation(const EndpointRecord &endpoint) {
  return endpoint.AnswersStatusQueries &&
         endpoint.Incarnation != EndpointIncarnation(0);
}

asio::awaitable<EndpointLiveness>
DirectTraffic::findLiveness(EndpointRecord endpoint) {
  // If the endpoint reports no incarnation, has a rate limit, is in backoff or
  // is leaving, a connection is opened without a status query, which would
  // count as a request.
  std::optional<IncarnationQuery> query;
  if (reportsIncarnation(endpoint) &&
      Node.acceptsStatusQueries(endpoint.Id, monotonicNow()))
    query = makeReportQuery(endpoint);
  co_return co_await checkLiveness(Context, endpoint.Address, std::move(query));
}

/// The state of an endpoint in this entry's table, as a word for the log.
static const char *wordOf(const EndpointState *state) {
  if (!state)
    return "unknown";
  if (state->IsMissing)
    return "missing";
  return state->Record.IsLeaving ? "leaving" : "ready";
}

/// Whether the endpoint of \p order still runs after the end of a response that
/// ended with its connection, so that the response is whole. No state in the
/// endpoint list replaces the endpoint's own reply: one that is leaving or has
/// vanished from the list may crash as well, and what listens at its address
/// may be another incarnation.
asio::awaitable<bool> DirectTraffic::outlivesResponse(const DirectCall &call,
                                                      StartAttempt order) {
  const EndpointRecord &endpoint = order.Endpoint;
  TimePoint begin = monotonicNow();
  TimePoint end = std::min(order.Deadline, begin + MaxEndCheckTime);
  std::string label = call.Request.Label;
  const char *state = wordOf(Node.endpointTable().find(endpoint.Id));
  IncarnationQuery query = reportsIncarnation(endpoint)
                               ? makeReportQuery(endpoint)
                               : makeNameQuery(endpoint, *call.Request.Config);
  EndpointLiveness liveness =
      co_await checkLiveness(Context, endpoint.Address, query);
  while (liveness == EndpointLiveness::Unknown && monotonicNow() < end) {
    HostTimer timer(Context, EndCheckPause);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    liveness = co_await checkLiveness(Context, endpoint.Address, query);
  }
  Measures.count("response_end_checks_total{state=\"" + std::string(state) +
                 "\",fate=\"" + toString(liveness) + "\"}");
  LOG(INFO) << LogEvent("response.end_checked")
                   .with("id", label)
                   .with("endpoint", endpoint.Id.get())
                   .with("state", state)
                   .with("fate", toString(liveness))
                   .with("took_ms", toMillis(monotonicNow() - begin));
  co_return liveness == EndpointLiveness::Alive;
}
