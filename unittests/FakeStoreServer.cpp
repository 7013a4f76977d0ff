//===- FakeStoreServer.cpp - the key-value store on a socket --------------===//
//
// See FakeStoreServer.h.
//
//===----------------------------------------------------------------------===//

#include "FakeStoreServer.h"

#include "FreeAddress.h"

#include "platform/Base64.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <boost/url.hpp>
#include <doctest/doctest.h>

using namespace ospreyspur;
using namespace ospreyspur::test;
namespace asio = boost::asio;
namespace json = boost::json;

FakeStoreServer::FakeStoreServer(asio::io_context &ioc)
    : Never(ioc, asio::steady_timer::time_point::max()),
      Changed(ioc, asio::steady_timer::time_point::max()),
      Server(ioc, HttpLimits(),
             [this](HttpExchange &it) { return handle(it); }),
      Address(findFreeAddress()) {
  REQUIRE(Server.listen(Address));
}

void FakeStoreServer::write(const std::string &key, const std::string &value) {
  History.push_back({++Last, key, value});
  Changed.cancel();
}

void FakeStoreServer::remove(const std::string &key) {
  History.push_back({++Last, key, std::nullopt});
  Changed.cancel();
}

asio::awaitable<void> FakeStoreServer::handle(HttpExchange &exchange) {
  std::string target(exchange.request().target());
  boost::urls::url_view url(target);
  Params params;
  for (const auto &it : url.params())
    params[std::string(it.key)] = it.value;
  json::object body;
  if (url.path() == "/ospreyspur/kv-range") {
    body = formatPage(params);
  } else if (url.path() == "/ospreyspur/kv-watch" && !AreWatchesRefused) {
    ++Watches;
    std::uint64_t after = std::stoull(params["after"]);
    std::chrono::milliseconds wait(std::stoul(params["wait_ms"]));
    co_await awaitChange(params["prefix"], after, wait);
    body = formatEvents(params["prefix"], after);
  } else {
    co_await exchange.respond(404, "application/json", "{}");
    co_return;
  }
  if (monotonicNow() < RepliesLostUntil)
    co_await Never.async_wait(asio::as_tuple(asio::use_awaitable));
  co_await exchange.respond(200, "application/json", json::serialize(body));
}

asio::awaitable<void> FakeStoreServer::awaitChange(std::string prefix,
                                                   std::uint64_t after,
                                                   Duration wait) {
  TimePoint end = monotonicNow() + wait;
  auto hasChanged = [&] {
    return !formatEvents(prefix, after)["events"].as_array().empty();
  };
  while (!hasChanged() && monotonicNow() < end) {
    asio::steady_timer timer(Changed.get_executor(), end - monotonicNow());
    timer.async_wait([this](boost::system::error_code ec) {
      if (!ec)
        Changed.cancel();
    });
    co_await Changed.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

std::map<std::string, FakeStoreServer::Change>
FakeStoreServer::itemsAt(std::uint64_t revision) const {
  std::map<std::string, Change> out;
  for (const Change &it : History) {
    if (it.At > revision)
      break;
    if (it.Value)
      out[it.Key] = it;
    else
      out.erase(it.Key);
  }
  return out;
}

static json::object formatItem(const std::string &key, std::uint64_t at,
                               const std::string &value) {
  return {{"key", key},
          {"value", platform::encodeBase64(value)},
          {"rev", at},
          {"created", at},
          {"lease", 0}};
}

json::object FakeStoreServer::formatPage(const Params &params) {
  ++PagesRead;
  auto paramOf = [&params](const char *name) {
    auto it = params.find(name);
    return it == params.end() ? std::string() : it->second;
  };
  std::string prefix = paramOf("prefix");
  std::string after = paramOf("after");
  unsigned number = after.empty() ? 0 : PageNumbers[after];
  std::uint64_t revision = Last;
  auto stale = StalePages.find(number);
  if (paramOf("serializable") == "1" && stale != StalePages.end())
    revision = stale->second.get();
  json::array items;
  bool hasMore = false;
  std::string last;
  for (const auto &[key, item] : itemsAt(revision)) {
    if (!key.starts_with(prefix) || key <= after)
      continue;
    hasMore = items.size() == PageItems;
    if (hasMore)
      break;
    items.push_back(formatItem(key, item.At, *item.Value));
    last = key;
  }
  PageNumbers[last] = number + 1;
  return {{"items", std::move(items)},
          {"more_pages", hasMore},
          {"store_revision", revision}};
}

json::object FakeStoreServer::formatEvents(const std::string &prefix,
                                           std::uint64_t after) const {
  json::array events;
  for (const Change &it : History) {
    if (!it.Key.starts_with(prefix) || it.At <= after)
      continue;
    if (it.Value)
      events.push_back(formatItem(it.Key, it.At, *it.Value));
    else
      events.push_back(
          json::object{{"key", it.Key}, {"rev", it.At}, {"removed", true}});
  }
  return {{"events", std::move(events)}, {"store_revision", Last}};
}
