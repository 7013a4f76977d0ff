//===- DirectTraffic.cpp - traffic thread of the direct path --------------===//
//
// See DirectTraffic.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/DirectTraffic.h"

#include "ospreyspur/Process/DirectAttempt.h"
#include "ospreyspur/Process/DirectLog.h"
#include "ospreyspur/Process/ListenerLimits.h"
#include "ospreyspur/Process/RankLink.h"
#include "ospreyspur/Support/ByteBudget.h"
#include "ospreyspur/Support/LogEvent.h"
#include "platform/RequestWire.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <set>

using namespace ospreyspur;
namespace asio = boost::asio;

static constexpr Duration PoolSweepInterval = std::chrono::milliseconds(500);
/// Retry-After sent by an entry that is stopping: short, as another entry takes
/// the next attempt.
static constexpr Duration StoppingRetryAfter = std::chrono::milliseconds(20);
/// How long callers of a starting entry wait until the entry has read the
/// configuration and the endpoints, which takes some 30 ms if the store
/// responds.
static constexpr Duration MaxStartWait = std::chrono::milliseconds(400);
/// Retry-After sent by an entry that could not read the configuration and the
/// endpoints. The store is then unavailable, and callers should not use up
/// their few attempts; they wait for up to a third of the time to their
/// deadline.
static constexpr Duration UnconfiguredRetryAfter = std::chrono::seconds(2);

static DirectLimits makeLimits(const DirectSettings &settings) {
  DirectLimits limits;
  limits.Retries = settings.Retries;
  return limits;
}

/// The server waits a quarter longer than the configured timeouts, so that no
/// caller reuses a connection just as the server closes it.
static HttpLimits makeHttpLimits(const CallerLimits &limits,
                                 const ClientLimits &bounds,
                                 Duration writeTimeout) {
  HttpLimits out = makeCallerLimits(bounds);
  out.WriteTimeout = writeTimeout;
  out.MaxHeaderBytes = limits.MaxHeaderBytes;
  out.MaxBodyBytes = limits.MaxBodyBytes;
  out.HeaderTimeout = limits.HeaderTimeout + limits.HeaderTimeout / 4;
  out.ReadTimeout = limits.IdleTimeout + limits.IdleTimeout / 4;
  return out;
}

static ListenerContext makeContext(const ClientLimits &bounds,
                                   Metrics &metrics) {
  ListenerContext out = makeCallerContext(bounds, 1, metrics);
  out.IdHeader = platform::RequestIdHeader;
  return out;
}

DirectTraffic::DirectTraffic(asio::io_context &ioc,
                             const DirectSettings &settings, Metrics &metrics,
                             std::uint64_t seed, OnQuarantine onQuarantine)
    : Context(ioc), Settings(settings), Measures(metrics),
      Bounds(findClientLimits(settings.Machine, CallerAccess::Listener)),
      ResponseBytes(std::make_shared<ByteBudget>(Bounds.ResponseBytes)),
      ReportQuarantine(std::move(onQuarantine)),
      Node(DataCentreId(settings.DataCentre), makeLimits(settings), seed,
           settings.Name),
      Timer(ioc, [this] { apply(Node.onTimer(monotonicNow())); }), Pool(ioc),
      PoolTimer(ioc), StartTimer(ioc), StopTimer(ioc),
      Server(
          ioc, makeHttpLimits(CallerLimits(), Bounds, settings.WriteTimeout),
          [this](HttpExchange &it) { return handle(it); },
          makeContext(Bounds, metrics)),
      Loads(ioc, {[this] {
                    TimePoint now = monotonicNow();
                    logSharing();
                    return LoadReport{Settings.Name,
                                      Node.endpointTable().ownLoads(now),
                                      Node.takeCrashReport(now),
                                      Node.takeReplacedReport(),
                                      Node.takeRateReport(now),
                                      Node.takeLeavingReport(),
                                      Node.isNew(now),
                                      Node.isIdle(now)};
                  },
                  [this](const LoadReport &it) { takeReport(it); }}) {}

Result<void> DirectTraffic::start() {
  closeUnused();
  Result<void> exchanging = Loads.start(Settings.loadListen());
  if (!exchanging)
    return exchanging;
  Result<TcpAddress> address = parseAddress(Settings.Listen);
  if (!address)
    return address.error();
  StartTimer.expires_after(MaxStartWait);
  StartTimer.async_wait([this](boost::system::error_code ec) {
    if (!ec)
      beginAccepting();
  });
  Result<void> bound = Server.bind(address.value());
  return bound ? Server.beginQueueing() : bound;
}

