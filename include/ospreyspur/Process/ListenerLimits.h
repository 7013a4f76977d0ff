//===- ListenerLimits.h - limits of a process's listeners -------*- C++ -*-===//
//
// Applies a process's ClientLimits to its HTTP servers.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_LISTENERLIMITS_H
#define OSPREYSPUR_PROCESS_LISTENERLIMITS_H

#include "ospreyspur/Config/ClientLimits.h"
#include "ospreyspur/Http/HttpTypes.h"
#include "ospreyspur/Http/ListenerContext.h"

#include <string>

namespace ospreyspur {

/// Body size of listeners whose requests have no body.
inline constexpr std::size_t NoBodyBytes = 1024;

/// Returns the limits on clients for \p machine. If it names no number of
/// descriptors, the kernel's limit applies.
ClientLimits findClientLimits(MachineLimits machine, CallerAccess callers);

/// Limits of the listener for callers.
HttpLimits makeCallerLimits(const ClientLimits &limits);

/// The context of the listener for callers. \p bodyCopies is how often the body
/// of a request is in memory while it is handled.
ListenerContext makeCallerContext(const ClientLimits &limits,
                                  std::size_t bodyCopies, Metrics &metrics);

/// Limits of a listener for operators or the platform. \p maxBodyBytes is the
/// largest body of a request.
HttpLimits makeServiceLimits(const ClientLimits &limits,
                             std::size_t maxBodyBytes);

/// The context of such a listener, named \p name, with a budget of its own.
ListenerContext makeServiceContext(std::string name, const ClientLimits &limits,
                                   Metrics &metrics);

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_LISTENERLIMITS_H
