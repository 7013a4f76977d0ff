//===- ListenerLimits.cpp - limits of a process's listeners ---------------===//
//
// See ListenerLimits.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/ListenerLimits.h"

#include "ospreyspur/Support/ByteBudget.h"

#include <sys/resource.h>

#include <algorithm>
#include <memory>
#include <utility>

using namespace ospreyspur;

/// Used if the kernel sets no limit.
static constexpr std::size_t MaxDescriptors = 1U << 16U;

static std::size_t descriptorLimit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == 0)
    return MaxDescriptors;
  return std::min<std::size_t>(limit.rlim_cur, MaxDescriptors);
}

ClientLimits ospreyspur::findClientLimits(MachineLimits machine,
                                          CallerAccess callers) {
  if (machine.Descriptors == 0)
    machine.Descriptors = descriptorLimit();
  return makeClientLimits(machine, callers);
}

HttpLimits ospreyspur::makeCallerLimits(const ClientLimits &limits) {
  HttpLimits out;
  out.MaxConnections = limits.CallerConnections;
  out.SocketBufferBytes = ClientLimits::SocketBufferBytes;
  return out;
}

ListenerContext ospreyspur::makeCallerContext(const ClientLimits &limits,
                                              std::size_t bodyCopies,
                                              Metrics &metrics) {
  ListenerContext out;
  out.Name = "callers";
  out.RequestBytes = std::make_shared<ByteBudget>(limits.RequestBytes);
  out.BodyCopies = bodyCopies;
  out.Measures = &metrics;
  return out;
}

ListenerContext ospreyspur::makeServiceContext(std::string name,
                                               const ClientLimits &limits,
                                               Metrics &metrics) {
  ListenerContext out;
  out.Name = std::move(name);
  out.RequestBytes = std::make_shared<ByteBudget>(limits.ServiceBytes);
  out.Measures = &metrics;
  return out;
}

HttpLimits ospreyspur::makeServiceLimits(const ClientLimits &limits,
                                         std::size_t maxBodyBytes) {
  HttpLimits out;
  out.MaxBodyBytes = maxBodyBytes;
  out.MaxConnections = limits.ServiceConnections;
  out.SocketBufferBytes = ClientLimits::SocketBufferBytes;
  return out;
}
