//===- AgentTraffic.cpp - the agent's traffic thread ----------------------===//
//
// Passes received messages and responses to the AgentNode, and performs the
// node's actions.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/AgentTraffic.h"

#include "ospreyspur/Http/HeaderValues.h"
#include "ospreyspur/Process/LivenessCheck.h"
#include "ospreyspur/Process/PushbackLog.h"
#include "ospreyspur/Support/LogEvent.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/verb.hpp>
#include <glog/logging.h>

#include <sstream>

using namespace ospreyspur;
namespace asio = boost::asio;
namespace http = boost::beast::http;

/// An endpoint that has reported that it is leaving and still runs after this
/// time gets requests again.
static constexpr Duration MaxLeavingTime = std::chrono::minutes(10);

/// The longest deadline that a caller may set: nobody waits longer.
static constexpr Duration MaxRunTime = std::chrono::hours(1);

static constexpr char ResumeHeader[] = "Ospreyspur-Resume-Offset";
static constexpr char PriorityHeader[] = "Ospreyspur-Priority";
static constexpr char RequestIdHeader[] = "Ospreyspur-Request-Id";
static constexpr char RateHeader[] = "Ospreyspur-Rate-Limit";
static constexpr char LeavingHeader[] = "Ospreyspur-Leaving";

AgentTraffic::AgentTraffic(asio::io_context &ioc, const AgentSettings &settings,
                           TcpAddress endpoint, Incarnation incarnation,
                           std::string key, Metrics &metrics,
                           std::uint64_t seed)
    : Context(ioc), Settings(settings), Measures(metrics),
      Node(EndpointId(settings.EndpointName), incarnation, std::move(key),
           settings.Limits, seed),
      EndpointAddress(endpoint), Endpoint(ioc, endpoint),
      Watch(ioc, std::move(endpoint),
            {[this] { return !Runs.empty(); },
             [this](WatchNumber lost, WatchNumber current) {
               onWatchReplaced(lost, current);
             }}),
      Timer(ioc, [this] { apply(Node.onTimer(monotonicNow())); }),
      Server({[this](LinkId link, std::vector<Message> messages) {
                asio::post(Context,
                           [this, link, messages = std::move(messages)] {
                             onMessages(link, messages);
                           });
              },
              [this](LinkId link) {
                asio::post(Context, [this, link] {
                  apply(Node.onLinkDown(link, monotonicNow()));
                  Control.OnLinkDown(link);
                });
              }}) {}

Result<void> AgentTraffic::start() {
  apply(Node.onTimer(monotonicNow()));
  return Server.listen(Settings.Listen);
}

void AgentTraffic::setLeaving(bool leaving) {
  apply(Node.setLeaving(leaving, monotonicNow()));
}

void AgentTraffic::setWeights(std::shared_ptr<const WorkspaceWeights> weights) {
  Node.setWeights(std::move(weights));
}

void AgentTraffic::send(LinkId to, const Message &message) {
  Server.send(to, message);
}

static bool isForControl(const Message &message) {
  return std::holds_alternative<GroupOrder>(message) ||
         std::holds_alternative<GroupReply>(message) ||
         std::holds_alternative<GossipDigest>(message) ||
         std::holds_alternative<GossipUpdate>(message);
}

void AgentTraffic::onMessages(LinkId from,
                              const std::vector<Message> &messages) {
  TimePoint now = monotonicNow();
  for (const Message &message : messages) {
    if (isForControl(message))
      Control.OnMessage(from, message);
    else
      apply(Node.onMessage(from, message, now));
  }
}

void AgentTraffic::apply(AgentActions actions) {
  for (AgentAction &action : actions)
    std::visit([this](auto &it) { perform(std::move(it)); }, action);
  Timer.set(Node.nextTimer());
}

void AgentTraffic::perform(const SendToLink &action) {
  Server.send(action.To, action.Body);
}

void AgentTraffic::perform(StartRun action) {
  auto handle = std::make_shared<HttpRunHandle>();
  Runs[action.Id].Handle = handle;
  Measures.count("runs_total");
  asio::co_spawn(Context, run(std::move(action), handle), asio::detached);
}

void AgentTraffic::perform(const StopRun &action) {
  auto it = Runs.find(action.Id);
  if (it == Runs.end())
    return;
  it->second.Handle->stop();
  Runs.erase(it);
}

static std::string toHeader(const RequestId &id) {
  std::ostringstream os;
  os << std::hex << id.Issuer.get() << '-' << id.Sequence.get();
  return os.str();
}

