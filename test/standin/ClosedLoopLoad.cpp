//===- ClosedLoopLoad.cpp - load generator with keep-alive connections ----===//
//
// Each caller sends its requests in sequence on one connection until the entry
// closes the connection, even while the entry is stopping. The caller then
// connects to another entry that is ready. Every response must be complete and
// belong to the caller's own request.
//
//===----------------------------------------------------------------------===//

#include "Standins.h"

#include "ospreyspur/Support/Address.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <iostream>
#include <map>
#include <random>

using namespace standin;
using namespace ospreyspur;
namespace beast = boost::beast;
namespace http = boost::beast::http;

static constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
static constexpr std::chrono::seconds CallTimeout(8);
static constexpr std::int64_t PauseMs = 60;
static constexpr std::int64_t RetryMs = 100;
static constexpr std::string_view ResponseEnd = "id: 6\n";
static constexpr std::string_view JsonResponseEnd = "\"path\":\"/x\"}";

namespace {
class ClosedLoopLoad {
public:
  ClosedLoopLoad(asio::io_context &ioc, const ClosedLoopPlan &plan)
      : Context(ioc), Plan(plan), Random(plan.Seed),
        End(std::chrono::steady_clock::now() +
            std::chrono::seconds(plan.Seconds)) {
    for (std::int64_t i = 0; i < plan.Callers; ++i)
      asio::co_spawn(ioc, runCaller(i), asio::detached);
  }

  /// Prints "outcome count" lines.
  void print() const {
    for (const auto &[outcome, n] : Outcomes)
      std::cout << outcome << ' ' << n << '\n';
  }

private:
  bool isOver() const { return std::chrono::steady_clock::now() >= End; }

  /// One caller in sixteen sends only requests with the deadly body.
  asio::awaitable<void> runCaller(std::int64_t caller) {
    constexpr std::int64_t DeadlyOneIn = 16;
    bool isDeadly = Plan.HasDeadly && caller % DeadlyOneIn == 0;
    while (!isOver()) {
      std::size_t entry = Random() % Plan.Entries.size();
      if (!co_await isReady(entry)) {
        co_await pause(RetryMs);
        continue;
      }
      beast::tcp_stream stream(Context);
      stream.expires_after(CallTimeout);
      auto [ec] = co_await stream.async_connect(
          parseAddress(Plan.Entries[entry]).value(), AsTuple);
      if (ec) {
        ++Outcomes["refused-connection"];
        co_await pause(RetryMs);
        continue;
      }
      beast::flat_buffer buf;
      while (!isOver() && co_await sendRequest(stream, buf, isDeadly))
        co_await pause(isDeadly ? 4 * PauseMs : PauseMs);
    }
  }

  asio::awaitable<bool> isReady(std::size_t entry) {
    beast::tcp_stream stream(Context);
    stream.expires_after(std::chrono::seconds(1));
    auto [ec] = co_await stream.async_connect(
        parseAddress(Plan.ReadinessAddresses[entry]).value(), AsTuple);
    if (ec)
      co_return false;
    http::request<http::empty_body> request(
        http::verb::get, Plan.Key.empty() ? "/ospreyspur/ready" : "/ready", 11);
    co_await http::async_write(stream, request, AsTuple);
    beast::flat_buffer buf;
    http::response<http::string_body> response;
    auto [readError, n] =
        co_await http::async_read(stream, buf, response, AsTuple);
    co_return !readError && response.result_int() == 200;
  }

  /// Sends one request and checks the response. Returns whether the connection
  /// can be reused.
  asio::awaitable<bool> sendRequest(beast::tcp_stream &stream,
                                    beast::flat_buffer &buf, bool isDeadly) {
    std::string id =
        "c" + std::to_string(Plan.Seed) + "-" + std::to_string(++LastRequest);
    auto request = makeRequest(id, isDeadly);
    stream.expires_after(CallTimeout);
    auto [writeError, sent] =
        co_await http::async_write(stream, request, AsTuple);
    if (writeError) {
      // The entry closed the connection while it was idle.
      ++Outcomes["closed-at-rest"];
      co_return false;
    }
    http::response_parser<http::string_body> parser;
    auto [ec, n] = co_await http::async_read(stream, buf, parser, AsTuple);
    std::string kind = isDeadly ? "deadly-" : "";
    if (ec) {
      // A connection that closes without any response byte may have been closed
      // before the request arrived.
      bool isCut = parser.got_some() || ec == beast::error::timeout;
      ++Outcomes[kind + (isCut ? "cut" : "closed")];
      co_return false;
    }
    const auto &answer = parser.get();
    bool isOwn =
        !Plan.Key.empty() ||
        answer["Request-Id"] == beast::string_view(id.data(), id.size());
    bool isOk = answer.result_int() == 200;
    std::string_view end = Plan.Key.empty() ? ResponseEnd : JsonResponseEnd;
    bool isComplete = answer.body().find(end) != std::string::npos &&
                      answer.body().find(id) != std::string::npos;
    if (!isOwn || (isOk && !isComplete))
      ++Outcomes["wrong"];
    else
      ++Outcomes[kind + std::to_string(answer.result_int())];
    co_return answer.keep_alive();
  }

  http::request<http::string_body> makeRequest(const std::string &id,
                                               bool isDeadly) const {
    http::request<http::string_body> request(http::verb::post, "/x", 11);
    request.set(http::field::host, "h");
    if (Plan.Key.empty()) {
      request.set("Request-Id", id);
      request.set("Deadline-Ms", "6000");
      request.body() = isDeadly ? std::string(DeadlyBody) : "innocent " + id;
    } else {
      request.target("/services/" + Plan.Service + "/x");
      request.set(http::field::authorization, "Bearer " + Plan.Key);
      request.set("Ospreyspur-Deadline-Ms", "6000");
      json::object body{{"id", isDeadly ? std::string(DeadlyBody) : id}};
      request.body() = json::serialize(body);
    }
    request.prepare_payload();
    return request;
  }

  asio::io_context &Context;
  const ClosedLoopPlan &Plan;
  std::mt19937_64 Random;
  std::chrono::steady_clock::time_point End;
  std::uint64_t LastRequest = 0;
  std::map<std::string, unsigned> Outcomes;
};
} // namespace

int standin::runClosedLoop(const ClosedLoopPlan &plan) {
  asio::io_context ioc(1);
  ClosedLoopLoad callers(ioc, plan);
  ioc.run();
  callers.print();
  return 0;
}
