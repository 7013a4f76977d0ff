//===- Verify.cpp - checks a history against endpoint records -------------===//
//
// Checks only calls to the plain service, as these must not run more than once.
// Violations are: an id that ran more than once, an id that ran although all of
// its attempts were reported as "not-run", and an id that was reported as
// "complete" but did not run.
//
//===----------------------------------------------------------------------===//

#include "Standins.h"

#include "ospreyspur/Http/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <set>

using namespace standin;
using namespace ospreyspur;
namespace http = boost::beast::http;

using RunCounts = std::map<std::string, std::int64_t>;

static asio::awaitable<void> fetchRuns(HttpClient &client, RunCounts &runs) {
  HttpRequest request(http::verb::get, "/runs", 11);
  Result<HttpResponse> response =
      co_await client.call(std::move(request), std::chrono::seconds(5));
  if (!response) {
    runs["(an endpoint did not respond)"] = 2;
    co_return;
  }
  json::value body = json::parse(response.value().body());
  for (const auto &it : body.as_object())
    runs[std::string(it.key())] += it.value().to_number<std::int64_t>();
}

int standin::verifyHistory(const std::string &historyFile,
                           const std::vector<std::string> &addresses) {
  asio::io_context ioc(1);
  RunCounts runs;
  std::vector<std::unique_ptr<HttpClient>> clients;
  for (const std::string &it : addresses) {
    clients.push_back(
        std::make_unique<HttpClient>(ioc, parseAddress(it).value()));
    asio::co_spawn(ioc, fetchRuns(*clients.back(), runs), asio::detached);
  }
  ioc.run();

  std::map<std::string, std::set<std::string>> outcomes;
  std::ifstream is(historyFile);
  for (std::string line; std::getline(is, line);) {
    json::value row = json::parse(line);
    if (row.at("kind").as_string() == "service")
      outcomes[std::string(row.at("id").as_string())].insert(
          std::string(row.at("told").as_string()));
  }
  int violations = 0;
  auto report = [&](const std::string &id, const char *what) {
    std::printf("violation: %s %s\n", id.c_str(), what);
    ++violations;
  };
  for (const auto &[id, n] : runs)
    if (n > 1)
      report(id, "ran more than once");
  for (const auto &[id, words] : outcomes) {
    bool hasRun = runs.contains(id);
    if (hasRun && words == std::set<std::string>{"not-run"})
      report(id, "was reported as not-run but ran");
    if (!hasRun && words.contains("complete"))
      report(id, "was reported as complete but did not run");
  }
  std::printf(
      "verified %zu ids that must run at most once, %zu ran, %d violations\n",
      outcomes.size(), runs.size(), violations);
  return violations;
}
