//===- Service.cpp - fake of a plain service ------------------------------===//
//
// Counts runs by the id in the request's body and returns the count.
//
//===----------------------------------------------------------------------===//

#include "FakePushback.h"
#include "Standins.h"

#include <fstream>
#include <map>
#include <unistd.h>

using namespace standin;
using namespace ospreyspur;

/// How long a service that has announced leaving continues to serve.
static constexpr std::int64_t LeaveMs = 2500;

int standin::runService(const std::string &listen, std::int64_t delayMs,
                        const std::string &history) {
  asio::io_context ioc(1);
  std::map<std::string, std::int64_t> runs;
  FakePushback pushback({"Ospreyspur-Rate-Limit", "Ospreyspur-Leaving"},
                        history);
  auto handle = [&](HttpExchange &exchange) -> asio::awaitable<void> {
    std::string target(exchange.request().target());
    json::object out;
    if (target == "/need") {
      json::object in = bodyOf(exchange);
      pushback.configure(in, monotonicNow());
      co_await reply(exchange, 200, out);
      if (integerOf(in, "leaving") > 0) {
        co_await pause(LeaveMs);
        ::_exit(0);
      }
      co_return;
    }
    if (target == "/runs") {
      for (const auto &[id, n] : runs)
        out[id] = n;
      co_await reply(exchange, 200, out);
      co_return;
    }
    HttpResponse response;
    if (pushback.onRequest(monotonicNow())) {
      response.result(503);
      pushback.addTo(response, monotonicNow());
      co_await exchange.respond(std::move(response));
      co_return;
    }
    std::string id = textOf(bodyOf(exchange), "id");
    std::int64_t n = ++runs[id];
    bool isDeadly = !history.empty() && id == DeadlyBody;
    if (!history.empty())
      std::ofstream(history, std::ios::app)
          << (isDeadly ? "deadly" : id) << '\n';
    if (delayMs > 0)
      co_await pause(delayMs);
    if (isDeadly)
      ::_exit(DeadlyExit);
    out = {{"id", id}, {"run", n}, {"path", target}};
    response.result(200);
    response.set("Content-Type", "application/json");
    pushback.addTo(response, monotonicNow());
    response.body() = json::serialize(out);
    co_await exchange.respond(std::move(response));
  };
  HttpServer server(ioc, HttpLimits(), handle);
  if (!server.listen(parseAddress(listen).value()))
    return 1;
  ioc.run();
  return 0;
}
