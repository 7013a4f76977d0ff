//===- EndpointResponse.h - head of an endpoint's response ------*- C++ -*-===//
//
// The parts of a response's head that decide how the response is handled.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_ENDPOINTRESPONSE_H
#define OSPREYSPUR_DIRECT_ENDPOINTRESPONSE_H

#include "ospreyspur/Pushback/Pushback.h"
#include "ospreyspur/Support/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace ospreyspur {

/// How a response relates to the request that was sent on its connection.
enum class ResponseKind : std::uint8_t {
  /// The endpoint's own response, forwarded to the caller unchanged.
  Own,
  /// The endpoint's own response, which reports a failed run.
  Failed,
  /// The endpoint did not run the request, as it is full.
  Full,
  /// The request was not run: another incarnation has the address.
  OtherIncarnation,
  /// The response belongs to another request; the expected response may still
  /// come.
  Foreign,
  /// Not a valid response of an endpoint; the request may have run.
  Unusable,
};

/// The head of an endpoint's response.
struct EndpointResponse {
  unsigned Status = 0;
  ResponseKind Kind = ResponseKind::Unusable;
  /// The body is a stream of events, each forwarded as it arrives.
  bool IsEvents = false;
  /// How long the endpoint keeps the connection open; unset if not stated.
  std::optional<Duration> KeepAlive;
  Pushback ReceivedPushback;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_ENDPOINTRESPONSE_H
