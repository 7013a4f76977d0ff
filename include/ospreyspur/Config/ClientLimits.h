//===- ClientLimits.h - what clients can make a process hold ----*- C++ -*-===//
//
// Divides the memory and the descriptors of a process among what its clients
// can make it hold. The rest is left for the process itself and for what it
// opens: connections to endpoints, the store and other processes.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONFIG_CLIENTLIMITS_H
#define OSPREYSPUR_CONFIG_CLIENTLIMITS_H

#include "ospreyspur/Config/MachineLimits.h"

#include <cstdint>

namespace ospreyspur {

/// Bounds on the sums over all clients of a process.
struct ClientLimits {
  /// Size of the kernel's buffers of a client's connection, each way.
  static constexpr int SocketBufferBytes = 32 << 10;

  /// Connections of callers; 0 without a listener for callers.
  std::size_t CallerConnections = 0;
  /// Connections of each of the other HTTP listeners.
  std::size_t ServiceConnections = 0;
  /// Requests that are being read or handled.
  std::size_t RequestBytes = 0;
  /// Responses that are held until they are complete or written.
  std::size_t ResponseBytes = 0;
  /// Requests of the other HTTP listeners.
  std::size_t ServiceBytes = 0;
};

/// Whether a process has a listener for callers.
enum class CallerAccess : std::uint8_t { None, Listener };

/// Returns the limits for a process on a machine with the limits \p machine,
/// which must name a number of descriptors.
ClientLimits makeClientLimits(const MachineLimits &machine,
                              CallerAccess callers);

} // namespace ospreyspur

#endif // OSPREYSPUR_CONFIG_CLIENTLIMITS_H
