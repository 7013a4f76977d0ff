//===- AdminServer.cpp - status, metrics and configuration ----------------===//
//
// docs/API.md lists the paths.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/AdminServer.h"

#include "ospreyspur/Http/CallerApi.h"
#include "ospreyspur/Process/ListenerLimits.h"
#include "ospreyspur/Support/Digest.h"
#include "ospreyspur/Support/LogEvent.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <glog/logging.h>

#include <ctime>
#include <optional>
#include <random>

using namespace ospreyspur;
namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

static constexpr std::string_view BearerPrefix = "Bearer ";
static constexpr std::string_view ObjectsPrefix = "/v1/";
static constexpr char ChangeIdHeader[] = "Ospreyspur-Change-Id";
static constexpr Duration WriteDeadline = std::chrono::seconds(5);
static constexpr Duration CallTimeout = std::chrono::seconds(1);
static constexpr std::size_t ChangeIdLength = 24;
/// Largest object of the configuration that operators can write.
static constexpr std::size_t MaxObjectBytes = 1U << 20U;

static std::string drawChangeId() {
  std::random_device source;
  std::string seed = std::to_string(source()) + std::to_string(source());
  return sha256Hex(seed).substr(0, ChangeIdLength);
}

AdminServer::AdminServer(asio::io_context &ioc, const CommonSettings &settings,
                         ControlPlane &control, PlatformClient &platform,
                         Metrics &metrics, const ClientLimits &limits)
    : Settings(settings), Control(control), Platform(platform),
      Measures(metrics),
      Server(
          ioc, makeServiceLimits(limits, MaxObjectBytes),
          [this](HttpExchange &exchange) { return handle(exchange); },
          makeServiceContext("admin", limits, metrics)) {}

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
    bool isReady = Control.isReady() && !IsStopping;
    co_await exchange.respond(isReady ? 200 : 503, "text/plain",
                              isReady ? "ready\n" : "not ready\n");
    co_return;
  }
  if (!isAllowed(exchange)) {
    co_await exchange.respond(
        makeErrorResponse(ResultCode::Unauthorized, Duration::zero()));
    co_return;
  }
  if (exchange.request().method() == http::verb::get)
    co_await handleQuery(exchange);
  else
    co_await handleCommand(exchange);
}

namespace {
/// The parsed form of "/v1/<section>/<name>".
struct ObjectPath {
  std::string Section;
  std::string Name;
};
} // namespace

static std::optional<ObjectPath> parseObjectPath(const std::string &target) {
  if (!target.starts_with(ObjectsPrefix))
    return std::nullopt;
  std::string rest = target.substr(ObjectsPrefix.size());
  std::size_t slash = rest.find('/');
  if (slash == std::string::npos || slash + 1 == rest.size())
    return std::nullopt;
  return ObjectPath{rest.substr(0, slash), rest.substr(slash + 1)};
}

/// The response to an error, with the error's detail instead of the message of
/// its result code.
static HttpResponse makeAdminError(const Error &error) {
  HttpResponse response = makeErrorResponse(error.Code, Duration::zero());
  json::object body{{"code", static_cast<unsigned>(error.Code)},
                    {"name", describe(error.Code).Name},
                    {"message", error.Detail}};
  response.body() = json::serialize(json::object{{"error", body}}) + "\n";
  return response;
}

asio::awaitable<void> AdminServer::handleQuery(HttpExchange &exchange) {
  std::string target(exchange.request().target());
  if (target == "/metrics") {
    co_await exchange.respond(200, "text/plain; version=0.0.4",
                              Measures.text());
    co_return;
  }
  HttpResponse response;
  response.set(http::field::content_type, "application/json");
  std::optional<ObjectPath> path = parseObjectPath(target);
  if (target == "/status") {
    response.body() = statusText();
  } else if (target == "/v1/audit") {
    response.body() = readAuditEntries(Control.configText()) + "\n";
  } else if (target == "/v1/config") {
    response.body() = Control.configText() + "\n";
  } else if (path) {
    auto object = readObject(Control.configText(), path->Section, path->Name);
    if (object) {
      response.set(http::field::etag, objectTag(object.value()));
      response.body() = object.value() + "\n";
    } else {
      response = makeAdminError(object.error());
    }
  } else {
    response = makeAdminError({ResultCode::NotFound, "no such path"});
  }
  co_await exchange.respond(std::move(response));
}

asio::awaitable<void> AdminServer::handleCommand(HttpExchange &exchange) {
  const HttpRequest &request = exchange.request();
  std::optional<ObjectPath> path =
      parseObjectPath(std::string(request.target()));
  bool isPut = request.method() == http::verb::put;
  bool isDelete = request.method() == http::verb::delete_;
  if (!path || (!isPut && !isDelete)) {
    co_await exchange.respond(
        makeAdminError({ResultCode::NotFound, "no such path"}));
    co_return;
  }
  ConfigChange change;
  change.Section = path->Section;
  change.Name = path->Name;
  if (isPut)
    change.Body = request.body();
  std::string tag = exchange.header("If-Match");
  if (!tag.empty())
    change.IfMatch = tag;
  change.ChangeId = exchange.header(ChangeIdHeader);
  if (change.ChangeId.empty())
    change.ChangeId = drawChangeId();
  change.Operator = "admin";
  change.AtUnix = std::time(nullptr);
  std::string id = change.ChangeId;
  ConfigWriter::Done done = co_await write(std::move(change));
  LOG(INFO) << LogEvent("config.change")
                   .with("change_id", id)
                   .with("object", path->Section + "/" + path->Name)
                   .with("code", static_cast<unsigned>(done.Outcome.Code))
                   .with("revision", done.At.get());
  HttpResponse response;
  if (done.Outcome.Code == ResultCode::Ok) {
    response.set(http::field::content_type, "application/json");
    response.body() = json::serialize(json::object{{"revision", done.At.get()},
                                                   {"change_id", id}}) +
                      "\n";
  } else {
    response = makeAdminError(done.Outcome);
  }
  response.set(ChangeIdHeader, id);
  co_await exchange.respond(std::move(response));
}

asio::awaitable<ConfigWriter::Done> AdminServer::write(ConfigChange change) {
  ConfigWriter writer(std::move(change), monotonicNow() + WriteDeadline);
  asio::steady_timer timer(co_await asio::this_coro::executor);
  for (;;) {
    ConfigWriter::Step step = writer.next(monotonicNow());
    if (auto *done = std::get_if<ConfigWriter::Done>(&step))
      co_return *done;
    if (auto *pause = std::get_if<ConfigWriter::Pause>(&step)) {
      timer.expires_after(pause->Span);
      co_await timer.async_wait(asio::use_awaitable);
      continue;
    }
    KvReply reply =
        co_await Platform.ask(std::get<KvCall>(std::move(step)), CallTimeout);
    writer.onReply(reply);
  }
}
