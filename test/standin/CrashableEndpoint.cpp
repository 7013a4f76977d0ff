//===- CrashableEndpoint.cpp - fake endpoint that crashes on a request ----===//
//
// Keeps its record in the platform's endpoint list, streams responses, and
// exits when it runs the deadly body. On SIGTERM it announces that it is
// leaving, serves requests for LeaveMs and exits.
//
//===----------------------------------------------------------------------===//

#include "FakePushback.h"
#include "Standins.h"

#include "ospreyspur/Platform/PlatformClient.h"
#include "ospreyspur/Support/Metrics.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <unistd.h>

#include <cstdlib>
#include <fstream>

using namespace standin;
using namespace ospreyspur;

static constexpr std::int64_t WorkMs = 40;
static constexpr std::int64_t EventMs = 25;
static constexpr int Events = 6;
static constexpr std::int64_t LeaveMs = 2500;
static constexpr std::int64_t RenewMs = 500;
static constexpr Duration RecordLease = std::chrono::milliseconds(1800);
static constexpr Duration CallTimeout = std::chrono::milliseconds(400);

namespace {
class CrashableEndpoint {
public:
  CrashableEndpoint(asio::io_context &ioc, const CrashableEndpointPlan &plan)
      : Context(ioc), Plan(plan),
        Platform(ioc, parseAddress(plan.Platform).value(), Measures),
        Id("i-" + plan.Name + "-" + std::to_string(::getpid())),
        PushbackState({"Server-Limit", "Server-Leaving"}, plan.History),
        Signals(ioc, SIGTERM) {
    Signals.async_wait([this](boost::system::error_code ec, int) {
      if (!ec)
        asio::co_spawn(Context, leave(), asio::detached);
    });
    asio::co_spawn(Context, maintainRecord(), asio::detached);
  }

  asio::awaitable<void> handle(HttpExchange &exchange) {
    if (exchange.request().target() == "/need") {
      json::object in = bodyOf(exchange);
      PushbackState.configure(in, monotonicNow());
      if (integerOf(in, "leaving") > 0)
        asio::co_spawn(Context, exitLater(), asio::detached);
      co_await reply(exchange, 200, json::object());
      co_return;
    }
    std::string label = exchange.header("Request-Id");
    bool isDeadly =
        exchange.request().body().find(DeadlyBody) != std::string::npos;
    if (exchange.header("Expect-Replica") != Id) {
      co_await exchange.respond(421, "text/plain", "");
      co_return;
    }
    if (PushbackState.onRequest(monotonicNow())) {
      HttpResponse refusal;
      refusal.result(503);
      refusal.set("Not-Executed", "1");
      refusal.set("Request-Id", label);
      PushbackState.addTo(refusal, monotonicNow());
      co_await exchange.respond(std::move(refusal));
      co_return;
    }
    recordRun(isDeadly ? "deadly" : label);
    co_await pause(WorkMs);
    if (isDeadly)
      ::_exit(DeadlyExit);
    HttpResponse head;
    head.set("Content-Type", "text/event-stream");
    head.set("Request-Id", label);
    head.set("Replica-Stamp", Id);
    PushbackState.addTo(head, monotonicNow());
    std::string last = exchange.header("Last-Event-Id");
    int first = last.empty() ? 1 : std::stoi(last) + 1;
    bool isOpen = co_await exchange.beginStream(head);
    for (int i = first; isOpen && i <= Events; ++i) {
      co_await pause(EventMs);
      isOpen = co_await exchange.writeStream("id: " + std::to_string(i) +
                                             "\ndata: " + label + "\n\n");
    }
    if (isOpen)
      co_await exchange.endStream();
  }

private:
  void recordRun(const std::string &line) const {
    std::ofstream(Plan.History, std::ios::app) << Id << ' ' << line << '\n';
  }

  std::string recordJson() const {
    return json::serialize(json::object{{"service", "s"},
                                        {"address", Plan.Listen},
                                        {"zone", "a"},
                                        {"version", "v1"},
                                        {"slots", 8},
                                        {"state", State},
                                        {"cold_left_ms", 0},
                                        {"seq", 1}});
  }

  asio::awaitable<void> maintainRecord() {
    std::string key = "servers/" + Id;
    for (;;) {
      KvReply reply;
      if (At.get() > 0 && State == WrittenState) {
        KvCall renew = KvRenew{key, At};
        reply = co_await Platform.ask(std::move(renew), CallTimeout);
        if (reply.Code == ResultCode::NotFound)
          At = Revision(0);
      } else {
        std::string state = State;
        KvCall put = KvPut{key, recordJson(), At, RecordLease};
        reply = co_await Platform.ask(std::move(put), CallTimeout);
        if (reply.Code == ResultCode::Ok) {
          At = reply.At;
          WrittenState = state;
        } else if (reply.Code == ResultCode::PlatformConflict) {
          At = reply.At;
        }
      }
      co_await pause(RenewMs);
    }
  }

  /// Exits without updating the endpoint's record.
  static asio::awaitable<void> exitLater() {
    co_await pause(LeaveMs);
    ::_exit(0);
  }

  asio::awaitable<void> leave() {
    State = "draining";
    while (WrittenState != State)
      co_await pause(RenewMs);
    co_await pause(LeaveMs);
    ::_exit(0);
  }

  asio::io_context &Context;
  const CrashableEndpointPlan &Plan;
  Metrics Measures;
  PlatformClient Platform;
  std::string Id;
  FakePushback PushbackState;
  asio::signal_set Signals;
  std::string State = "ready";
  std::string WrittenState;
  Revision At;
};
} // namespace

int standin::runCrashableEndpoint(const CrashableEndpointPlan &plan) {
  asio::io_context ioc(1);
  CrashableEndpoint endpoint(ioc, plan);
  HttpServer server(ioc, HttpLimits(),
                    [&](HttpExchange &it) { return endpoint.handle(it); });
  if (!server.listen(parseAddress(plan.Listen).value()))
    return 1;
  ioc.run();
  return 0;
}
