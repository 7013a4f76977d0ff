//===- EndpointFate.h - whether an endpoint has ended -----------*- C++ -*-===//
//
// What can be found out of an endpoint that closed a connection before its
// answer was whole.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_QUARANTINE_ENDPOINTFATE_H
#define OSPREYSPUR_QUARANTINE_ENDPOINTFATE_H

#include <cstdint>

namespace ospreyspur {

/// What became of an endpoint that cut an answer.
enum class EndpointFate : std::uint8_t {
  /// It takes connections, in the same life.
  Alive,
  /// Nothing listens there, or a later life does.
  Ended,
  /// It could not be asked.
  Unknown,
};

} // namespace ospreyspur

#endif // OSPREYSPUR_QUARANTINE_ENDPOINTFATE_H
