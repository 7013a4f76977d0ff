//===- MetricsServer.cpp - a process's metrics over HTTP ------------------===//
//
// See MetricsServer.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/MetricsServer.h"

#include "ospreyspur/Process/ListenerLimits.h"

using namespace ospreyspur;

MetricsServer::MetricsServer(boost::asio::io_context &ioc, Metrics &metrics,
                             const ClientLimits &limits)
    : Measures(metrics), Server(
                             ioc, makeServiceLimits(limits, NoBodyBytes),
                             [this](HttpExchange &it) { return serve(it); },
                             makeServiceContext("metrics", limits, metrics)) {}

Result<void> MetricsServer::listen(const std::string &address) {
  Result<TcpAddress> parsed = parseAddress(address);
  if (!parsed)
    return parsed.error();
  return Server.listen(parsed.value());
}

boost::asio::awaitable<void> MetricsServer::serve(HttpExchange &exchange) {
  bool isKnown = exchange.request().target() == "/metrics";
  std::string body = isKnown ? Measures.text() : "no such path\n";
  co_await exchange.respond(isKnown ? 200 : 404, "text/plain", std::move(body));
}
