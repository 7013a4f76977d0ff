//===- Platform.cpp - fake of the platform's key-value store --------------===//
//
// Items, lists, watches, transactions and leases in the platform's protocol.
// POST /fault injects outages, delays, and responses that are lost after the
// transaction took effect.
//
//===----------------------------------------------------------------------===//

#include "Standins.h"

#include "ospreyspur/Support/Time.h"
#include "platform/Base64.h"
#include "platform/JsonFields.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/url.hpp>

#include <charconv>
#include <fstream>
#include <iterator>
#include <map>
#include <memory>

using namespace standin;
using namespace ospreyspur;

namespace {
struct StoredItem {
  std::string Value;
  std::uint64_t Revision = 0;
  std::uint64_t Created = 0;
  std::uint64_t Lease = 0;
};

struct Lease {
  Duration Span{};
  TimePoint Expires;
};

/// A change, kept for watches.
struct Change {
  std::string Key;
  std::uint64_t Revision = 0;
  json::object Body;
};

class Platform {
public:
  void load(const std::string &keyAndFile) {
    std::size_t split = keyAndFile.find('=');
    std::ifstream is(keyAndFile.substr(split + 1));
    std::string value(std::istreambuf_iterator<char>(is), {});
    write(keyAndFile.substr(0, split), value, 0);
  }

  asio::awaitable<void> handle(HttpExchange &exchange) {
    json::object in = bodyOf(exchange);
    std::string target(exchange.request().target());
    boost::urls::url_view url(target);
    std::string path(url.encoded_path());
    ++Calls[path.substr(0, path.find_last_not_of("0123456789") + 1)];
    if (path == "/fault") {
      OutageUntil = monotonicNow() +
                    std::chrono::milliseconds(integerOf(in, "outage_ms"));
      ResponsesToDrop = integerOf(in, "drop_answers");
      DelayMs = integerOf(in, "delay_ms");
      co_await reply(exchange, 200, json::object());
      co_return;
    }
    if (path == "/calls") {
      json::object out;
      for (const auto &[name, n] : Calls)
        out[name] = n;
      co_await reply(exchange, 200, out);
      co_return;
    }
    if (DelayMs > 0)
      co_await pause(DelayMs);
    if (monotonicNow() < OutageUntil) {
      exchange.abort();
      co_return;
    }
    expire();
    json::object out;
    unsigned status = path == "/ospreyspur/kv-watch"
                          ? co_await watch(url.params(), out)
                          : perform(path, url.params(), in, out);
    if (path == "/ospreyspur/kv-txn" && ResponsesToDrop > 0) {
      --ResponsesToDrop;
      exchange.abort();
      co_return;
    }
    if (monotonicNow() < OutageUntil) {
      exchange.abort();
      co_return;
    }
    co_await reply(exchange, status, out);
  }

private:
  using Params = boost::urls::params_view;

  static std::string paramOf(const Params &params, std::string_view name) {
    auto it = params.find(name);
    return it == params.end() ? std::string() : std::string((*it).value);
  }

  static std::uint64_t idOf(const std::string &path) {
    std::uint64_t id = 0;
    std::size_t slash = path.rfind('/') + 1;
    std::from_chars(path.data() + slash, path.data() + path.size(), id);
    return id;
  }

  unsigned perform(const std::string &path, const Params &params,
                   const json::object &in, json::object &out) {
    if (path == "/ospreyspur/kv-key")
      return get(paramOf(params, "key"), out);
    if (path == "/ospreyspur/kv-range")
      return list(paramOf(params, "prefix"), paramOf(params, "after"), out);
    if (path == "/ospreyspur/kv-txn")
      return transact(in, out);
    if (path == "/ospreyspur/kv-lease")
      return grant(in, out);
    if (path.starts_with("/ospreyspur/kv-keep/"))
      return renew(idOf(path), out);
    return 400;
  }

  json::object itemOf(const std::string &key, const StoredItem &entry) const {
    return {{"key", key},
            {"value", ospreyspur::platform::encodeBase64(entry.Value)},
            {"rev", entry.Revision},
            {"created", entry.Created},
            {"lease", entry.Lease}};
  }

  unsigned get(const std::string &key, json::object &out) {
    auto it = Entries.find(key);
    if (it != Entries.end())
      out = itemOf(key, it->second);
    out["store_revision"] = LastRevision;
    return it == Entries.end() ? 404 : 200;
  }

