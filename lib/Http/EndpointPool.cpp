//===- EndpointPool.cpp - idle connections to endpoints -------------------===//
//
// See EndpointPool.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Http/EndpointPool.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

using namespace ospreyspur;
namespace asio = boost::asio;

static constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
/// A connection whose data stays unacknowledged for this time is closed,
/// because a host that has lost power closes nothing itself.
static constexpr int UserTimeoutMs = 4000;

/// Returns whether an idle connection is open and has no data to be read.
static bool isReusable(asio::ip::tcp::socket &socket) {
  char byte = 0;
  ssize_t n = ::recv(socket.native_handle(), &byte, sizeof(byte),
                     MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

EndpointPool::Connection EndpointPool::takeIdle(const EndpointId &id,
                                                TimePoint now) {
  auto it = IdleConnections.find(id);
  while (it != IdleConnections.end() && !it->second.empty()) {
    Connection connection = std::move(it->second.back());
    it->second.pop_back();
    if (now < connection->KeepUntil && isReusable(connection->Stream.socket()))
      return connection;
  }
  return nullptr;
}

asio::awaitable<EndpointPool::Connection>
EndpointPool::connect(TcpAddress address, Duration timeout) {
  auto connection = std::make_unique<EndpointConnection>(Context);
  connection->Stream.expires_after(timeout);
  auto [ec] = co_await connection->Stream.async_connect(address, AsTuple);
  if (ec)
    co_return nullptr;
  auto &socket = connection->Stream.socket();
  socket.set_option(asio::ip::tcp::no_delay(true), ec);
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &UserTimeoutMs, sizeof(UserTimeoutMs));
  co_return connection;
}

void EndpointPool::keep(const EndpointId &id, Connection connection,
                        std::optional<Duration> keepAlive, TimePoint now) {
  Duration span = keepAlive ? *keepAlive - IdleMargin : DefaultIdleTime;
  std::vector<Connection> &kept = IdleConnections[id];
  if (span <= Duration::zero() || kept.size() >= MaxIdlePerEndpoint)
    return;
  connection->KeepUntil = now + span;
  connection->Stream.expires_never();
  kept.push_back(std::move(connection));
}

void EndpointPool::closeUnused(TimePoint now) {
  for (auto &[id, connections] : IdleConnections)
    std::erase_if(connections,
                  [now](const Connection &it) { return it->KeepUntil <= now; });
  std::erase_if(IdleConnections,
                [](const auto &it) { return it.second.empty(); });
}
