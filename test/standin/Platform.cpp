//===- Platform.cpp - stand-in for the platform's key-value service -------===//
//
// Compare-and-swap, leases and watches, with outages, delays and answers lost
// after their effect on order (POST /fault).
//
//===----------------------------------------------------------------------===//

#include "Standins.h"

#include "ospreyspur/Support/Time.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fstream>
#include <iterator>
#include <map>
#include <memory>

using namespace standin;
using namespace ospreyspur;

namespace {
struct Entry {
  std::string Value;
  std::uint64_t Revision = 0;
  Duration Lease{};
  TimePoint Expires;
};

class Platform {
public:
  void load(const std::string &keyAndFile) {
    std::size_t split = keyAndFile.find('=');
    std::ifstream is(keyAndFile.substr(split + 1));
    std::string value(std::istreambuf_iterator<char>(is), {});
    Entries[keyAndFile.substr(0, split)] = {value, ++LastRevision, {}, {}};
  }

  asio::awaitable<void> handle(HttpExchange &exchange) {
    json::object in = bodyOf(exchange);
    std::string target(exchange.request().target());
    ++Calls[target];
    if (target == "/fault") {
      OutageUntil =
          monotonicNow() + std::chrono::milliseconds(numberOf(in, "outage_ms"));
      DropAnswers = numberOf(in, "drop_answers");
      DelayMs = numberOf(in, "delay_ms");
      co_await reply(exchange, 200, json::object());
      co_return;
    }
    if (target == "/calls") {
      json::object out;
      for (const auto &[path, n] : Calls)
        out[path] = n;
      co_await reply(exchange, 200, out);
      co_return;
    }
    if (DelayMs > 0)
      co_await pause(DelayMs);
    if (monotonicNow() < OutageUntil) {
      exchange.cut();
      co_return;
    }
    expire();
    unsigned status = 200;
    json::object out;
    if (target == "/kv/get")
      status = get(textOf(in, "key"), out);
    else if (target == "/kv/put")
      status = put(in, out);
    else if (target == "/kv/renew")
      status = renew(in, out);
    else if (target == "/kv/watch")
      status = co_await watch(in, out);
    else
      status = 400;
    if (target == "/kv/put" && DropAnswers > 0) {
      --DropAnswers;
      exchange.cut();
      co_return;
    }
    if (monotonicNow() < OutageUntil) {
      exchange.cut();
      co_return;
    }
    co_await reply(exchange, status, out);
  }

private:
  unsigned get(const std::string &key, json::object &out) {
    auto it = Entries.find(key);
    if (it == Entries.end())
      return 404;
    out = {{"revision", it->second.Revision}, {"value", it->second.Value}};
    return 200;
  }

  unsigned put(const json::object &in, json::object &out) {
    std::string key = textOf(in, "key");
    auto it = Entries.find(key);
    std::uint64_t present = it == Entries.end() ? 0 : it->second.Revision;
    if (present != static_cast<std::uint64_t>(numberOf(in, "expected"))) {
      out = {{"revision", present},
             {"value", it == Entries.end() ? "" : it->second.Value}};
      return 409;
    }
    Entry entry{textOf(in, "value"),
                ++LastRevision,
                std::chrono::milliseconds(numberOf(in, "lease_ms")),
                {}};
    entry.Expires = monotonicNow() + entry.Lease;
    out = {{"revision", entry.Revision}};
    Entries[key] = entry;
    wake();
    return 200;
  }

  unsigned renew(const json::object &in, json::object &out) {
    auto it = Entries.find(textOf(in, "key"));
    if (it == Entries.end() ||
        it->second.Revision !=
            static_cast<std::uint64_t>(numberOf(in, "holder")))
      return 404;
    it->second.Expires = monotonicNow() + it->second.Lease;
    out = {{"revision", it->second.Revision}};
    return 200;
  }

  asio::awaitable<unsigned> watch(const json::object &in, json::object &out) {
    std::string key = textOf(in, "key");
    TimePoint end =
        monotonicNow() + std::chrono::milliseconds(numberOf(in, "wait_ms"));
    auto after = static_cast<std::uint64_t>(numberOf(in, "after"));
    for (;;) {
      auto it = Entries.find(key);
      if (it != Entries.end() && it->second.Revision > after)
        co_return get(key, out);
      TimePoint now = monotonicNow();
      if (now >= end || now < OutageUntil)
        co_return 404;
      co_await waitForChange(end - now);
      expire();
    }
  }

  asio::awaitable<void> waitForChange(Duration limit) {
    auto executor = co_await asio::this_coro::executor;
    auto timer = std::make_shared<asio::steady_timer>(executor, limit);
    Waiting.push_back(timer);
    boost::system::error_code ec;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }

  void wake() {
    for (const auto &it : std::exchange(Waiting, {}))
      it->cancel();
  }

  void expire() {
    TimePoint now = monotonicNow();
    std::erase_if(Entries, [now](const auto &it) {
      return it.second.Lease > Duration::zero() && it.second.Expires <= now;
    });
  }

  std::map<std::string, Entry> Entries;
  std::map<std::string, std::uint64_t> Calls;
  std::uint64_t LastRevision = 0;
  std::vector<std::shared_ptr<asio::steady_timer>> Waiting;
  TimePoint OutageUntil;
  std::int64_t DropAnswers = 0;
  std::int64_t DelayMs = 0;
};
} // namespace

int standin::runPlatform(const std::string &listen,
                         const std::vector<std::string> &preload) {
  asio::io_context ioc(1);
  Platform platform;
  for (const std::string &it : preload)
    platform.load(it);
  HttpLimits limits;
  limits.MaxBodyBytes = 4U << 20U;
  HttpServer server(ioc, limits, [&](HttpExchange &exchange) {
    return platform.handle(exchange);
  });
  if (!server.listen(parseAddress(listen).value()))
    return 1;
  ioc.run();
  return 0;
}