void DirectTraffic::beginAccepting() {
  if (IsDraining || std::exchange(IsAccepting, true))
    return;
  StartTimer.cancel();
  Result<void> accepting = Server.beginAccepting();
  LOG_IF(FATAL, !accepting) << LogEvent("direct.cannot_listen")
                                   .with("detail", accepting.error().Detail);
}

void DirectTraffic::setSnapshot(
    const std::shared_ptr<const DirectSnapshot> &snapshot) {
  Config = snapshot->Config;
  Server.setLimits(
      makeHttpLimits(Config->Limits, Bounds, Settings.WriteTimeout));
  Node.setEndpoints(snapshot->Endpoints);
  Node.setColdEndpoints(snapshot->Endpoints, *Config, monotonicNow());
  logColdEndpoints();
  apply(Node.restoreQuarantine(snapshot->Restored, monotonicNow()));
  std::vector<std::string> sharing;
  std::vector<std::string> outside;
  std::set<std::string> entries;
  for (const NodeRecord &it : snapshot->Nodes) {
    if (it.LoadAddress.empty())
      continue;
    bool isSharing = !snapshot->Sharing || snapshot->Sharing->contains(it.Name);
    (isSharing ? sharing : outside).push_back(it.LoadAddress);
    entries.insert(it.Name);
  }
  Loads.setPeers(sharing, outside);
  Node.setSharing(snapshot->Sharing);
  if (snapshot->HasNodeList)
    Node.setListedEntries(std::move(entries), monotonicNow());
  apply(Node.onTimer(monotonicNow()));
  beginAccepting();
}

void DirectTraffic::announceStop(TimePoint respondBy) {
  Server.closeAfterResponses();
  apply(Node.limitDeadlines(respondBy));
  StopTimer.expires_at(respondBy);
  StopTimer.async_wait([this](boost::system::error_code ec) {
    if (!ec)
      stopAttempts();
  });
}

/// Closes the connections of attempts that began before the deadlines were
/// limited. Their requests then end, as their deadlines have passed.
void DirectTraffic::stopAttempts() {
  for (const auto &[id, call] : Calls)
    if (call->Connection)
      call->Connection->Stream.close();
}

void DirectTraffic::stopAccepting() {
  IsDraining = true;
  Server.stopAccepting();
}

Result<DirectRequest> DirectTraffic::readRequest(const HttpRequest &request) {
  platform::CallerHeaders headers = platform::readCaller(request);
  DirectRequest out;
  out.Label = headers.Label;
  out.Config = Config;
  if (IsDraining)
    return Error{ResultCode::ProcessStopping, ""};
  if (!Config)
    return Error{ResultCode::ConfigUnknown, ""};
  std::string target(request.target());
  out.Route =
      Config->findRoute(headers.Host, target.substr(0, target.find('?')));
  if (!out.Route)
    return Error{ResultCode::NotFound, ""};
  if (!platform::isUnambiguous(request))
    return Error{ResultCode::BadRequest, ""};
  out.Priority = out.Route->Priority;
  auto workspace = Config->Keys.find(headers.Key);
  bool isKnown = workspace != Config->Keys.end();
  if (!isKnown && Config->HasWorkspaces && !out.Route->IsPublic)
    return Error{ResultCode::Unauthorized, ""};
  if (isKnown) {
    out.Workspace = workspace->second.Name;
    out.Priority = workspace->second.Priority.value_or(out.Priority);
  }
  out.TimeLeft = headers.TimeLeft;
  out.Tokens = headers.Tokens;
  out.Digest = digestRequest(
      Settings.DigestKey, {std::string(request.method_string()), headers.Host,
                           target, out.Workspace.get(), request.body()});
  for (const std::string &it : headers.PromptParts)
    out.Parts.push_back(digestPromptPart(Settings.DigestKey, it));
  out.Id = CallId(++LastCall);
  return out;
}

/// The Retry-After for a caller refused with \p code; zero for none.
static Duration retryAfter(ResultCode code) {
  if (describe(code).Kind != Outcome::NotRun)
    return Duration::zero();
  return code == ResultCode::ConfigUnknown ? UnconfiguredRetryAfter
                                           : StoppingRetryAfter;
}

