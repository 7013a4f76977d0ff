//===- DirectFates.cpp - endpoints that ended under a request -------------===//
//
// The part of DirectTraffic that asks whether an endpoint has ended, takes what
// other entries tell of such ends, and says what was made of them.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/DirectTraffic.h"

#include "ospreyspur/Process/HostTimer.h"
#include "ospreyspur/Process/RankLink.h"
#include "ospreyspur/Support/LogEvent.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <glog/logging.h>

#include <array>
#include <utility>

using namespace ospreyspur;
namespace asio = boost::asio;

/// How long an endpoint that cut an answer has to take a connection; inside a
/// region that takes milliseconds.
static constexpr Duration CheckTimeout = std::chrono::milliseconds(300);

/// Looks at an endpoint that takes connections and drops them, and the pause
/// between two. A connection that stays open for as long is one to a process
/// that lives: a process that ends closes all that it has within a millisecond.
static constexpr unsigned FateLooks = 3;
static constexpr Duration FatePause = std::chrono::milliseconds(25);

static constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

static asio::awaitable<void> rest(asio::io_context &ioc, Duration span) {
  HostTimer timer(ioc, span);
  co_await timer.async_wait(AsTuple);
}

/// Whether the other side keeps the connection for FatePause.
static asio::awaitable<bool> staysOpen(boost::beast::tcp_stream &stream) {
  char byte = 0;
  stream.expires_after(FatePause);
  auto [ec, n] =
      co_await stream.async_read_some(asio::buffer(&byte, 1), AsTuple);
  co_return ec == boost::beast::error::timeout;
}

static std::int64_t toMillis(Duration it) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
}

/// The word for \p standing in the log.
static const char *wordOf(CrashStanding standing) {
  switch (standing) {
  case CrashStanding::Unknown:
    return "innocent";
  case CrashStanding::Suspect:
    return "suspect";
  case CrashStanding::Quarantined:
    return "quarantined";
  }
  return "";
}

/// One line for each request that is put down with the end of an endpoint.
void DirectTraffic::logCrashes() {
  for (const CrashNote &note : Node.takeCrashNotes()) {
    Measures.count("request_crashes_total{standing=\"" +
                   std::string(wordOf(note.Standing)) + "\"}");
    LOG(INFO) << LogEvent("request.crashed")
                     .with("id", note.Label)
                     .with("digest", toHex(note.Request))
                     .with("endpoint", note.Endpoint.get())
                     .with("ran_ms", toMillis(note.Ran))
                     .with("crashes", note.Crashes)
                     .with("chance", note.Chance)
                     .with("standing", wordOf(note.Standing))
                     .with("from", note.IsTold ? "peer" : "own");
  }
  Measures.set("requests_known_to_crash", double(Node.crashes().rowCount()));
  std::uint64_t change = Node.crashes().quarantineChanges();
  if (std::exchange(ToldChange, change) == change || !TellQuarantine)
    return;
  TellQuarantine(Node.crashes().quarantined(), Node.crashes().cleared());
}

/// Reports come from every entry several times a second: only what changes
/// something here is told on.
void DirectTraffic::takeReport(const LoadReport &report) {
  TimePoint now = monotonicNow();
  Node.setPeerLoad(report.Node, report.Loads, now);
  if (report.Crashes.isEmpty() && Node.crashes().isEmpty())
    return;
  DirectActions actions = Node.onCrashReport(report.Node, report.Crashes, now);
  if (!actions.empty())
    apply(std::move(actions));
  else
    logCrashes();
}

void DirectTraffic::perform(CheckEndpoint &action) {
  asio::co_spawn(Context, checkEndpoint(action.Endpoint), asio::detached);
}

asio::awaitable<void> DirectTraffic::checkEndpoint(EndpointRecord endpoint) {
  EndpointFate fate = co_await findFate(endpoint);
  static constexpr std::array Words = {"alive", "ended", "unknown"};
  const char *word = Words.at(static_cast<std::size_t>(fate));
  Measures.count("endpoint_checks_total{fate=\"" + std::string(word) + "\"}");
  LOG(INFO) << LogEvent("endpoint.checked")
                   .with("endpoint", endpoint.Id.get())
                   .with("fate", word);
  apply(Node.onChecked(endpoint.Id, fate, monotonicNow()));
}

/// A process that has ended refuses connections until it is started again,
/// which takes seconds; an engine then tells another life. While it ends, its
/// sockets are closed one by one: the listening one may still take a connection
/// that is reset a moment later.
asio::awaitable<EndpointFate> DirectTraffic::findFate(EndpointRecord endpoint) {
  for (unsigned i = 0; i < FateLooks; ++i) {
    if (i > 0)
      co_await rest(Context, FatePause);
    boost::beast::tcp_stream stream(Context);
    stream.expires_after(CheckTimeout);
    auto [ec] = co_await stream.async_connect(endpoint.Address, AsTuple);
    if (ec == asio::error::connection_refused)
      co_return EndpointFate::Ended;
    if (ec == boost::beast::error::timeout)
      co_return EndpointFate::Unknown;
    if (ec)
      continue;
    bool tellsLife = endpoint.TellsState && endpoint.Life != EndpointLife(0);
    if (!tellsLife) {
      if (co_await staysOpen(stream))
        co_return EndpointFate::Alive;
      continue;
    }
    RankLink link(Context, endpoint.Address);
    Result<RankStatus> status = co_await link.readReport();
    if (!status)
      continue;
    bool isSame = status.value().Life.get() == endpoint.Life.get();
    co_return isSame ? EndpointFate::Alive : EndpointFate::Ended;
  }
  co_return EndpointFate::Unknown;
}
