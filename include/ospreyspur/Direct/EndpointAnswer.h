//===- EndpointAnswer.h - what an endpoint's answer says ------------*- C++
//-*-===//
//
// The parts of an answer's head that decide what may be done with it.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_ENDPOINTANSWER_H
#define OSPREYSPUR_DIRECT_ENDPOINTANSWER_H

#include "ospreyspur/Pushback/Pushback.h"
#include "ospreyspur/Support/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace ospreyspur {

/// What an answer is to the request that it came for.
enum class AnswerVerdict : std::uint8_t {
  /// The endpoint's own answer; goes to the caller as it is.
  Own,
  /// Its own answer, and the run failed.
  Failed,
  /// It did not run the request, as it is full.
  Full,
  /// It did not run the request: another incarnation has the address.
  OtherEndpoint,
  /// It answers another request; ours may still come.
  Foreign,
  /// Not what a sound endpoint sends; the request may have run.
  Unusable,
};

/// The head of an endpoint's answer.
struct EndpointAnswer {
  unsigned Status = 0;
  AnswerVerdict Verdict = AnswerVerdict::Unusable;
  /// A series of events, each passed on as it comes.
  bool IsEvents = false;
  /// How long the endpoint keeps the connection; nothing if it does not say.
  std::optional<Duration> KeepAlive;
  Pushback Asked;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_ENDPOINTANSWER_H