asio::awaitable<void> DirectTraffic::handle(HttpExchange &exchange) {
  TimePoint now = monotonicNow();
  Result<DirectRequest> request = readRequest(exchange.request());
  if (!request) {
    ResultCode code = request.error().Code;
    std::string label = platform::readCaller(exchange.request()).Label;
    LOG(INFO) << LogEvent("request.rejected")
                     .with("id", label)
                     .with("code", static_cast<unsigned>(code))
                     .with("version", Config ? Config->Version : 0);
    Duration after = retryAfter(code);
    co_await exchange.respond(platform::makeRefusal(code, after, label));
    co_return;
  }
  DirectCall call(Context, request.value(), now);
  CallId id = call.Request.Id;
  Calls[id] = &call;
  exchange.watchDisconnect([this, id] { onCallerGone(id); });
  apply(Node.onCall(request.value(), now));
  co_await serve(exchange, call);
  Calls.erase(id);
}

asio::awaitable<void> DirectTraffic::serve(HttpExchange &exchange,
                                           DirectCall &call) {
  for (;;) {
    DirectEvent event = co_await call.Inbox.next();
    if (call.IsCallerGone) {
      if (exchange.hasTimedOut())
        logUnread(call);
      apply(Node.onCallClosed(call.Request.Id, monotonicNow()));
      finish(call, ResultCode::Cancelled);
      exchange.abort();
      co_return;
    }
    if (auto *order = std::get_if<StartAttempt>(&event)) {
      co_await attempt(exchange, call, *order);
      if (call.IsResponseSent) {
        finish(call, ResultCode::Ok);
        co_return;
      }
      continue;
    }
    if (const auto *end = std::get_if<EndCall>(&event)) {
      co_await refuse(exchange, call, *end);
      co_return;
    }
    finish(call, ResultCode::EndpointFailed);
    if (exchange.hasBegun() || !call.FailedResponse)
      exchange.abort();
    else
      co_await exchange.respond(std::move(*call.FailedResponse));
    apply(Node.onCallClosed(call.Request.Id, monotonicNow()));
    co_return;
  }
}

asio::awaitable<void> DirectTraffic::refuse(HttpExchange &exchange,
                                            DirectCall &call, EndCall end) {
  call.QuarantinedPart = end.Part;
  finish(call, end.Code);
  if (exchange.hasBegun()) {
    exchange.abort();
    co_return;
  }
  co_await exchange.respond(
      platform::makeRefusal(end.Code, end.RetryAfter, call.Request.Label));
}

asio::awaitable<void> DirectTraffic::attempt(HttpExchange &exchange,
                                             DirectCall &call,
                                             StartAttempt order) {
  CallId id = call.Request.Id;
  call.Endpoints +=
      (call.Endpoints.empty() ? "" : ",") + order.Endpoint.Id.get();
  auto onData = [this, &call, id, isFirst = true]() mutable {
    TimePoint now = monotonicNow();
    if (!call.FirstByte)
      call.FirstByte = now;
    if (std::exchange(isFirst, false)) {
      apply(Node.onFirstByte(id, now));
      return;
    }
    // apply() schedules a load report, so it is skipped without actions: most
    // events change nothing that other entries need to know.
    DirectActions actions = Node.onEvents(id, now);
    if (!actions.empty())
      apply(std::move(actions));
  };
  auto onIdle = [this, id] { apply(Node.onSilent(id, monotonicNow())); };
  auto maySend = [this, id] { return Node.maySend(id, monotonicNow()); };
  auto onHead = [this, &order](const Pushback &pushback,
                               std::optional<TimePoint> sentAt) {
    takePushback(order.Endpoint.Id, pushback, sentAt);
  };
  auto outlivesResponse = [this, &call, &order] {
    return this->outlivesResponse(call, order);
  };
  TimePoint began = monotonicNow();
  DirectAttempt running(Pool, exchange, call, order, ResponseBytes,
                        {maySend, onHead, onData, onIdle, outlivesResponse});
  AttemptEnd end = co_await running.run();
  Measures.count("attempts_total{end=\"" + std::string(wordOf(end)) + "\"}");
  Measures.set("requests_waiting", double(Node.waitingCount()));
  if (call.IsCallerGone)
    co_return;
  if (end == AttemptEnd::Full || end == AttemptEnd::OtherIncarnation ||
      end == AttemptEnd::Withheld)
    LOG(INFO) << LogEvent("attempt.refused")
                     .with("id", call.Request.Label)
                     .with("endpoint", order.Endpoint.Id.get())
                     .with("end", wordOf(end))
                     .with("asked_rest_ms",
                           call.LastPushback.Backoff
                               ? toMillis(*call.LastPushback.Backoff)
                               : -1)
                     .with("number", order.Number);
  if (!running.syntaxError().empty())
    logBrokenResponse(call, order, running.syntaxError());
  if (running.connectionEnd() == ConnectionEnd::Endpoint)
    logEarlyClose(call, order, end, monotonicNow() - began);
  call.IsResponseSent = end == AttemptEnd::Complete;
  if (end == AttemptEnd::Lost || end == AttemptEnd::BrokeOff)
    call.HasLostAttempt = true;
  apply(Node.onAttemptEnded(id, end, monotonicNow(), running.connectionEnd()));
}

