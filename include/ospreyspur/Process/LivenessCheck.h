//===- LivenessCheck.h - checks if an endpoint has exited -------*- C++ -*-===//
//
// Connects to an endpoint that cut off a response, or whose response ended with
// its connection, and finds out whether its process has exited.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_LIVENESSCHECK_H
#define OSPREYSPUR_PROCESS_LIVENESSCHECK_H

#include "ospreyspur/Http/HttpTypes.h"
#include "ospreyspur/Quarantine/EndpointLiveness.h"
#include "ospreyspur/Support/Address.h"
#include "ospreyspur/Support/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>

namespace ospreyspur {

/// A query that tells an endpoint's incarnation from others at its address.
struct IncarnationQuery {
  HttpRequest Request;
  /// Whether the expected incarnation wrote the response. Empty if the response
  /// does not tell.
  std::function<std::optional<bool>(const HttpResponse &)> IsExpected;
};

/// Whether the process of the endpoint at \p address has exited. Without
/// \p query, any process that keeps a connection open counts as the endpoint;
/// with it, the incarnation that is expected has to respond.
boost::asio::awaitable<EndpointLiveness>
checkLiveness(boost::asio::io_context &ioc, TcpAddress address,
              std::optional<IncarnationQuery> query = std::nullopt);

/// The name of \p liveness in logs and metrics.
const char *toString(EndpointLiveness liveness);

/// Keeps a connection to \p address open until the other side closes it, or for
/// \p limit. Waits a short time before it returns, also if the connection
/// fails, so that callers may loop.
boost::asio::awaitable<void> waitForClose(boost::asio::io_context &ioc,
                                          TcpAddress address, Duration limit);

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_LIVENESSCHECK_H
