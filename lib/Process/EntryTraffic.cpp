//===- EntryTraffic.cpp - the entry's traffic thread ----------------------===//
//
// Passes requests and received messages to the EntryNode, and performs the
// node's actions.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/EntryTraffic.h"

#include "ospreyspur/Http/CallerApi.h"
#include "ospreyspur/Process/CrashLog.h"
#include "ospreyspur/Process/ListenerLimits.h"
#include "ospreyspur/Support/LogEvent.h"

#include <boost/asio/post.hpp>
#include <glog/logging.h>

#include <utility>

using namespace ospreyspur;
namespace asio = boost::asio;

static constexpr Duration ClaimCallTimeout = std::chrono::milliseconds(400);
/// Retry-After sent by an entry that is stopping: short, as another entry takes
/// the next attempt.
static constexpr Duration StoppingRetryAfter = std::chrono::milliseconds(20);
/// A body is in the request, in the node and in messages to an agent.
static constexpr std::size_t BodyCopies = 3;
static constexpr std::string_view EventStream = "text/event-stream";

EntryTraffic::EntryTraffic(asio::io_context &ioc, const EntrySettings &settings,
                           TcpAddress platform, Metrics &metrics,
                           std::uint64_t seed)
    : Context(ioc), Settings(settings), Measures(metrics),
      Node(DataCentreId(settings.Common.DataCentre), settings.Limits, seed,
           settings.DigestKey),
      Server(
          ioc,
          makeCallerLimits(findClientLimits(settings.Common.Machine,
                                            CallerAccess::Listener)),
          [this](HttpExchange &exchange) { return handle(exchange); },
          makeCallerContext(
              findClientLimits(settings.Common.Machine, CallerAccess::Listener),
              BodyCopies, metrics)),
      Platform(ioc, std::move(platform), metrics),
      Quarantine(ioc, Platform, seed,
                 [this](const std::vector<RequestDigest> &restored) {
                   apply(Node.restoreQuarantine(restored, monotonicNow()));
                 }),
      Timer(ioc, [this] { apply(Node.onTimer(monotonicNow())); }),
      Snapshot(std::make_shared<RoutingSnapshot>()),
      Peers(ioc, {[this](const EndpointId &from, const Message &message) {
                    apply(Node.onMessage(from, message, monotonicNow()));
                  },
                  [this](const EndpointId &to) {
                    apply(Node.onLinkDown(to, monotonicNow()));
                  }}) {}

Result<void> EntryTraffic::start() {
  Result<TcpAddress> address = parseAddress(Settings.Listen);
  if (!address)
    return address.error();
  Quarantine.start();
  return Server.bind(address.value());
}

void EntryTraffic::setSnapshot(std::shared_ptr<const RoutingSnapshot> next) {
  Snapshot = std::move(next);
  std::map<EndpointId, std::string> addresses;
  for (const auto &[name, service] : Snapshot->Services)
    for (const EndpointView &it : service.Endpoints)
      addresses.emplace(it.Id, it.Address);
  Peers.setAddresses(std::move(addresses));
  Node.setSnapshot(Snapshot);
  apply(Node.onTimer(monotonicNow()));
  // Before the first snapshot every caller's key would be unknown.
  if (std::exchange(IsAccepting, true))
    return;
  if (Result<void> accepting = Server.beginAccepting(); !accepting)
    LOG(FATAL) << LogEvent("entry.cannot_listen")
                      .with("detail", accepting.error().Detail);
}

void EntryTraffic::announceStop(TimePoint respondBy) {
  Server.closeAfterResponses();
  apply(Node.limitDeadlines(respondBy));
}

void EntryTraffic::stopAccepting() {
  IsDraining = true;
  Server.stopAccepting();
}

Result<CallerRequest>
EntryTraffic::readRequest(const HttpRequest &request) const {
  if (IsDraining)
    return Error{ResultCode::ProcessStopping, ""};
  return parseCallerRequest(request, *Snapshot, Settings.DefaultDeadline);
}

asio::awaitable<void> EntryTraffic::handle(HttpExchange &exchange) {
  TimePoint began = monotonicNow();
  Result<CallerRequest> request = readRequest(exchange.request());
  if (!request) {
    ResultCode code = request.error().Code;
    finishCall(CallId(0), code, began);
    co_await exchange.respond(makeErrorResponse(
        code, IsDraining ? StoppingRetryAfter : Duration::zero()));
    co_return;
  }
  CallId id(++LastCall);
  request.value().Id = id;
  Inbox inbox(Context);
  Inboxes[id] = &inbox;
  apply(Node.onCall(std::move(request.value()), began));
  co_await writeResponse(exchange, inbox, id);
  Inboxes.erase(id);
}

