//===- EndpointPool.h - idle connections to endpoints -----------*- C++ -*-===//
//
// A connection is used by one request at a time. Afterwards the connection is
// kept only if no data is left on it, and it is closed well before the endpoint
// would close it.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_HTTP_ENDPOINTPOOL_H
#define OSPREYSPUR_HTTP_ENDPOINTPOOL_H

#include "ospreyspur/Http/HttpTypes.h"
#include "ospreyspur/Support/Ids.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <map>
#include <memory>
#include <vector>

namespace ospreyspur {

/// A connection to one endpoint.
struct EndpointConnection {
  /// Bounds heads, chunk headers and trailers.
  static constexpr std::size_t MaxBufferBytes = 128U << 10U;

  explicit EndpointConnection(boost::asio::io_context &ioc)
      : Stream(ioc), Buffer(MaxBufferBytes) {}

  boost::beast::tcp_stream Stream;
  boost::beast::flat_buffer Buffer;
  /// When the connection is closed if no request uses it.
  TimePoint KeepUntil;
};

/// The connections of one thread.
class EndpointPool {
public:
  using Connection = std::unique_ptr<EndpointConnection>;

  /// Largest number of idle connections to one endpoint.
  static constexpr std::size_t MaxIdlePerEndpoint = 8;
  /// How long an idle connection is kept if the endpoint states no time.
  static constexpr Duration DefaultIdleTime = std::chrono::seconds(2);
  /// How much earlier than the endpoint this side closes an idle connection.
  static constexpr Duration IdleMargin = std::chrono::milliseconds(1500);

  explicit EndpointPool(boost::asio::io_context &ioc) : Context(ioc) {}

  /// Removes and returns an idle connection to the endpoint \p id; null if none
  /// is open and within its time.
  Connection takeIdle(const EndpointId &id, TimePoint now);
  /// Opens a new connection; null if connecting fails or exceeds \p timeout.
  boost::asio::awaitable<Connection> connect(TcpAddress address,
                                             Duration timeout);
  /// Keeps \p connection for later requests. \p keepAlive is the time for which
  /// the endpoint keeps an idle connection open, if it states one.
  void keep(const EndpointId &id, Connection connection,
            std::optional<Duration> keepAlive, TimePoint now);
  /// Closes connections that have been idle for too long.
  void closeUnused(TimePoint now);

private:
  boost::asio::io_context &Context;
  std::map<EndpointId, std::vector<Connection>> IdleConnections;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_HTTP_ENDPOINTPOOL_H
