//===- HttpServer.cpp - connections and requests --------------------------===//
//
// A slow or misbehaving client takes up one connection and no more than its
// limits allow; other connections are not affected.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Http/HttpServer.h"

#include "HttpConnection.h"

#include "ospreyspur/Support/ByteBudget.h"
#include "ospreyspur/Support/LogEvent.h"
#include "ospreyspur/Support/Metrics.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <sys/socket.h>

#include <optional>
#include <string>
#include <utility>

using namespace ospreyspur;
namespace asio = boost::asio;

static constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

/// Pause after the kernel could not accept a connection.
static constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(20);
/// Seconds between two log lines about refused clients of all listeners.
static constexpr double RefusalLogInterval = 0.1;

HttpServer::SharedState::SharedState(asio::io_context &ioc, HttpLimits limits,
                                     HttpHandler handler,
                                     ListenerContext context)
    : Acceptor(ioc), Limits(limits), Handler(std::move(handler)),
      Context(std::move(context)) {
  if (!Context.RequestBytes)
    Context.RequestBytes = std::make_shared<ByteBudget>();
}

void HttpServer::SharedState::evict(ConnectionId id, std::string_view reason) {
  Table.remove(id);
  auto it = Connections.find(id);
  if (it == Connections.end())
    return;
  recordRefusal(reason, 0, it->second->client(), "");
  it->second->close();
}

void HttpServer::SharedState::recordRefusal(
    std::string_view reason, unsigned status,
    const asio::ip::tcp::endpoint &client, std::string_view id) const {
  if (!Context.Measures)
    return;
  Context.Measures->count("clients_refused_total{listener=\"" + Context.Name +
                          "\",reason=\"" + std::string(reason) + "\"}");
  LOG_EVERY_T(INFO, RefusalLogInterval)
      << LogEvent("client.refused")
             .with("listener", Context.Name)
             .with("reason", reason)
             .with("status", status)
             .with("client", client.address().to_string())
             .with("id", id)
             .with("connections", Table.size())
             .with("request_bytes", Context.RequestBytes->used());
}

HttpServer::HttpServer(asio::io_context &ioc, HttpLimits limits,
                       HttpHandler handler, ListenerContext context)
    : State(std::make_shared<SharedState>(ioc, limits, std::move(handler),
                                          std::move(context))) {}

static Error makeListenError(const TcpAddress &address,
                             const boost::system::error_code &ec) {
  return {ResultCode::SettingInvalid,
          "cannot listen on " + address.address().to_string() + ":" +
              std::to_string(address.port()) + ": " + ec.message()};
}

Result<void> HttpServer::bind(const TcpAddress &address) {
  boost::system::error_code ec;
  auto &acceptor = State->Acceptor;
  acceptor.open(address.protocol(), ec);
  if (!ec)
    acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  // Accepted connections inherit the sizes of the buffers.
  if (int n = State->Limits.SocketBufferBytes; !ec && n > 0) {
    acceptor.set_option(asio::socket_base::receive_buffer_size(n), ec);
    acceptor.set_option(asio::socket_base::send_buffer_size(n), ec);
  }
  if (!ec)
    acceptor.bind(address, ec);
  if (ec)
    return makeListenError(address, ec);
  return boost::outcome_v2::success();
}

Result<void> HttpServer::beginQueueing() {
  boost::system::error_code ec;
  auto &acceptor = State->Acceptor;
  acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec)
    return makeListenError(acceptor.local_endpoint(), ec);
  return boost::outcome_v2::success();
}

Result<void> HttpServer::beginAccepting() {
  Result<void> queueing = beginQueueing();
  if (queueing)
    asio::co_spawn(State->Acceptor.get_executor(), acceptLoop(),
                   asio::detached);
  return queueing;
}

Result<void> HttpServer::listen(const TcpAddress &address) {
  Result<void> bound = bind(address);
  return bound ? beginAccepting() : bound;
}

void HttpServer::setLimits(const HttpLimits &limits) { State->Limits = limits; }

void HttpServer::closeAfterResponses() { State->ClosesAfterResponses = true; }

void HttpServer::stopAccepting() {
  auto &acceptor = State->Acceptor;
  State->ClosesAfterResponses = true;
  // Accepts all queued connections first, because close() would reset them.
  boost::system::error_code ec;
  acceptor.non_blocking(true, ec);
  while (!ec) {
    asio::ip::tcp::socket socket(acceptor.get_executor());
    acceptor.accept(socket, ec);
    if (!ec)
      admit(std::move(socket));
  }
  acceptor.close(ec);
  for (const auto &[id, connection] : State->Connections)
    if (connection->isIdle())
      connection->close();
}

std::size_t HttpServer::busyCount() const { return State->Busy; }

asio::awaitable<void> HttpServer::acceptLoop() {
  auto shared = State;
  asio::steady_timer timer(shared->Acceptor.get_executor());
  while (shared->Acceptor.is_open()) {
    auto [ec, socket] = co_await shared->Acceptor.async_accept(AsTuple);
    if (!ec) {
      admit(std::move(socket));
      continue;
    }
    if (ec == asio::error::operation_aborted)
      continue;
    shared->recordRefusal("accept", 0, {}, "");
    std::optional<ConnectionId> longest = shared->Table.longestWaiting();
    if (ec == asio::error::no_descriptors && longest)
      shared->evict(*longest, "descriptors");
    timer.expires_after(AcceptRetryDelay);
    co_await timer.async_wait(AsTuple);
  }
}

/// Tells the client that nothing was read, and closes the connection.
static void refuseConnection(asio::ip::tcp::socket &socket) {
  const ResultInfo &info = describe(ResultCode::TooManyConnections);
  std::string text =
      "HTTP/1.1 " + std::to_string(info.HttpStatus) +
      " Service Unavailable\r\nRetry-After: 0.1\r\nConnection: close\r\n"
      "Content-Length: 0\r\n\r\n";
  // The buffer of a new connection has room for the response.
  ::send(socket.native_handle(), text.data(), text.size(),
         MSG_DONTWAIT | MSG_NOSIGNAL);
}

void HttpServer::admit(asio::ip::tcp::socket socket) {
  if (State->Table.size() >= State->Limits.MaxConnections) {
    std::optional<ConnectionId> longest = State->Table.longestWaiting();
    if (!longest) {
      boost::system::error_code ec;
      State->recordRefusal("connections", 503, socket.remote_endpoint(ec), "");
      refuseConnection(socket);
      return;
    }
    State->evict(*longest, "connections");
  }
  asio::co_spawn(State->Acceptor.get_executor(),
                 serve(State, std::move(socket)), asio::detached);
}

asio::awaitable<void> HttpServer::serve(std::shared_ptr<SharedState> shared,
                                        asio::ip::tcp::socket socket) {
  HttpConnection connection(std::move(shared), std::move(socket));
  co_await connection.run();
}
