//===- Engine.cpp - stand-in engines that step together -------------------===//
//
// Each engine batches its requests continuously: every step gives one token to
// each. The text depends on the prompt alone, so that any engine can resume.
//
//===----------------------------------------------------------------------===//

#include "Standins.h"

#include "ospreyspur/Http/Mailbox.h"
#include "ospreyspur/Support/Digest.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <list>
#include <map>
#include <memory>

using namespace standin;
using namespace ospreyspur;

static constexpr std::int64_t DefaultTokens = 16;

namespace {
/// One request in an engine's batch.
struct Generation {
  std::string Seed;
  std::int64_t Next = 0;
  std::int64_t Count = 0;
  Mailbox<std::string> *Sink = nullptr;
};

/// One engine of the group.
class Engine {
public:
  explicit Engine(asio::io_context &ioc) : Context(ioc) {}

  asio::awaitable<void> handle(HttpExchange &exchange) {
    std::string target(exchange.request().target());
    if (target == "/runs") {
      json::object out;
      for (const auto &[id, n] : Runs)
        out[id] = n;
      co_await reply(exchange, 200, out);
      co_return;
    }
    json::object in = bodyOf(exchange);
    ++Runs[textOf(in, "id")];
    std::string resume = exchange.header("Ospreyspur-Resume-Offset");
    std::size_t skip = resume.empty() ? 0 : std::stoull(resume);
    Mailbox<std::string> inbox(Context);
    Generation generation{textOf(in, "prompt"), 0,
                          numberOf(in, "max_tokens", DefaultTokens), &inbox};
    auto slot = Batch.insert(Batch.end(), generation);
    bool isOpen = co_await exchange.beginStream(200, "text/event-stream");
    for (std::int64_t i = 0; isOpen && i < generation.Count; ++i) {
      std::string text = co_await inbox.next();
      if (skip >= text.size()) {
        skip -= text.size();
        continue;
      }
      isOpen = co_await exchange.writeStream(text.substr(skip));
      skip = 0;
    }
    Batch.erase(slot);
    if (isOpen && co_await exchange.writeStream("data: [DONE]\n\n"))
      co_await exchange.endStream();
  }

  /// Gives each request of the batch its next token.
  void step() {
    for (Generation &it : Batch) {
      if (it.Next == it.Count)
        continue;
      std::string token =
          sha256Hex(it.Seed + std::to_string(it.Next++)).substr(0, 6);
      json::object choice{{"index", 0}, {"text", token + " "}};
      it.Sink->post(
          "data: " + json::serialize(json::object{{"choices", {choice}}}) +
          "\n\n");
    }
  }

private:
  asio::io_context &Context;
  std::list<Generation> Batch;
  std::map<std::string, std::int64_t> Runs;
};
} // namespace

static asio::awaitable<void>
stepForever(std::vector<std::unique_ptr<Engine>> &engines,
            std::int64_t stepMs) {
  for (;;) {
    co_await pause(stepMs);
    for (auto &it : engines)
      it->step();
  }
}

int standin::runGroup(const std::vector<std::string> &listens,
                      std::int64_t stepMs, bool /*checksFences*/) {
  asio::io_context ioc(1);
  std::vector<std::unique_ptr<Engine>> engines;
  std::vector<std::unique_ptr<HttpServer>> servers;
  for (const std::string &listen : listens) {
    engines.push_back(std::make_unique<Engine>(ioc));
    Engine &engine = *engines.back();
    servers.push_back(std::make_unique<HttpServer>(
        ioc, HttpLimits(),
        [&engine](HttpExchange &exchange) { return engine.handle(exchange); }));
    if (!servers.back()->listen(parseAddress(listen).value()))
      return 1;
  }
  asio::co_spawn(ioc, stepForever(engines, stepMs), asio::detached);
  ioc.run();
  return 0;
}