  unsigned list(const std::string &prefix, const std::string &after,
                json::object &out) {
    json::array items;
    for (const auto &[key, entry] : Entries)
      if (key.starts_with(prefix) && key > after)
        items.push_back(itemOf(key, entry));
    out = {{"items", items},
           {"more_pages", false},
           {"store_revision", LastRevision}};
    return 200;
  }

  std::uint64_t revisionOf(const std::string &key) const {
    auto it = Entries.find(key);
    return it == Entries.end() ? 0 : it->second.Revision;
  }

  unsigned transact(const json::object &in, json::object &out) {
    using ospreyspur::platform::arrayOf;
    json::array present;
    bool isMet = true;
    for (const json::value &it : arrayOf(in, "expect_rev")) {
      std::string key = textOf(it.as_object(), "key");
      auto expected = std::uint64_t(integerOf(it.as_object(), "rev"));
      isMet = isMet && revisionOf(key) == expected;
      if (Entries.contains(key))
        present.push_back(itemOf(key, Entries[key]));
    }
    if (!isMet) {
      out = {{"items", present}};
      return 412;
    }
    const json::array &puts = arrayOf(in, "puts");
    for (const json::value &it : puts) {
      auto lease = std::uint64_t(integerOf(it.as_object(), "lease"));
      if (lease != 0 && !Leases.contains(lease))
        return 404;
    }
    for (const json::value &it : puts) {
      const json::object &row = it.as_object();
      write(
          textOf(row, "key"),
          ospreyspur::platform::decodeBase64(textOf(row, "value")).value_or(""),
          std::uint64_t(integerOf(row, "lease")));
    }
    for (const json::value &it : arrayOf(in, "remove"))
      remove(std::string(it.as_string()));
    out = {{"rev", LastRevision}};
    wakeWatches();
    return 200;
  }

  void write(const std::string &key, const std::string &value,
             std::uint64_t lease) {
    StoredItem &entry = Entries[key];
    entry.Value = value;
    entry.Revision = ++LastRevision;
    entry.Lease = lease;
    if (entry.Created == 0)
      entry.Created = LastRevision;
    History.push_back({key, LastRevision, itemOf(key, entry)});
  }

  void remove(const std::string &key) {
    if (Entries.erase(key) == 0)
      return;
    ++LastRevision;
    History.push_back(
        {key,
         LastRevision,
         {{"key", key}, {"rev", LastRevision}, {"removed", true}}});
  }

  unsigned grant(const json::object &in, json::object &out) {
    Duration span = std::chrono::milliseconds(integerOf(in, "ttl_ms"));
    Leases[++LastLease] = {span, monotonicNow() + span};
    out = {{"lease", LastLease}, {"ttl_ms", integerOf(in, "ttl_ms")}};
    return 200;
  }

  unsigned renew(std::uint64_t id, json::object &out) {
    auto it = Leases.find(id);
    if (it == Leases.end())
      return 404;
    it->second.Expires = monotonicNow() + it->second.Span;
    out = {{"ttl_ms", it->second.Span.count() / 1000}};
    return 200;
  }

  asio::awaitable<unsigned> watch(Params params, json::object &out) {
    std::string prefix = paramOf(params, "prefix");
    auto after = std::stoull(paramOf(params, "after"));
    TimePoint end =
        monotonicNow() +
        std::chrono::milliseconds(std::stoll(paramOf(params, "wait_ms")));
    for (;;) {
      json::array events;
      for (const Change &it : History)
        if (it.Revision > after && it.Key.starts_with(prefix))
          events.push_back(it.Body);
      TimePoint now = monotonicNow();
      if (!events.empty() || now >= end || now < OutageUntil) {
        out = {{"events", events}, {"store_revision", LastRevision}};
        co_return 200;
      }
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

  void wakeWatches() {
    for (const auto &it : std::exchange(Waiting, {}))
      it->cancel();
  }

  void expire() {
    TimePoint now = monotonicNow();
    std::erase_if(Leases,
                  [now](const auto &it) { return it.second.Expires <= now; });
    std::vector<std::string> gone;
    for (const auto &[key, entry] : Entries)
      if (entry.Lease != 0 && !Leases.contains(entry.Lease))
        gone.push_back(key);
    for (const std::string &it : gone)
      remove(it);
  }

  std::map<std::string, StoredItem> Entries;
  std::map<std::uint64_t, Lease> Leases;
  std::vector<Change> History;
  std::map<std::string, std::uint64_t> Calls;
  std::uint64_t LastRevision = 0;
  std::uint64_t LastLease = 0;
  std::vector<std::shared_ptr<asio::steady_timer>> Waiting;
  TimePoint OutageUntil;
  std::int64_t ResponsesToDrop = 0;
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
