//===- PushbackSimulation.h - endpoints that send pushback --------*- C++
//-*-===//
//-*-===//
//
// Real entries and endpoints on sockets. A function of the test makes the
// endpoints' responses. Each endpoint records the time and the entry of each
// request that it receives.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_UNITTESTS_PROCESS_PUSHBACKSIMULATION_H
#define OSPREYSPUR_UNITTESTS_PROCESS_PUSHBACKSIMULATION_H

#include "FreeAddress.h"
#include "SilenceableRelay.h"

#include "ospreyspur/Http/HttpServer.h"
#include "ospreyspur/Process/DirectTraffic.h"
#include "ospreyspur/Support/Address.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ospreyspur::test {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// One request that an endpoint received.
struct Arrival {
  /// The caller's request id; begins with the entry's number and '-'.
  std::string Label;
  TimePoint At;
};

/// An endpoint that responds to every request with a head made by the test.
class PushbackEndpoint {
public:
  /// Returns a response's status and adds its headers.
  using ResponseMaker = std::function<unsigned(HttpResponse &)>;

  PushbackEndpoint(asio::io_context &ioc, std::string name,
                   ResponseMaker response)
      : Name(std::move(name)), MakeResponse(std::move(response)),
        Server(ioc, HttpLimits(), [this](HttpExchange &it) { return run(it); }),
        Address(findFreeAddress()) {
    REQUIRE(Server.listen(Address));
  }

  EndpointRecord record() const {
    EndpointRecord out;
    out.Name = Name;
    out.Incarnation = EndpointIncarnation(1);
    out.Id = makeEndpointId(Name, out.Incarnation);
    out.Service = ServiceId("s");
    out.Address = Relay ? Relay->address() : Address;
    out.Slots = 8;
    return out;
  }

  const std::vector<Arrival> &arrivals() const { return Arrivals; }

  /// Lets entries connect through a relay, which can fall silent.
  void addRelay(asio::io_context &ioc) {
    Relay = std::make_unique<SilenceableRelay>(ioc, Address);
  }
  void silence() { Relay->silence(); }

private:
  asio::awaitable<void> run(HttpExchange &exchange) {
    static constexpr std::chrono::milliseconds Work(5);
    Arrivals.push_back({exchange.header("Request-Id"), monotonicNow()});
    asio::steady_timer timer(co_await asio::this_coro::executor, Work);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    HttpResponse response;
    response.set("Request-Id", exchange.header("Request-Id"));
    response.result(MakeResponse(response));
    if (response.result_int() == 503)
      response.set("Not-Executed", "1");
    else
      response.set("Replica-Stamp", "s");
    response.body() = "ok";
    co_await exchange.respond(std::move(response));
  }

  std::string Name;
  ResponseMaker MakeResponse;
  std::vector<Arrival> Arrivals;
  HttpServer Server;
  tcp::endpoint Address;
  std::unique_ptr<SilenceableRelay> Relay;
};

/// Real entries in front of such endpoints.
class PushbackSimulation {
public:
  explicit PushbackSimulation(
      const std::vector<PushbackEndpoint::ResponseMaker> &responses) {
    for (const PushbackEndpoint::ResponseMaker &it : responses)
      Endpoints.emplace_back(Context, "e" + std::to_string(Endpoints.size()),
                             it);
  }

  /// Call before addEntries().
  void addRelays() {
    for (PushbackEndpoint &it : Endpoints)
      it.addRelay(Context);
  }
  /// Makes all open connections to endpoints silent.
  void silence() {
    for (PushbackEndpoint &it : Endpoints)
      it.silence();
  }

  void addEntries(unsigned n) {
    for (unsigned i = 0; i < n; ++i)
      addEntry();
    publish();
  }

  /// Sends \p n requests to each entry, \p pause apart.
  void load(unsigned n, Duration pause) {
    for (unsigned i = 0; i < Entries.size(); ++i)
      asio::co_spawn(Context, callOften(i, n, pause), asio::detached);
  }

  void run(Duration span) {
    Context.restart();
    Context.run_for(span);
  }

