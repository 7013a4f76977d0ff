//===- Load.cpp - open-loop load generator --------------------------------===//
//
// Requests are sent on a schedule drawn from a seed, regardless of the outcome
// of earlier requests. Four in five go to the model, the others to the plain
// service, half of these with an idempotency key.
//
//===----------------------------------------------------------------------===//

#include "Standins.h"

#include "ospreyspur/Http/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <list>
#include <map>
#include <random>

using namespace standin;
using namespace ospreyspur;
namespace http = boost::beast::http;

static constexpr Duration IdleTimeout = std::chrono::seconds(30);
static constexpr std::size_t MaxAttempts = 4;
static constexpr std::int64_t RetryMs = 700;

namespace {
struct CallRecord {
  std::string Id;
  std::string Kind;
  std::string Outcome = "cut";
  unsigned Status = 0;
  double FirstMs = 0;
  double TotalMs = 0;
};
} // namespace

static double millisSince(TimePoint began) {
  return std::chrono::duration<double, std::milli>(monotonicNow() - began)
      .count();
}

static HttpRequest makeRequest(const LoadPlan &plan, const std::string &id,
                               std::uint64_t choice, CallRecord &record) {
  bool isModel = plan.Service.empty() || choice % 5 != 0;
  record.Kind = isModel ? "model" : "service";
  HttpRequest request(http::verb::post,
                      isModel ? "/v1/completions"
                              : "/services/" + plan.Service + "/orders",
                      11);
  request.set(http::field::host, "ospreyspur");
  request.set(http::field::authorization, "Bearer " + plan.Key);
  request.set(http::field::content_type, "application/json");
  if (!isModel && choice % 10 == 0)
    request.set("Idempotency-Key", id);
  request.body() = json::serialize(
      json::object{{"id", id},
                   {"model", plan.Model},
                   {"prompt", "topic " + std::to_string(choice % 7)},
                   {"stream", true},
                   {"max_tokens", plan.Tokens}});
  return request;
}

static asio::awaitable<void> sendOne(HttpClient &client, HttpRequest request,
                                     CallRecord &record) {
  TimePoint began = monotonicNow();
  HttpSink sink;
  std::string body;
  sink.OnHead = [&](const HttpResponseHead &head) {
    record.Status = head.Status;
  };
  sink.OnData = [&](std::string_view data) {
    if (record.FirstMs == 0)
      record.FirstMs = millisSince(began);
    body.append(data);
  };
  RunTimeouts timeouts{IdleTimeout, std::chrono::hours(1)};
  ResultCode code = co_await client.run(
      std::move(request), sink, std::make_shared<HttpRunHandle>(), timeouts);
  record.TotalMs = millisSince(began);
  if (code == ResultCode::EndpointUnreachable)
    record.Outcome = "unreachable";
  if (code != ResultCode::Ok)
    co_return;
  record.Outcome = record.Status == 200 ? "complete" : "failed";
  for (const char *word : {"not-run", "unknown", "rejected"})
    if (record.Status != 200 &&
        body.find("\"" + std::string(word) + "\"") != std::string::npos)
      record.Outcome = word;
}

/// A request with an idempotency key is retried at the next entry until the
/// response is complete, at most MaxAttempts attempts in all. Each attempt has
/// its own record.
static asio::awaitable<void> sendWithRetries(std::vector<HttpClient> &clients,
                                             std::size_t first,
                                             HttpRequest request,
                                             CallRecord &record,
                                             std::list<CallRecord> &records) {
  bool hasKey = request.count("Idempotency-Key") > 0;
  CallRecord *current = &record;
  for (std::size_t i = 0; i < MaxAttempts; ++i) {
    co_await sendOne(clients[(first + i) % clients.size()], request, *current);
    if (!hasKey || current->Outcome == "complete" || i + 1 == MaxAttempts)
      co_return;
    co_await pause(RetryMs);
    CallRecord &next = records.emplace_back();
    next.Id = record.Id;
    next.Kind = record.Kind;
    current = &next;
  }
}

namespace {
/// Selects entries as the platform's load balancer does: only ready ones.
class Balancer {
public:
  explicit Balancer(std::size_t entries) : IsReady(entries, true) {}

