//===- AdminServer.cpp - status and metrics -------------------------------===//
//
// /live, /ready, /metrics, /status.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/AdminServer.h"

#include "ospreyspur/Http/CallerApi.h"
#include "ospreyspur/Support/Digest.h"

#include <boost/json.hpp>

using namespace ospreyspur;
namespace asio = boost::asio;
namespace json = boost::json;

static constexpr std::string_view BearerPrefix = "Bearer ";

AdminServer::AdminServer(asio::io_context &ioc, const CommonSettings &settings,
                         ControlPlane &control, Metrics &metrics)
    : Settings(settings), Control(control), Measures(metrics),
      Server(ioc, HttpLimits(),
             [this](HttpExchange &exchange) { return handle(exchange); }) {}

Result<void> AdminServer::start() {
  Result<TcpAddress> address = parseAddress(Settings.AdminListen);
  if (!address)
    return address.error();
  return Server.listen(address.value());
}

bool AdminServer::isAllowed(const HttpExchange &exchange) const {
  std::string value = exchange.header("Authorization");
  if (!value.starts_with(BearerPrefix) || Settings.AdminTokenHash.empty())
    return false;
  return sha256Hex(std::string_view(value).substr(BearerPrefix.size())) ==
         Settings.AdminTokenHash;
}

std::string AdminServer::statusText() const {
  json::object out{{"ready", Control.isReady()},
                   {"config_revision", Control.configRevision().get()},
                   {"hosts_revision", Control.hostsRevision().get()},
                   {"endpoints", Control.endpoints().size()}};
  return json::serialize(out) + "\n";
}

asio::awaitable<void> AdminServer::handle(HttpExchange &exchange) {
  std::string target(exchange.request().target());
  if (target == "/live") {
    co_await exchange.respond(200, "text/plain", "live\n");
    co_return;
  }
  if (target == "/ready") {
    bool isReady = Control.isReady();
    co_await exchange.respond(isReady ? 200 : 503, "text/plain",
                              isReady ? "ready\n" : "not ready\n");
    co_return;
  }
  if (!isAllowed(exchange)) {
    co_await exchange.respond(
        makeErrorResponse(ResultCode::Unauthorized, Duration::zero()));
    co_return;
  }
  if (target == "/metrics")
    co_await exchange.respond(200, "text/plain; version=0.0.4",
                              Measures.text());
  else if (target == "/status")
    co_await exchange.respond(200, "application/json", statusText());
  else
    co_await exchange.respond(
        makeErrorResponse(ResultCode::NotFound, Duration::zero()));
}
