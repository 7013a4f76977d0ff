//===- DirectActions.h - inputs and outputs of a DirectNode -----*- C++ -*-===//
//
// What the shell hands to the direct path's state machine, and what that asks
// for.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_DIRECTACTIONS_H
#define OSPREYSPUR_DIRECT_DIRECTACTIONS_H

#include "ospreyspur/Direct/EndpointRecord.h"
#include "ospreyspur/Direct/FleetConfig.h"
#include "ospreyspur/Quarantine/EndpointFate.h"
#include "ospreyspur/Support/Digest.h"
#include "ospreyspur/Support/ResultCode.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ospreyspur {

/// The sizes that a caller states for a generation.
struct TokenCounts {
  unsigned Prompt = 0;
  /// Most tokens that come out.
  unsigned Answer = 0;
};

/// A caller's request that has a route and, if needed, a known key.
struct DirectRequest {
  CallId Id;
  /// The caller's name for it, for logs.
  std::string Label;
  /// Keeps \c Route alive.
  std::shared_ptr<const FleetConfig> Config;
  const RouteRule *Route = nullptr;
  WorkspaceId Workspace;
  unsigned Priority = 0;
  /// What the caller says is left; nothing if it says nothing.
  std::optional<Duration> TimeLeft;
  TokenCounts Tokens;
  /// What it is known by when it comes again; 0: never.
  RequestDigest Digest;
};

/// How an attempt at an endpoint ended.
enum class AttemptEnd : std::uint8_t {
  /// The whole answer came.
  Complete,
  /// The endpoint said that it did not run it as it is full.
  Full,
  /// Another incarnation has the address; it did not run it.
  OtherEndpoint,
  /// Nothing was sent: no connection.
  NeverSent,
  /// Nothing was sent: by then the endpoint took no more requests.
  Withheld,
  /// A whole answer that says the run failed.
  Failed,
  /// Sent; no answer, a broken one, or one that is not its own.
  Lost,
  /// The answer had begun to be passed on and broke off.
  BrokeOff,
};

/// Who ended an attempt's connection.
enum class ConnectionEnd : std::uint8_t {
  /// It stands, or this process closed it.
  Ours,
  /// The endpoint closed or reset it before its answer was whole.
  Endpoint,
};

/// Send the request to this endpoint.
struct StartAttempt {
  CallId Call;
  EndpointRecord Endpoint;
  /// Give it up at this moment.
  TimePoint Deadline;
  unsigned Number = 1;
  /// Silence after which a stream that can go on elsewhere is moved.
  Duration Silence{};
};

/// Answer the caller with this code at once.
struct EndCall {
  CallId Call;
  ResultCode Code = ResultCode::Ok;
  /// When to come back; zero for none.
  Duration RetryAfter{};
};

/// Pass on the endpoint's own failed answer.
struct PassOnAnswer {
  CallId Call;
};

/// Why an attempt is stopped.
enum class MoveReason : std::uint8_t {
  /// The answer cannot end in time where it is.
  TooSlow,
  /// Nothing has come for longer than it may take.
  Silent,
  /// The request ends endpoints; it goes nowhere else either.
  Quarantined,
};

/// Break the attempt under way off; the call goes on elsewhere.
struct StopAttempt {
  CallId Call;
  MoveReason Reason = MoveReason::TooSlow;
  /// What it was judged by: the pause to expect between events there, and the
  /// time that is left.
  Duration Gap{};
  Duration TimeLeft{};
};

/// Ask this endpoint for its condition.
struct AskEndpoint {
  EndpointRecord Endpoint;
};

/// Find out whether this endpoint has ended; onChecked() takes the answer.
struct CheckEndpoint {
  EndpointRecord Endpoint;
};

/// What an endpoint says of itself when asked.
struct EndpointCondition {
  /// The group whose steps it takes part in; empty if there is none.
  GroupId Group;
  /// False while its group is being formed: it then takes nothing.
  bool IsOpen = true;
  /// Requests of all callers that it runs.
  unsigned Running = 0;
  /// How many times slower than usual it works; 1 if as usual.
  double Pace = 1;
};

/// One output of the direct path's state machine.
using DirectAction = std::variant<StartAttempt, EndCall, PassOnAnswer,
                                  AskEndpoint, CheckEndpoint, StopAttempt>;
using DirectActions = std::vector<DirectAction>;

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_DIRECTACTIONS_H