  /// Polls \p admin for the readiness of entry \p i until stop().
  asio::awaitable<void> watch(HttpClient &admin, std::size_t i) {
    while (!IsStopped) {
      HttpRequest request(http::verb::get, "/ready", 11);
      Result<HttpResponse> reply =
          co_await admin.call(std::move(request), ReadyTimeout);
      IsReady[i] = reply && reply.value().result_int() == 200;
      co_await pause(ReadyIntervalMs);
    }
  }

  /// The entry for request \p n.
  std::size_t pick(std::size_t n) const {
    for (std::size_t i = 0; i < IsReady.size(); ++i)
      if (IsReady[(n + i) % IsReady.size()])
        return (n + i) % IsReady.size();
    return n % IsReady.size();
  }

  void stop() { IsStopped = true; }

private:
  static constexpr Duration ReadyTimeout = std::chrono::seconds(1);
  static constexpr std::int64_t ReadyIntervalMs = 50;

  std::vector<bool> IsReady;
  bool IsStopped = false;
};
} // namespace

static asio::awaitable<void> sendAll(const LoadPlan &plan, Balancer &balancer,
                                     std::vector<HttpClient> &clients,
                                     std::list<CallRecord> &records) {
  std::mt19937_64 random(plan.Seed);
  std::exponential_distribution<double> gap(static_cast<double>(plan.Rate));
  auto executor = co_await asio::this_coro::executor;
  asio::steady_timer timer(executor);
  auto at = std::chrono::steady_clock::now();
  std::int64_t count = plan.Rate * plan.Seconds;
  for (std::int64_t i = 0; i < count; ++i) {
    at += std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double>(gap(random)));
    timer.expires_at(at);
    co_await timer.async_wait(asio::use_awaitable);
    std::uint64_t choice = random();
    CallRecord &record = records.emplace_back();
    record.Id = std::to_string(plan.Seed) + "-" + std::to_string(i);
    HttpRequest request = makeRequest(plan, record.Id, choice, record);
    std::size_t first = balancer.pick(static_cast<std::size_t>(i));
    asio::co_spawn(
        executor,
        sendWithRetries(clients, first, std::move(request), record, records),
        asio::detached);
  }
  balancer.stop();
}

static double percentile(std::vector<double> &values, double part) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  auto i = static_cast<std::size_t>(part * double(values.size() - 1));
  return values[i];
}

static int printTable(const std::list<CallRecord> &records) {
  std::map<std::string, std::vector<const CallRecord *>> rows;
  for (const CallRecord &it : records)
    rows[it.Kind + " " + it.Outcome].push_back(&it);
  std::size_t completeCount = 0;
  std::printf("%-22s %7s %10s %10s %10s %10s\n", "kind and outcome", "count",
              "first p50", "first p95", "total p50", "total p95");
  for (const auto &[name, row] : rows) {
    std::vector<double> first;
    std::vector<double> total;
    for (const CallRecord *it : row) {
      first.push_back(it->FirstMs);
      total.push_back(it->TotalMs);
      completeCount += it->Outcome == "complete";
    }
    std::printf("%-22s %7zu %7.1f ms %7.1f ms %7.1f ms %7.1f ms\n",
                name.c_str(), row.size(), percentile(first, 0.5),
                percentile(first, 0.95), percentile(total, 0.5),
                percentile(total, 0.95));
  }
  return completeCount == records.size() ? 0 : 1;
}

int standin::runLoad(const LoadPlan &plan) {
  asio::io_context ioc(1);
  std::vector<HttpClient> clients;
  for (const std::string &it : plan.Entries)
    clients.emplace_back(ioc, parseAddress(it).value());
  std::list<CallRecord> records;
  Balancer balancer(clients.size());
  std::list<HttpClient> admins;
  for (std::size_t i = 0; i < plan.AdminAddresses.size(); ++i)
    asio::co_spawn(
        ioc,
        balancer.watch(admins.emplace_back(
                           ioc, parseAddress(plan.AdminAddresses[i]).value()),
                       i),
        asio::detached);
  asio::co_spawn(ioc, sendAll(plan, balancer, clients, records),
                 asio::detached);
  ioc.run();
  if (!plan.HistoryFile.empty()) {
    std::ofstream os(plan.HistoryFile);
    for (const CallRecord &it : records)
      os << json::serialize(json::object{{"id", it.Id},
                                         {"kind", it.Kind},
                                         {"told", it.Outcome},
                                         {"status", it.Status},
                                         {"total_ms", it.TotalMs}})
         << '\n';
  }
  return printTable(records);
}
