//===- CrashingFleet.h - entries before endpoints that crash ----*- C++ -*-===//
//
// Real entries in front of endpoints that crash when they run certain requests,
// or by themselves. A crashed endpoint restarts under the same name and
// address.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_UNITTESTS_PROCESS_CRASHINGFLEET_H
#define OSPREYSPUR_UNITTESTS_PROCESS_CRASHINGFLEET_H

#include "FreeAddress.h"

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
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace test {

using namespace ospreyspur;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using std::chrono::milliseconds;

inline constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
/// How long an endpoint takes to restart.
inline constexpr milliseconds DownTime(400);
/// How long a crashing endpoint may accept connections after it has cut off its
/// responses.
inline constexpr milliseconds ClosingTime(5);
/// How long an endpoint runs a request before it responds or crashes.
inline constexpr milliseconds RunTime(30);

inline asio::awaitable<void> pause(milliseconds span) {
  asio::steady_timer timer(co_await asio::this_coro::executor, span);
  co_await timer.async_wait(AsTuple);
}

/// Whether an endpoint crashes when it runs the request \p text.
using CrashCondition = std::function<bool(const std::string &text)>;

/// An endpoint that crashes when it runs certain requests.
class CrashingEndpoint {
public:
  CrashingEndpoint(asio::io_context &ioc, std::string name,
                   CrashCondition isCrashing, std::function<void()> onChange)
      : Context(ioc), Name(std::move(name)), IsCrashing(std::move(isCrashing)),
        OnChange(std::move(onChange)), Acceptor(ioc),
        Address(ospreyspur::test::findFreeAddress()) {
    start();
  }

  EndpointRecord record() const {
    EndpointRecord out;
    out.Name = Name;
    out.Incarnation = EndpointIncarnation(Incarnation);
    out.Id = makeEndpointId(Name, out.Incarnation);
    out.Service = ServiceId("s");
    out.Address = Address;
    out.Slots = 8;
    return out;
  }

  /// Simulates a crash of the process. Its sockets close one by one; after
  /// listenLast() the listening socket closes last.
  void crash() {
    boost::system::error_code ec;
    if (!ListensLast)
      Acceptor.close(ec);
    for (const auto &it : std::exchange(Open, {})) {
      it->set_option(asio::socket_base::linger(true, 0), ec);
      it->close(ec);
    }
    asio::co_spawn(Context, restartLater(), asio::detached);
  }

  void listenLast() { ListensLast = true; }

  bool isUp() const { return Acceptor.is_open(); }
  /// When crashing requests arrived, and when the endpoint crashed under them.
  const std::vector<TimePoint> &arrivals() const { return Arrivals; }
  const std::vector<TimePoint> &crashTimes() const { return CrashTimes; }

private:
  using Socket = std::shared_ptr<tcp::socket>;

  void start() {
    ++Incarnation;
    Acceptor.open(tcp::v4());
    Acceptor.set_option(asio::socket_base::reuse_address(true));
    Acceptor.bind(Address);
    Acceptor.listen();
    asio::co_spawn(Context, acceptAll(), asio::detached);
  }

  asio::awaitable<void> restartLater() {
    co_await pause(ListensLast ? ClosingTime : milliseconds(0));
    boost::system::error_code ec;
    Acceptor.close(ec);
    for (const auto &it : std::exchange(Open, {}))
      it->close(ec);
    co_await pause(DownTime);
    start();
    OnChange();
  }

  asio::awaitable<void> acceptAll() {
    unsigned incarnation = Incarnation;
    while (incarnation == Incarnation && Acceptor.is_open()) {
      auto [ec, socket] = co_await Acceptor.async_accept(AsTuple);
      if (ec)
        co_return;
      auto kept = std::make_shared<tcp::socket>(std::move(socket));
      Open.insert(kept);
      asio::co_spawn(Context, serve(kept), asio::detached);
    }
  }

  /// Serves the only request of a connection.
  asio::awaitable<void> serve(Socket socket) {
    std::string text;
    auto [ec, n] = co_await asio::async_read_until(
        *socket, asio::dynamic_buffer(text), "\r\n\r\n", AsTuple);
    while (!ec && !text.ends_with('.')) {
      char byte = 0;
      auto [readError, got] =
          co_await socket->async_read_some(asio::buffer(&byte, 1), AsTuple);
      if (readError)
        break;
      text += byte;
    }
    bool isCrashing = IsCrashing(text);
    if (isCrashing)
      Arrivals.push_back(monotonicNow());
    co_await pause(RunTime);
    if (!Open.contains(socket))
      co_return;
    if (isCrashing) {
      CrashTimes.push_back(monotonicNow());
      crash();
      co_return;
    }
    co_await respond(*socket, text);
    Open.erase(socket);
  }

  static asio::awaitable<void> respond(tcp::socket &socket,
                                       const std::string &text) {
    static constexpr std::string_view Label = "Request-Id: ";
    std::size_t at = text.find(Label) + Label.size();
    std::string out = "HTTP/1.1 200 OK\r\nReplica-Stamp: s\r\nRequest-Id: " +
                      text.substr(at, text.find('\r', at) - at) +
                      "\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";
    co_await asio::async_write(socket, asio::buffer(out), AsTuple);
  }

  asio::io_context &Context;
  std::string Name;
  CrashCondition IsCrashing;
  std::function<void()> OnChange;
  tcp::acceptor Acceptor;
  tcp::endpoint Address;
  unsigned Incarnation = 0;
  std::vector<TimePoint> Arrivals;
  std::vector<TimePoint> CrashTimes;
  bool ListensLast = false;
  std::set<Socket> Open;
};

/// Number of responses to callers, by status line.
using StatusCounts = std::map<std::string, unsigned>;
inline constexpr std::string_view Served = "HTTP/1.1 200";

/// Real entries in front of such endpoints.
class CrashingFleet {
public:
  CrashingFleet(unsigned entries, unsigned endpoints,
                const CrashCondition &isCrashing) {
    for (unsigned i = 0; i < endpoints; ++i)
      Endpoints.emplace_back(Context, "e" + std::to_string(i), isCrashing,
                             [this] { publish(); });
    for (unsigned i = 0; i < entries; ++i)
      addEntry();
  }

  /// Starts one more entry, which knows of no crashes. Returns its index.
  unsigned addEntry() {
    auto own = std::make_unique<DirectSettings>();
    own->Name = "n" + std::to_string(Entries.size());
    own->Listen = toText(ospreyspur::test::findFreeAddress());
    tcp::endpoint links = ospreyspur::test::findFreeAddress();
    own->LinkListen = toText(links);
    own->PeerPorts = std::to_string(links.port()) + ",0";
    Settings.push_back(std::move(own));
    Entries.push_back(std::make_unique<DirectTraffic>(
        Context, *Settings.back(), Measures, Entries.size() + 1));
    REQUIRE(Entries.back()->start());
    publish();
    return unsigned(Entries.size() - 1);
  }

  /// Sends \p body to entry \p i after \p delay. \p header is empty or a header
  /// line to add, with its line end.
  void callAfter(milliseconds delay, unsigned i, std::string body,
                 StatusCounts &counts, std::string header = "") {
    asio::co_spawn(Context,
                   call(delay, i, std::move(body), counts, std::move(header)),
                   asio::detached);
  }

  void crashAfter(milliseconds delay, unsigned endpoint) {
    asio::co_spawn(
        Context,
        [](milliseconds span, CrashingEndpoint &it) -> asio::awaitable<void> {
          co_await pause(span);
          if (it.isUp())
            it.crash();
        }(delay, *std::next(Endpoints.begin(), endpoint)),
        asio::detached);
  }

  void listenLast() {
    for (CrashingEndpoint &it : Endpoints)
      it.listenLast();
  }

  void run(milliseconds span) {
    Context.restart();
    Context.run_for(span);
  }

  /// Number of crashes caused by crashing requests.
  unsigned crashCount() const { return unsigned(crashTimes().size()); }
  /// When crashing requests arrived at endpoints, and when endpoints crashed
  /// under them, in order.
  std::vector<TimePoint> arrivals() const {
    return collect(&CrashingEndpoint::arrivals);
  }
  std::vector<TimePoint> crashTimes() const {
    return collect(&CrashingEndpoint::crashTimes);
  }

private:
  static std::string toText(const tcp::endpoint &it) {
    return it.address().to_string() + ":" + std::to_string(it.port());
  }

  static std::shared_ptr<const FleetConfig> makeConfig() {
    auto config = std::make_shared<FleetConfig>();
    RouteRule route;
    route.Host = "h";
    route.Prefix = "/";
    route.Kind = RequestKind::Stream;
    route.IsResumable = true;
    route.Attempts = 2;
    route.Services = {{ServiceId("s"), 1}};
    config->Routes.push_back(route);
    config->Services.emplace(ServiceId("s"),
                             ServiceRule{ServiceId("s"), 100, std::nullopt});
    return config;
  }

  std::vector<TimePoint>
  collect(const std::vector<TimePoint> &(CrashingEndpoint::*times)()
              const) const {
    std::vector<TimePoint> out;
    for (const CrashingEndpoint &it : Endpoints)
      out.insert(out.end(), (it.*times)().begin(), (it.*times)().end());
    std::sort(out.begin(), out.end());
    return out;
  }

  void publish() {
    for (std::size_t i = 0; i < Entries.size(); ++i) {
      auto snapshot = std::make_shared<DirectSnapshot>();
      snapshot->Config = Config;
      for (const CrashingEndpoint &it : Endpoints)
        snapshot->Endpoints.push_back({it.record(), false});
      for (std::size_t k = 0; k < Entries.size(); ++k)
        if (k != i)
          snapshot->Nodes.push_back({Settings[k]->Name, DataCentreId("a"),
                                     Settings[k]->LinkListen,
                                     Settings[k]->loadListen()});
      Entries[i]->setSnapshot(snapshot);
    }
  }

  asio::awaitable<void> call(milliseconds delay, unsigned i, std::string body,
                             StatusCounts &counts, std::string header) {
    co_await pause(delay);
    tcp::socket socket(Context);
    auto [ec] = co_await socket.async_connect(
        parseAddress(Settings[i]->Listen).value(), AsTuple);
    std::string id = "r" + std::to_string(++LastRequest);
    std::string out = "POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
                      "\r\nDeadline-Ms: 8000\r\n" + header +
                      "Content-Length: " + std::to_string(body.size() + 1) +
                      "\r\n\r\n" + body + '.';
    if (!ec)
      co_await asio::async_write(socket, asio::buffer(out), AsTuple);
    std::string text;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(text),
                                    "\r\n\r\n", AsTuple);
    ++counts[text.substr(0, std::min<std::size_t>(text.size(), 12))];
  }

  asio::io_context Context;
  Metrics Measures;
  std::shared_ptr<const FleetConfig> Config = makeConfig();
  std::list<CrashingEndpoint> Endpoints;
  std::vector<std::unique_ptr<DirectSettings>> Settings;
  std::vector<std::unique_ptr<DirectTraffic>> Entries;
  unsigned LastRequest = 0;
};

} // namespace test

#endif // OSPREYSPUR_UNITTESTS_PROCESS_CRASHINGFLEET_H