asio::awaitable<void> AgentTraffic::run(StartRun order,
                                        std::shared_ptr<HttpRunHandle> handle) {
  RequestId id = order.Id;
  HttpRequest request;
  request.version(11);
  request.method_string(order.Method);
  request.target(order.Target);
  request.set(http::field::host, Settings.EndpointAddress);
  if (!order.ContentType.empty())
    request.set(http::field::content_type, order.ContentType);
  request.set(RequestIdHeader, toHeader(id));
  if (order.ResumeFrom > 0)
    request.set(ResumeHeader, std::to_string(order.ResumeFrom));
  if (order.Priority > 0)
    request.set(PriorityHeader, std::to_string(order.Priority));
  request.body() = std::move(order.Body);

  HttpSink sink;
  sink.OnHead = [this, id](const HttpResponseHead &head) {
    takePushback(id, head);
    apply(Node.onRunHead(id, head.Status,
                         std::string(head.Fields[http::field::content_type]),
                         monotonicNow()));
  };
  sink.OnData = [this, id](std::string_view data) {
    apply(Node.onRunData(id, data, monotonicNow()));
  };
  co_await Watch.open();
  if (auto it = Runs.find(id); it != Runs.end())
    it->second.Watch = Watch.current();
  RunTimeouts timeouts{Settings.EndpointIdle, MaxRunTime};
  ResultCode code =
      co_await Endpoint.run(std::move(request), sink, handle, timeouts);
  if (!handle->syntaxError().empty()) {
    Measures.count("broken_responses_total");
    LOG(WARNING) << LogEvent("response.broken")
                        .with("endpoint", Settings.EndpointName)
                        .with("request", toHeader(id))
                        .with("detail", handle->syntaxError());
  }
  if (code == ResultCode::Ok && handle->hasEndedWithConnection())
    code = co_await classifyEnd(id);
  if (code == ResultCode::EndpointFailed && Runs.contains(id))
    code = co_await classifyFailure(id);
  // If the run was stopped, it has been erased and its end reported already.
  if (Runs.erase(id) == 0)
    co_return;
  apply(Node.onRunEnd(id, code, monotonicNow()));
}

/// Applies the rate limit, backoff and leaving state in \p head to the node,
/// and logs their changes.
void AgentTraffic::takePushback(RequestId id, const HttpResponseHead &head) {
  Pushback pushback =
      readPushback({head.Status, headerValues(head.Fields, RateHeader),
                    headerValues(head.Fields, "Retry-After"),
                    std::string(head.Fields[http::field::date]),
                    headerValues(head.Fields, LeavingHeader)});
  EndpointId self(Settings.EndpointName);
  logMalformedPushback(self, pushback, Measures);
  apply(Node.onPushback(id, pushback, monotonicNow()));
  auto nameOf = [&](IncarnationDigest) { return self; };
  logRateLimits(Node.takeRateLimitLogRecords(), nameOf,
                Node.rates().limitedCount(), Measures);
  if (Node.excluded().isEmpty())
    return;
  logLeaving(Node.takeLeavingLogRecords(), nameOf, Measures);
  if (Node.hasAnnouncedLeaving() && !std::exchange(IsAwaitingExit, true))
    asio::co_spawn(Context, awaitExit(), asio::detached);
  logBackoffs(Node.takeBackoffLogRecords(), nameOf,
              Node.excluded().backoffCount(monotonicNow()), Measures);
}

/// Detects the exit of an endpoint that is leaving. As such an endpoint gets no
/// requests that would fail, an idle connection to it is kept open instead.
/// After MaxLeavingTime the endpoint is treated as exited even if it runs.
asio::awaitable<void> AgentTraffic::awaitExit() {
  TimePoint end = monotonicNow() + MaxLeavingTime;
  EndpointLiveness liveness = EndpointLiveness::Alive;
  while (Node.hasAnnouncedLeaving() && monotonicNow() < end &&
         liveness != EndpointLiveness::Exited) {
    co_await waitForClose(Context, EndpointAddress, end - monotonicNow());
    liveness = co_await checkLiveness(Context, EndpointAddress);
  }
  IsAwaitingExit = false;
  LOG(INFO) << LogEvent("endpoint.left")
                   .with("endpoint", Settings.EndpointName)
                   .with("fate", toString(liveness));
  if (Node.hasAnnouncedLeaving())
    apply(Node.onEndpointExited(monotonicNow()));
}

/// Returns Ok if the endpoint has not exited since the run \p id began, so that
/// the end of the connection was the end of its response; otherwise
/// EndpointFailed.
asio::awaitable<ResultCode> AgentTraffic::classifyEnd(RequestId id) {
  auto it = Runs.find(id);
  if (it == Runs.end())
    co_return ResultCode::Ok;
  bool isWhole = co_await Watch.outlasts(it->second.Watch);
  Measures.count(isWhole ? "response_end_checks_total{fate=\"alive\"}"
                         : "response_end_checks_total{fate=\"unknown\"}");
  LOG(INFO) << LogEvent("response.end_checked")
                   .with("endpoint", Settings.EndpointName)
                   .with("request", toHeader(id))
                   .with("fate", isWhole ? "alive" : "unknown");
  co_return isWhole ? ResultCode::Ok : ResultCode::EndpointFailed;
}

/// Lets the new watch stand for the lost one in all runs whose connection is
/// open now, after the new watch was accepted: they are at the same process.
void AgentTraffic::onWatchReplaced(WatchNumber lost, WatchNumber current) {
  for (auto &[id, run] : Runs)
    if (run.Watch == lost && run.Handle->isOpen())
      run.Watch = current;
}

/// Checks whether the endpoint has exited or only closed the connection of the
/// request \p id.
asio::awaitable<ResultCode> AgentTraffic::classifyFailure(RequestId id) {
  EndpointLiveness liveness = co_await checkLiveness(Context, EndpointAddress);
  const char *word = toString(liveness);
  Measures.count("endpoint_checks_total{fate=\"" + std::string(word) + "\"}");
  LOG(INFO) << LogEvent("endpoint.checked")
                   .with("endpoint", Settings.EndpointName)
                   .with("request", toHeader(id))
                   .with("fate", word);
  co_return liveness == EndpointLiveness::Exited ? ResultCode::EndpointFailed
                                                 : ResultCode::AnswerBroken;
}
