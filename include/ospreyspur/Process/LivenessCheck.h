//===- LivenessCheck.h - checks if an endpoint has exited -------*- C++ -*-===//
//
// Connects to an endpoint that cut off a response and finds out whether its
// process has exited.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_LIVENESSCHECK_H
#define OSPREYSPUR_PROCESS_LIVENESSCHECK_H

#include "ospreyspur/Quarantine/EndpointLiveness.h"
#include "ospreyspur/Support/Address.h"
#include "ospreyspur/Support/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>

namespace ospreyspur {

/// Queries an endpoint whether it is still the same incarnation; empty if the
/// endpoint does not report this.
using IncarnationCheck =
    std::function<boost::asio::awaitable<std::optional<bool>>()>;

/// Whether the process of the endpoint at \p address has exited. Without
/// \p isSameIncarnation, an endpoint that keeps a connection open counts as
/// alive.
boost::asio::awaitable<EndpointLiveness>
checkLiveness(boost::asio::io_context &ioc, TcpAddress address,
              IncarnationCheck isSameIncarnation = nullptr);

/// The name of \p liveness in logs and metrics.
const char *toString(EndpointLiveness liveness);

/// Keeps a connection to \p address open until the other side closes it, or for
/// \p limit. Waits a short time before it returns, also if the connection
/// fails, so that callers may loop.
boost::asio::awaitable<void> waitForClose(boost::asio::io_context &ioc,
                                          TcpAddress address, Duration limit);

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_LIVENESSCHECK_H
