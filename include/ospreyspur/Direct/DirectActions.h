//===- DirectActions.h - inputs and outputs of a DirectNode -----*- C++ -*-===//
//
// The types of the inputs that a DirectNode takes and of the actions that it
// returns to the surrounding I/O code.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_DIRECTACTIONS_H
#define OSPREYSPUR_DIRECT_DIRECTACTIONS_H

#include "ospreyspur/Direct/EndpointRecord.h"
#include "ospreyspur/Direct/FleetConfig.h"
#include "ospreyspur/Quarantine/EndpointLiveness.h"
#include "ospreyspur/Support/Digest.h"
#include "ospreyspur/Support/ResultCode.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ospreyspur {

/// The prompt and output sizes that a caller states for a generation.
struct TokenCounts {
  unsigned Prompt = 0;
  /// Maximum number of output tokens.
  unsigned Output = 0;
};

/// A client's request that has a route and, if needed, a valid key.
struct DirectRequest {
  CallId Id;
  /// The identifier that the caller gave the request, for logs.
  std::string Label;
  /// Keeps \c Route alive.
  std::shared_ptr<const FleetConfig> Config;
  const RouteRule *Route = nullptr;
  WorkspaceId Workspace;
  unsigned Priority = 0;
  /// Time left until the caller's deadline; unset if the caller states none.
  std::optional<Duration> TimeLeft;
  TokenCounts Tokens;
  /// Digest that identifies the request when it is sent again; 0 if it cannot
  /// be identified.
  RequestDigest Digest;
  /// Digests of the parts of its prompt that other requests may share.
  std::vector<RequestDigest> Parts;
};

/// How an attempt at an endpoint ended.
enum class AttemptEnd : std::uint8_t {
  /// The response is complete.
  Complete,
  /// The endpoint rejected the request as it is full, without running it.
  Full,
  /// Another incarnation has the address and did not run the request.
  OtherIncarnation,
  /// Nothing was sent, as no connection could be established.
  NeverSent,
  /// Nothing was sent, as the endpoint had stopped accepting requests since it
  /// was picked.
  Withheld,
  /// A complete response that reports a failed run.
  Failed,
  /// The request was sent, but the response is missing, truncated or belongs to
  /// another request.
  Lost,
  /// The response broke off after part of it was forwarded to the caller.
  BrokeOff,
};

/// Which side closed an attempt's connection.
enum class ConnectionEnd : std::uint8_t {
  /// The connection is open, or this process closed it.
  Ours,
  /// The endpoint closed or reset it before the response was complete.
  Endpoint,
};

/// Sends the request to an endpoint.
struct StartAttempt {
  CallId Call;
  EndpointRecord Endpoint;
  /// The attempt is abandoned at this time.
  TimePoint Deadline;
  unsigned Number = 1;
  /// Silent period after which a stream that can resume at another endpoint is
  /// migrated.
  Duration MaxIdleTime{};
};

/// Ends the call at once with this result code.
struct EndCall {
  CallId Call;
  ResultCode Code = ResultCode::Ok;
  /// When the caller should retry; zero if not stated.
  Duration RetryAfter{};
  /// The part of the prompt that is quarantined, if that is the reason.
  RequestDigest Part{};
};

/// Forwards the endpoint's own error response to the caller.
struct ForwardResponse {
  CallId Call;
};

/// Why an attempt is stopped.
enum class StopReason : std::uint8_t {
  /// The response cannot complete before the deadline at its endpoint.
  TooSlow,
  /// The endpoint has sent nothing for longer than the allowed silent period.
  Silent,
  /// The request is quarantined because it crashes endpoints. It is not sent to
  /// another endpoint.
  Quarantined,
  /// The endpoint is a rank that delays its whole group and is to be emptied.
  SlowRank,
};

/// Stops the current attempt. The call continues at another endpoint, or ends
/// if its request is quarantined.
struct StopAttempt {
  CallId Call;
  StopReason Reason = StopReason::TooSlow;
  /// For the log: the expected inter-event gap at the endpoint, which is zero
  /// if the request is quarantined, and the time left until the deadline.
  Duration Gap{};
  Duration TimeLeft{};
};

/// Sends a status query to this endpoint.
struct QueryEndpoint {
  EndpointRecord Endpoint;
};

/// Checks whether this endpoint has exited. onChecked() takes the result.
struct CheckEndpoint {
  EndpointRecord Endpoint;
};

/// The status that an endpoint reports in response to a status query.
struct EndpointStatus {
  /// The group whose steps the endpoint takes part in; empty if there is none.
  GroupId Group;
  /// False while the group is being formed and the endpoint accepts no
  /// requests.
  bool IsOpen = true;
  /// Number of requests in progress, from all entries.
  unsigned Running = 0;
  /// Slowdown factor; 1 is normal speed.
  double Slowdown = 1;
};

/// One output of the direct path's state machine.
using DirectAction = std::variant<StartAttempt, EndCall, ForwardResponse,
                                  QueryEndpoint, CheckEndpoint, StopAttempt>;
using DirectActions = std::vector<DirectAction>;

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_DIRECTACTIONS_H
