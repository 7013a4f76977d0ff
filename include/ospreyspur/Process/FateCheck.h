//===- FateCheck.h - asks whether an endpoint has ended ---------*- C++ -*-===//
//
// Connects to an endpoint that cut an answer and reports what became of its
// process.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_FATECHECK_H
#define OSPREYSPUR_PROCESS_FATECHECK_H

#include "ospreyspur/Quarantine/EndpointFate.h"
#include "ospreyspur/Support/Address.h"
#include "ospreyspur/Support/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>

namespace ospreyspur {

/// Reads from an endpoint whether it is still in the same life; nothing if it
/// does not say.
using LifeCheck = std::function<boost::asio::awaitable<std::optional<bool>>()>;

/// The fate of the endpoint at \p address. Without \p isSameLife, an endpoint
/// that keeps a connection open counts as alive.
boost::asio::awaitable<EndpointFate> checkFate(boost::asio::io_context &ioc,
                                               TcpAddress address,
                                               LifeCheck isSameLife = nullptr);

/// The word for \p fate in logs and metrics.
const char *toString(EndpointFate fate);

/// Keeps a connection to \p address until the other side closes it, or for
/// \p limit; returns a little later at the earliest.
boost::asio::awaitable<void> waitForClose(boost::asio::io_context &ioc,
                                          TcpAddress address, Duration limit);

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_FATECHECK_H
