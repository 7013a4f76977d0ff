//===- EndpointLiveness.h - whether an endpoint has exited ------*- C++ -*-===//
//
// The result of checking an endpoint that closed a connection before its
// response was complete.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_QUARANTINE_ENDPOINTLIVENESS_H
#define OSPREYSPUR_QUARANTINE_ENDPOINTLIVENESS_H

#include <cstdint>

namespace ospreyspur {

/// The state of an endpoint that cut off a response.
enum class EndpointLiveness : std::uint8_t {
  /// The same incarnation accepts connections.
  Alive,
  /// Nothing listens at the address, or a later incarnation does.
  Exited,
  /// The check was inconclusive.
  Unknown,
};

} // namespace ospreyspur

#endif // OSPREYSPUR_QUARANTINE_ENDPOINTLIVENESS_H
