//===- EntryFixture.h - an entry in front of given endpoints ----*- C++ -*-===//
//
// A real entry of the direct path on loopback, and callers that send requests
// to it as raw bytes.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_UNITTESTS_PROCESS_ENTRYFIXTURE_H
#define OSPREYSPUR_UNITTESTS_PROCESS_ENTRYFIXTURE_H

#include "FreeAddress.h"

#include "ospreyspur/Process/DirectTraffic.h"
#include "ospreyspur/Support/Address.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ospreyspur::test {

/// A request without a body to the fixture's only route.
inline std::string makeCallerRequest(Duration deadline,
                                     std::string_view headers = "") {
  return "POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: " +
         std::to_string(toMillis(deadline)) + "\r\n" + std::string(headers) +
         "Content-Length: 0\r\n\r\n";
}

/// A caller's connection.
struct CallerConnection {
  explicit CallerConnection(boost::asio::io_context &ioc) : Socket(ioc) {}

  boost::asio::ip::tcp::socket Socket;
  /// All that was received so far.
  std::string Received;
  /// Whether the entry has closed the connection.
  bool IsClosed = false;
};

/// An entry and its callers, on the thread of the test.
class EntryFixture {
public:
  using tcp = boost::asio::ip::tcp;
  using Caller = std::shared_ptr<CallerConnection>;

  EntryFixture() : Traffic(Context, makeSettings(), Measures, 1) {
    REQUIRE(Traffic.start());
  }

  boost::asio::io_context &context() { return Context; }
  DirectTraffic &traffic() { return Traffic; }

  /// The rule of the only route.
  static RouteRule makeRoute(RequestKind kind, unsigned attempts = 2) {
    RouteRule route;
    route.Host = "h";
    route.Prefix = "/";
    route.Kind = kind;
    route.Attempts = attempts;
    route.IsResumable = kind == RequestKind::Stream;
    route.Services = {{ServiceId("s"), 1}};
    return route;
  }

  /// Makes \p endpoints known to the entry.
  template <typename Endpoint>
  void publish(const RouteRule &route,
               const std::vector<const Endpoint *> &endpoints) {
    auto config = std::make_shared<FleetConfig>();
    config->Routes.push_back(route);
    config->Services[ServiceId("s")].Name = ServiceId("s");
    auto snapshot = std::make_shared<DirectSnapshot>();
    snapshot->Config = config;
    for (const Endpoint *it : endpoints) {
      EndpointRecord record;
      record.Name = it->name();
      record.Id = EndpointId(record.Name);
      record.Service = ServiceId("s");
      record.Address = it->address();
      record.Slots = 4;
      snapshot->Endpoints.push_back({record, false});
    }
    Traffic.setSnapshot(snapshot);
  }

  /// Opens a connection to the entry.
  Caller connect() {
    auto caller = std::make_shared<CallerConnection>(Context);
    boost::asio::co_spawn(Context, receiveAll(caller), boost::asio::detached);
    run([&] { return caller->Socket.is_open(); });
    return caller;
  }

  void send(const Caller &caller, const std::string &text) {
    boost::asio::co_spawn(Context, write(caller, text), boost::asio::detached);
  }

  /// Sends one request and returns all that the caller receives until its
  /// connection is closed, but for \p limit at most.
  std::string call(Duration deadline, Duration limit) {
    Caller caller = connect();
    send(caller, makeCallerRequest(deadline, "Connection: close\r\n"));
    run([&] { return caller->IsClosed; }, limit);
    CHECK(caller->IsClosed);
    return caller->Received;
  }

  /// Runs until \p isDone, but for \p limit at most. Returns whether it is.
  template <typename Condition>
  bool run(const Condition &isDone, Duration limit = std::chrono::seconds(6)) {
    TimePoint until = monotonicNow() + limit;
    Context.restart();
    while (!isDone() && monotonicNow() < until)
      Context.run_for(std::chrono::milliseconds(2));
    return isDone();
  }

private:
  static constexpr auto AsTuple =
      boost::asio::as_tuple(boost::asio::use_awaitable);

  boost::asio::awaitable<void> receiveAll(Caller caller) {
    auto [connectError] = co_await caller->Socket.async_connect(
        parseAddress(Settings.Listen).value(), AsTuple);
    boost::system::error_code ec = connectError;
    while (!ec) {
      std::array<char, 4096> buf;
      auto [readError, n] = co_await caller->Socket.async_read_some(
          boost::asio::buffer(buf), AsTuple);
      caller->Received.append(buf.data(), n);
      ec = readError;
    }
    caller->IsClosed = true;
  }

  static boost::asio::awaitable<void> write(Caller caller, std::string text) {
    co_await boost::asio::async_write(caller->Socket, boost::asio::buffer(text),
                                      AsTuple);
  }

  const DirectSettings &makeSettings() {
    auto toText = [](const tcp::endpoint &it) {
      return it.address().to_string() + ":" + std::to_string(it.port());
    };
    Settings.Name = "n";
    Settings.Listen = toText(findFreeAddress());
    tcp::endpoint links = findFreeAddress();
    Settings.LinkListen = toText(links);
    Settings.PeerPorts = std::to_string(links.port()) + ",0";
    Settings.WriteTimeout = std::chrono::seconds(5);
    return Settings;
  }

  boost::asio::io_context Context;
  Metrics Measures;
  DirectSettings Settings;
  DirectTraffic Traffic;
};

} // namespace ospreyspur::test

#endif // OSPREYSPUR_UNITTESTS_PROCESS_ENTRYFIXTURE_H