asio::awaitable<void> EntryTraffic::writeResponse(HttpExchange &exchange,
                                                  Inbox &inbox, CallId id) {
  TimePoint began = monotonicNow();
  bool isEvents = false;
  for (;;) {
    EntryAction action = co_await inbox.next();
    bool isSent = true;
    if (auto *head = std::get_if<ResponseHead>(&action)) {
      isEvents = head->ContentType.starts_with(EventStream);
      isSent = co_await exchange.beginStream(head->Status, head->ContentType);
      Measures.observe("first_byte", monotonicNow() - began);
    } else if (auto *data = std::get_if<ResponseData>(&action)) {
      isSent = co_await exchange.writeStream(std::move(data->Data));
    } else if (std::holds_alternative<ResponseEnd>(action)) {
      finishCall(id, ResultCode::Ok, began);
      co_await exchange.endStream();
      co_return;
    } else if (auto *ticket = std::get_if<ReturnTicket>(&action)) {
      finishCall(id, ResultCode::Ok, began);
      co_await exchange.respond(makeTicketResponse(ticket->Permit));
      co_return;
    } else if (auto *error = std::get_if<ResponseError>(&action)) {
      finishCall(id, error->Code, began);
      if (!exchange.hasBegun()) {
        co_await exchange.respond(
            makeErrorResponse(error->Code, error->RetryAfter));
        co_return;
      }
      // Report the error as an event if the response is an event stream, then
      // close the connection without ending the response.
      if (isEvents)
        co_await exchange.writeStream(
            "event: error\ndata: " + formatErrorBody(error->Code) + "\n\n");
      exchange.abort();
      co_return;
    }
    if (!isSent) {
      finishCall(id, ResultCode::Cancelled, began);
      apply(Node.onCallerGone(id, monotonicNow()));
      co_return;
    }
  }
}

void EntryTraffic::apply(EntryActions actions) {
  for (EntryAction &action : actions)
    std::visit([this](auto &it) { perform(std::move(it)); }, action);
  reportCrashes();
  Timer.set(Node.nextTimer());
}

/// Logs the crashes that are attributed to requests, and writes changes of the
/// node's quarantine to the store.
void EntryTraffic::reportCrashes() {
  std::vector<CrashLogRecord> records = Node.takeCrashLogRecords();
  if (!records.empty())
    logCrashes(records, Node.crashes(), Measures);
  std::uint64_t change = Node.crashes().changes();
  if (std::exchange(LastReportedChange, change) != change)
    Quarantine.setLocalQuarantine(Node.crashes().quarantined(),
                                  Node.crashes().cleared());
}

void EntryTraffic::perform(const SendToAgent &action) {
  if (Peers.send(action.To, action.Body, monotonicNow()))
    return;
  asio::post(Context, [this, to = action.To] {
    apply(Node.onLinkDown(to, monotonicNow()));
  });
}

void EntryTraffic::perform(CallKeyValueStore action) {
  KvCallId id = action.Request.Id;
  auto onReply = [this, id](const KvReply &reply) {
    apply(Node.onKvReply(id, reply, monotonicNow()));
  };
  Platform.call(std::move(action.Request.Call), ClaimCallTimeout, onReply);
}

template <typename ResponsePart>
void EntryTraffic::perform(ResponsePart action) {
  auto it = Inboxes.find(action.Call);
  if (it != Inboxes.end())
    it->second->post(std::move(action));
}

void EntryTraffic::finishCall(CallId id, ResultCode code, TimePoint began) {
  const ResultInfo &info = describe(code);
  Measures.count("requests_total{outcome=\"" +
                 std::string(toString(info.Kind)) + "\",code=\"" +
                 std::to_string(static_cast<unsigned>(code)) + "\"}");
  if (code == ResultCode::Ok) {
    Measures.observe("request", monotonicNow() - began);
    return;
  }
  LOG(INFO) << LogEvent("request.done")
                   .with("call", id.get())
                   .with("code", static_cast<unsigned>(code))
                   .with("outcome", toString(info.Kind));
}
