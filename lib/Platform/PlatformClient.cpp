//===- PlatformClient.cpp - key-value calls as HTTP and JSON --------------===//
//
// POST /kv/get, /kv/put, /kv/renew and /kv/watch. Answers: 200 done, 404 no
// such key or nothing newer, 409 other revision, 429 and 503 refused without
// effect.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Platform/PlatformClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>

#include <memory>

using namespace ospreyspur;
namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {
/// The path and body of a call.
struct KvWire {
  std::string_view Path;
  json::object Body;
};
} // namespace

static std::int64_t toMillis(Duration it) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
}

static KvWire toWire(const KvGet &call) {
  return {"/kv/get", {{"key", call.Key}}};
}

static KvWire toWire(const KvPut &call) {
  return {"/kv/put",
          {{"key", call.Key},
           {"value", call.Value},
           {"expected", call.Expected.get()},
           {"lease_ms", toMillis(call.Lease)}}};
}

static KvWire toWire(const KvRenew &call) {
  return {"/kv/renew", {{"key", call.Key}, {"holder", call.Holder.get()}}};
}

static KvWire toWire(const KvWatch &call) {
  return {"/kv/watch",
          {{"key", call.Key},
           {"after", call.After.get()},
           {"wait_ms", toMillis(call.Wait)}}};
}

static KvReply readReply(const HttpResponse &response) {
  KvReply reply;
  unsigned status = response.result_int();
  if (status == 429 || status == 503) {
    reply.Code = ResultCode::PlatformRefused;
    return reply;
  }
  if (status == 404) {
    reply.Code = ResultCode::NotFound;
    return reply;
  }
  if (status != 200 && status != 409) {
    reply.Code = ResultCode::PlatformBadAnswer;
    return reply;
  }
  reply.Code = status == 200 ? ResultCode::Ok : ResultCode::PlatformConflict;
  boost::system::error_code ec;
  json::value body = json::parse(response.body(), ec);
  const json::object *top = ec ? nullptr : body.if_object();
  const json::value *revision = top ? top->if_contains("revision") : nullptr;
  const json::value *value = top ? top->if_contains("value") : nullptr;
  if (!revision) {
    reply.Code = ResultCode::PlatformBadAnswer;
    return reply;
  }
  reply.At = Revision(revision->to_number<std::uint64_t>(ec));
  if (value && value->is_string())
    reply.Value = std::string(value->get_string());
  return reply;
}

PlatformClient::PlatformClient(asio::io_context &ioc, TcpAddress server)
    : Context(ioc), Client(ioc, std::move(server)) {}

void PlatformClient::call(KvCall call, Duration timeout, Handler handler) {
  auto exchange = [this, timeout, handler = std::move(handler)](
                      KvCall body) -> asio::awaitable<void> {
    handler(co_await ask(std::move(body), timeout));
  };
  // The frame of a coroutine lambda dies with the lambda; keep both.
  auto kept = std::make_shared<decltype(exchange)>(std::move(exchange));
  asio::co_spawn(Context, (*kept)(std::move(call)),
                 [kept](const std::exception_ptr &) {});
}

asio::awaitable<KvReply> PlatformClient::ask(KvCall call, Duration timeout) {
  KvWire wire = std::visit([](const auto &it) { return toWire(it); }, call);
  if (const auto *watch = std::get_if<KvWatch>(&call))
    timeout += watch->Wait;
  HttpRequest request(http::verb::post, {wire.Path.data(), wire.Path.size()},
                      11);
  request.set(http::field::host, "platform");
  request.set(http::field::content_type, "application/json");
  request.body() = json::serialize(wire.Body);
  Result<HttpResponse> response =
      co_await Client.call(std::move(request), timeout);
  if (response)
    co_return readReply(response.value());
  KvReply reply;
  reply.Code = response.error().Code;
  co_return reply;
}
