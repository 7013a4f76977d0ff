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
    : Changed(ioc, asio::steady_timer::time_point::max()),
      Server(ioc, HttpLimits(),
             [this](HttpExchange &it) { return handle(it); }),
      Address(findFreeAddress()) {
  REQUIRE(Server.listen(Address));
}

void FakeStoreServer::write(const std::string &key, const std::string &value) {
  Items[key] = {value, ++Last};
  Changed.cancel();
}

asio::awaitable<void> FakeStoreServer::handle(HttpExchange &exchange) {
  std::string target(exchange.request().target());
  boost::urls::url_view url(target);
  std::map<std::string, std::string> params;
  for (const auto &it : url.params())
    params[std::string(it.key)] = it.value;
  json::object body;
  if (url.path() == "/ospreyspur/kv-range") {
    body = format("items", params["prefix"], 0);
  } else if (url.path() == "/ospreyspur/kv-watch") {
    ++Watches;
    std::uint64_t after = std::stoull(params["after"]);
    std::chrono::milliseconds wait(std::stoul(params["wait_ms"]));
    co_await awaitChange(params["prefix"], after, wait);
    body = format("events", params["prefix"], after);
  } else {
    co_await exchange.respond(404, "application/json", "{}");
    co_return;
  }
  co_await exchange.respond(200, "application/json", json::serialize(body));
}

asio::awaitable<void> FakeStoreServer::awaitChange(std::string prefix,
                                                   std::uint64_t after,
                                                   Duration wait) {
  TimePoint end = monotonicNow() + wait;
  auto hasChanged = [&] {
    return !format("events", prefix, after)["events"].as_array().empty();
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

json::object FakeStoreServer::format(const char *name,
                                     const std::string &prefix,
                                     std::uint64_t after) const {
  json::array items;
  for (const auto &[key, item] : Items)
    if (key.starts_with(prefix) && item.At > after)
      items.push_back({{"key", key},
                       {"value", platform::encodeBase64(item.Value)},
                       {"rev", item.At},
                       {"created", item.At},
                       {"lease", 0}});
  return {{name, std::move(items)}, {"store_revision", Last}};
}
