//===- ClientLimitsTest.cpp - what clients can make a process hold --------===//
//
// Guards against limits whose sum exceeds the machine, and against limits that
// clients meet who behave.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Config/ClientLimits.h"

#include <doctest/doctest.h>

#include <initializer_list>

using namespace ospreyspur;

static constexpr std::size_t Megabyte = 1'000'000;
/// Memory of a process without clients, on the smallest machine.
static constexpr std::size_t OwnBytes = 30 * Megabyte;
static constexpr std::size_t LargestBodyBytes = 4U << 20U;

TEST_CASE("all limits together fit into the machine") {
  for (std::size_t memory : {128 * Megabyte, 260 * Megabyte, 2000 * Megabyte})
    for (std::size_t descriptors : {256U, 1024U, 2048U, 4100U, 65536U})
      for (CallerAccess callers :
           {CallerAccess::None, CallerAccess::Listener}) {
        CAPTURE(memory);
        CAPTURE(descriptors);
        ClientLimits limits = makeClientLimits({memory, descriptors}, callers);
        // A caller's request may need a connection to an endpoint; there are up
        // to three other listeners.
        std::size_t used = limits.ServiceConnections * 3;
        if (callers == CallerAccess::Listener)
          used += limits.CallerConnections * 2;
        CHECK(used < descriptors);
        std::size_t bytes = limits.RequestBytes + limits.ResponseBytes +
                            3 * limits.ServiceBytes +
                            limits.CallerConnections *
                                std::size_t(ClientLimits::SocketBufferBytes);
        CHECK(bytes + OwnBytes < memory);
      }
}

TEST_CASE("clients that behave do not meet the limits") {
  // The platform's entry: a request of the largest size is read and sent on,
  // and hundreds of callers of usual size are served at the same time.
  ClientLimits entry =
      makeClientLimits({260 * Megabyte, 4100}, CallerAccess::Listener);
  CHECK(entry.RequestBytes > 2 * LargestBodyBytes);
  CHECK(entry.RequestBytes > 1000 * (32U << 10U));
  CHECK(entry.CallerConnections >= 1000);
  ClientLimits rank =
      makeClientLimits({128 * Megabyte, 2048}, CallerAccess::None);
  // A balancer probes each process once a second; operators look on.
  CHECK(entry.ServiceConnections >= 16);
  CHECK(rank.ServiceConnections >= 16);
}
