//===- Engine.cpp - fake model engines that step together -----------------===//
//
// Each engine uses continuous batching: every step generates one token for each
// request. The text depends only on the prompt, so that any engine can resume a
// stream.
//
//===----------------------------------------------------------------------===//

#include "LockStepGroup.h"
#include "Standins.h"

#include "ospreyspur/Experts/RankCodec.h"
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
static constexpr std::size_t ExpertCount = 16;
static constexpr double MaxStepFactor = 2;

namespace {
/// A request in an engine's batch.
struct BatchItem {
  std::string Seed;
  std::int64_t Next = 0;
  std::int64_t Count = 0;
  Mailbox<std::string> *Sink = nullptr;
};

/// One engine of the group.
class Engine {
public:
  Engine(asio::io_context &ioc, LockStepGroup &group, std::size_t index)
      : Context(ioc), Group(group), Index(index) {}

  asio::awaitable<void> handle(HttpExchange &exchange) {
    std::string target(exchange.request().target());
    if (target == RankOrderPath)
      co_await handleOrder(exchange);
    else if (target == "/runs")
      co_await reply(exchange, 200, json::value_from(Runs));
    else if (target == "/fabric")
      co_await reply(exchange, 200, describeGroup());
    else if (target == "/fault")
      co_await handleFault(exchange);
    else
      co_await generate(exchange);
  }

  /// Generates the next token of each request in the batch and counts in
  /// \p experts the tokens that each expert processes.
  void step(std::vector<std::uint32_t> &experts) {
    for (BatchItem &it : Batch) {
      if (it.Next == it.Count)
        continue;
      std::string digest = sha256Hex(it.Seed + std::to_string(it.Next++));
      std::string token = digest.substr(0, 6);
      // A digest ends in a digit for 10 of 16 tokens; these go to the expert of
      // the request's topic, which loads the experts unevenly.
      bool isTopic = digest.back() < 'a';
      std::string expert = isTopic ? sha256Hex(it.Seed) : digest;
      ++experts[std::stoul(expert.substr(8, 4), nullptr, 16) % experts.size()];
      json::object choice{{"index", 0}, {"text", token + " "}};
      it.Sink->post(
          "data: " + json::serialize(json::object{{"choices", {choice}}}) +
          "\n\n");
    }
  }

private:
  asio::awaitable<void> handleOrder(HttpExchange &exchange) {
    Result<RankOrder> order = parseRankOrder(exchange.request().body());
    if (!order) {
      co_await reply(exchange, 400, json::value(order.error().Detail));
      co_return;
    }
    LockStepRank &rank = Group.Ranks[Index];
    RankReply rankReply = rank.Model.handle(order.value());
    if (order.value().Kind == RankOrderKind::Report)
      rankReply.State.SlotTokens = std::exchange(rank.SlotTokens, {});
    co_await exchange.respond(200, "application/json",
                              formatRankReply(rankReply));
  }

  asio::awaitable<void> handleFault(HttpExchange &exchange) {
    json::object in = bodyOf(exchange);
    Group.Ranks[Index].IsFrozen = integerOf(in, "freeze") != 0;
    Group.Ranks[Index].Model.setCanLoad(integerOf(in, "can_load", 1) != 0);
    co_await reply(exchange, 200, json::object());
  }

  json::object describeGroup() const {
    json::array maps;
    for (const LockStepRank &it : Group.Ranks)
      maps.emplace_back(it.Model.state().Running.get());
    double steps = std::max<double>(1, double(Group.Steps));
    return {{"steps", Group.Steps},
            {"violations", Group.Violations},
            {"rank_switches", Group.Switches},
            {"mean_skew", Group.SkewSum / steps},
            {"recent_skew", Group.RecentSkew},
            {"maps", maps}};
  }

  asio::awaitable<void> generate(HttpExchange &exchange) {
    json::object in = bodyOf(exchange);
    ++Runs[textOf(in, "id")];
    std::string resume = exchange.header("Ospreyspur-Resume-Offset");
    std::size_t skip = resume.empty() ? 0 : std::stoull(resume);
    Mailbox<std::string> inbox(Context);
    BatchItem item{textOf(in, "prompt"), 0,
                   integerOf(in, "max_tokens", DefaultTokens), &inbox};
    auto slot = Batch.insert(Batch.end(), item);
    bool isOpen = co_await exchange.beginStream(200, "text/event-stream");
    for (std::int64_t i = 0; isOpen && i < item.Count; ++i) {
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

  asio::io_context &Context;
  LockStepGroup &Group;
  std::size_t Index;
  std::list<BatchItem> Batch;
  std::map<std::string, std::int64_t> Runs;
};
} // namespace

using Engines = std::vector<std::unique_ptr<Engine>>;

/// Runs the group's steps. The length of a step grows with the load imbalance
/// of the ranks in the step before.
static asio::awaitable<void> stepForever(Engines &engines, LockStepGroup &group,
                                         std::int64_t stepMs) {
  double skew = 1;
  for (;;) {
    co_await pause(static_cast<std::int64_t>(double(stepMs) * skew));
    if (!group.advance())
      continue;
    std::vector<std::uint32_t> experts(ExpertCount, 0);
    for (auto &it : engines)
      it->step(experts);
    skew = std::min(MaxStepFactor, group.finishStep(experts));
  }
}

int standin::runGroup(const std::vector<std::string> &listens,
                      std::int64_t stepMs, bool checksFences) {
  asio::io_context ioc(1);
  LockStepGroup group(listens.size(), checksFences);
  Engines engines;
  std::vector<std::unique_ptr<HttpServer>> servers;
  for (const std::string &listen : listens) {
    engines.push_back(std::make_unique<Engine>(ioc, group, engines.size()));
    Engine &engine = *engines.back();
    servers.push_back(std::make_unique<HttpServer>(
        ioc, HttpLimits(),
        [&engine](HttpExchange &exchange) { return engine.handle(exchange); }));
    if (!servers.back()->listen(parseAddress(listen).value()))
      return 1;
  }
  asio::co_spawn(ioc, stepForever(engines, group, stepMs), asio::detached);
  ioc.run();
  return 0;
}