  PushbackEndpoint &endpoint(unsigned i) {
    return *std::next(Endpoints.begin(), i);
  }
  /// Number of responses to callers by status line.
  const std::map<std::string, unsigned> &statusCounts() const {
    return StatusCounts;
  }
  /// The Retry-After of each response to a caller that has one, in s.
  const std::vector<double> &retryAfters() const { return RetryAfters; }

private:
  static std::string toText(const tcp::endpoint &it) {
    return it.address().to_string() + ":" + std::to_string(it.port());
  }

  static std::shared_ptr<const FleetConfig> makeConfig() {
    auto config = std::make_shared<FleetConfig>();
    RouteRule route;
    route.Host = "h";
    route.Prefix = "/";
    route.Kind = RequestKind::Repeatable;
    route.Attempts = 2;
    route.Services = {{ServiceId("s"), 1}};
    config->Routes.push_back(route);
    config->Services.emplace(ServiceId("s"),
                             ServiceRule{ServiceId("s"), 100, std::nullopt});
    return config;
  }

  std::unique_ptr<DirectTraffic> makeEntry(unsigned i) {
    return std::make_unique<DirectTraffic>(Context, *Settings[i], Measures,
                                           ++LastSeed);
  }

  void addEntry() {
    auto own = std::make_unique<DirectSettings>();
    own->Name = "n" + std::to_string(Entries.size());
    own->Listen = toText(findFreeAddress());
    tcp::endpoint links = findFreeAddress();
    own->LinkListen = toText(links);
    own->PeerPorts = std::to_string(links.port()) + ",0";
    Settings.push_back(std::move(own));
    Entries.push_back(makeEntry(unsigned(Entries.size())));
    REQUIRE(Entries.back()->start());
  }

  void publish() {
    for (std::size_t i = 0; i < Entries.size(); ++i) {
      auto snapshot = std::make_shared<DirectSnapshot>();
      snapshot->Config = Config;
      snapshot->HasNodeList = true;
      for (const PushbackEndpoint &it : Endpoints)
        snapshot->Endpoints.push_back({it.record(), false});
      for (std::size_t k = 0; k < Entries.size(); ++k)
        if (k != i)
          snapshot->Nodes.push_back({Settings[k]->Name, DataCentreId("a"),
                                     Settings[k]->LinkListen,
                                     Settings[k]->loadListen()});
      Entries[i]->setSnapshot(snapshot);
    }
  }

  asio::awaitable<void> callOften(unsigned i, unsigned n, Duration pause) {
    asio::steady_timer timer(Context);
    for (unsigned k = 0; k < n; ++k) {
      asio::co_spawn(Context, call(i), asio::detached);
      timer.expires_after(pause);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }

  asio::awaitable<void> call(unsigned i) {
    static constexpr std::string_view Retry = "\r\nRetry-After: ";
    constexpr auto Tuple = asio::as_tuple(asio::use_awaitable);
    tcp::socket socket(Context);
    auto [ec] = co_await socket.async_connect(
        parseAddress(Settings[i]->Listen).value(), Tuple);
    std::string out =
        "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + std::to_string(i) + "-" +
        std::to_string(++LastRequest) + "\r\nDeadline-Ms: 8000\r\n\r\n";
    if (!ec)
      co_await asio::async_write(socket, asio::buffer(out), Tuple);
    std::string text;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(text),
                                    "\r\n\r\n", Tuple);
    ++StatusCounts[text.substr(0, std::min<std::size_t>(text.size(), 12))];
    if (std::size_t at = text.find(Retry); at != std::string::npos)
      RetryAfters.push_back(std::stod(text.substr(at + Retry.size())));
  }

  asio::io_context Context;
  Metrics Measures;
  std::shared_ptr<const FleetConfig> Config = makeConfig();
  std::list<PushbackEndpoint> Endpoints;
  std::vector<std::unique_ptr<DirectSettings>> Settings;
  std::vector<std::unique_ptr<DirectTraffic>> Entries;
  std::map<std::string, unsigned> StatusCounts;
  std::vector<double> RetryAfters;
  std::uint64_t LastSeed = 0;
  unsigned LastRequest = 0;
};

} // namespace ospreyspur::test

#endif // OSPREYSPUR_UNITTESTS_PROCESS_PUSHBACKSIMULATION_H
