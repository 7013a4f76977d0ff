//===- EndpointPool.h - kept connections to endpoints -----------*- C++ -*-===//
//
// One request at a time uses a connection. It is kept afterwards only if
// nothing is left on it, and given up well before the endpoint would close it.
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
  explicit EndpointConnection(boost::asio::io_context &ioc) : Stream(ioc) {}

  boost::beast::tcp_stream Stream;
  boost::beast::flat_buffer Buffer;
  /// When an unused connection is given up.
  TimePoint KeepUntil;
};

/// The connections of one thread.
class EndpointPool {
public:
  using Connection = std::unique_ptr<EndpointConnection>;

  /// Kept connections of one endpoint.
  static constexpr std::size_t MaxKept = 8;
  /// How long an unused connection is kept if the endpoint does not say.
  static constexpr Duration DefaultKeep = std::chrono::seconds(2);
  /// How much earlier than the endpoint a connection is given up.
  static constexpr Duration KeepMargin = std::chrono::milliseconds(1500);

  explicit EndpointPool(boost::asio::io_context &ioc) : Context(ioc) {}

  /// A kept connection; null if there is none that still stands.
  Connection takeKept(const EndpointId &id, TimePoint now);
  /// A new connection; null if it is not made within \p timeout.
  boost::asio::awaitable<Connection> connect(TcpAddress address,
                                             Duration timeout);
  /// Keeps \p connection for later.
  void keep(const EndpointId &id, Connection connection,
            std::optional<Duration> keepAlive, TimePoint now);
  /// Closes what has been unused too long.
  void closeUnused(TimePoint now);

private:
  boost::asio::io_context &Context;
  std::map<EndpointId, std::vector<Connection>> Kept;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_HTTP_ENDPOINTPOOL_H
