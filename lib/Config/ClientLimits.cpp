//===- ClientLimits.cpp - what clients can make a process hold ------------===//
//
// See ClientLimits.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Config/ClientLimits.h"

#include <algorithm>

using namespace ospreyspur;

/// Descriptors that are kept for files.
static constexpr std::size_t FileDescriptors = 200;
/// Parts of the sockets, in 32ths. Each request of a caller may need a
/// connection to an endpoint, so this part is needed twice.
static constexpr std::size_t SocketParts = 32;
static constexpr std::size_t CallerParts = 12;
static constexpr std::size_t ServiceParts = 1;
static constexpr std::size_t MaxServiceConnections = 32;
/// Memory of a connection beside its requests: unread data in the kernel's
/// buffer, the read buffer and the state of the connection.
static constexpr std::size_t ConnectionBytes =
    ClientLimits::SocketBufferBytes + (16U << 10U);
/// Parts of the memory for connections, requests and responses, each.
static constexpr std::size_t MemoryShare = 5;
static constexpr std::size_t ServiceMemoryShare = 32;

ClientLimits ospreyspur::makeClientLimits(const MachineLimits &machine,
                                          CallerAccess callers) {
  std::size_t descriptors = machine.Descriptors;
  std::size_t sockets =
      descriptors - std::min(FileDescriptors, descriptors / 4);
  std::size_t share = machine.MemoryBytes / MemoryShare;
  ClientLimits out;
  if (callers == CallerAccess::Listener)
    out.CallerConnections =
        std::max<std::size_t>(1, std::min(sockets * CallerParts / SocketParts,
                                          share / ConnectionBytes));
  out.ServiceConnections = std::clamp<std::size_t>(
      sockets * ServiceParts / SocketParts, 1, MaxServiceConnections);
  out.RequestBytes = share;
  out.ResponseBytes = share;
  out.ServiceBytes = machine.MemoryBytes / ServiceMemoryShare;
  return out;
}