void DirectTraffic::apply(DirectActions actions) {
  Loads.onChange();
  for (DirectAction &action : actions)
    std::visit([this](auto &it) { perform(it); }, action);
  logWaits();
  logSlowRanks();
  logCrashes();
  logPushback();
  Timer.set(Node.nextTimer());
}

void DirectTraffic::perform(QueryEndpoint &action) {
  asio::co_spawn(Context, queryStatus(action.Endpoint), asio::detached);
}

/// Closes the attempt's connection. The attempt then ends as BrokeOff or Lost,
/// and the request migrates to another endpoint.
void DirectTraffic::perform(StopAttempt &action) {
  auto it = Calls.find(action.Call);
  if (it == Calls.end() || !it->second->Connection)
    return;
  Measures.count("streams_moved_total");
  LOG(INFO) << LogEvent("request.moved")
                   .with("id", it->second->Request.Label)
                   .with("endpoints", it->second->Endpoints)
                   .with("reason", wordOf(action.Reason))
                   .with("gap_ms", toMillis(action.Gap))
                   .with("left_ms", toMillis(action.TimeLeft));
  it->second->Connection->Stream.close();
}

asio::awaitable<void> DirectTraffic::queryStatus(EndpointRecord endpoint) {
  RankLink link(Context, endpoint.Address);
  Result<RankStatus> status = co_await link.readReport();
  std::optional<EndpointStatus> endpointStatus;
  // A later incarnation's report does not apply to the one that was queried,
  // which has exited.
  bool isLater =
      status &&
      status.value().Incarnation.get() != endpoint.Incarnation.get() &&
      endpoint.Incarnation.get() != 0;
  if (status && !isLater) {
    bool isOpen = status.value().Group.get().empty() || status.value().IsOpen;
    endpointStatus =
        EndpointStatus{status.value().Group, isOpen, status.value().Running,
                       status.value().Slowdown};
  }
  Measures.count("endpoint_questions_total");
  bool takesRequests = endpointStatus && endpointStatus->IsOpen;
  LOG(INFO)
      << LogEvent("endpoint.told")
             .with("endpoint", endpoint.Id.get())
             .with("group", endpointStatus ? endpointStatus->Group.get() : "")
             .with("open", takesRequests)
             .with("running", endpointStatus ? endpointStatus->Running : 0)
             .with("pace", endpointStatus ? endpointStatus->Slowdown : 0.0)
             .with("detail", status ? "" : status.error().Detail);
  apply(Node.onStatusReport(endpoint.Id, endpointStatus, monotonicNow()));
}

/// Closes the connection to the endpoint, so that the endpoint can cancel the
/// request.
void DirectTraffic::onCallerGone(CallId id) {
  auto it = Calls.find(id);
  if (it == Calls.end())
    return;
  DirectCall &call = *it->second;
  call.IsCallerGone = true;
  if (call.Connection)
    call.Connection->Stream.close();
  call.Inbox.post(CallerGone{id});
}

void DirectTraffic::closeUnused() {
  Pool.closeUnused(monotonicNow());
  PoolTimer.expires_after(PoolSweepInterval);
  PoolTimer.async_wait([this](boost::system::error_code ec) {
    if (!ec)
      closeUnused();
  });
}
