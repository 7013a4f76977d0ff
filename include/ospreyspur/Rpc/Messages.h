//===- Messages.h - messages between processes ------------------*- C++ -*-===//
//
// The typed messages that the nodes receive and send. Codec.h converts between
// these and the wire form, which the nodes never handle.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_RPC_MESSAGES_H
#define OSPREYSPUR_RPC_MESSAGES_H

#include "ospreyspur/Config/GossipMessages.h"
#include "ospreyspur/Experts/GroupMessages.h"
#include "ospreyspur/Experts/MapOrder.h"
#include "ospreyspur/Ledger/Ticket.h"
#include "ospreyspur/Quarantine/CrashReport.h"
#include "ospreyspur/Support/Ids.h"
#include "ospreyspur/Support/ResultCode.h"
#include "ospreyspur/Support/Time.h"

#include <cstdint>
#include <string>
#include <variant>

namespace ospreyspur {

/// Entry to agent: asks whether the endpoint would accept a request now. The
/// agent keeps no ledger record for a probe.
struct Probe {
  CallId Call;
  WorkspaceId Workspace;
  /// How long the ticket in the reply stays valid.
  Duration ValidFor{};
  /// Hash of the first block of the prompt; 0 if there is no prompt.
  std::uint64_t Prefix = 0;
  std::uint32_t Priority = 0;
  /// Time left until the caller's deadline; zero if the deadline is to be
  /// ignored.
  Duration Deadline{};
};

/// Agent to entry: the estimated wait, and a ticket if the code is Ok.
struct ProbeReply {
  CallId Call;
  ResultCode Code = ResultCode::Ok;
  /// Expected time until the first token.
  Duration Wait{};
  /// Requests that are running or queued at the endpoint.
  std::uint32_t Load = 0;
  /// When to probe again, if the endpoint does not accept the request.
  Duration RetryAfter{};
  Ticket Permit;
};

/// Entry to agent: starts a request, or attaches to it if the agent already has
/// it.
struct Dispatch {
  Ticket Permit;
  AttemptNumber Attempt;
  /// Offset of the first byte of the response that the entry still needs.
  std::uint64_t ResumeFrom = 0;
  /// Time left until the caller's deadline.
  Duration Deadline{};
  std::uint32_t Priority = 0;
  bool Repeatable = false;
  std::string Method;
  std::string Target;
  std::string ContentType;
  std::string Body;
};

/// Entry to agent: asks whether this request has started. If it has not, the
/// agent will never start it.
struct Resolve {
  Ticket Permit;
};

/// Entry to agent: no caller waits for this response any more.
struct Cancel {
  RequestId Id;
  AttemptNumber Attempt;
};

/// Agent to entry: the request is queued, is running, or has run.
struct Accepted {
  RequestId Id;
  AttemptNumber Attempt;
};

/// Agent to entry: the request did not run and will never run with this ticket,
/// unless the outcome of the code is Unknown.
struct Refused {
  RequestId Id;
  AttemptNumber Attempt;
  ResultCode Code = ResultCode::Ok;
  Duration RetryAfter{};
};

/// Agent to entry: status and content type of the endpoint's response.
struct Head {
  RequestId Id;
  AttemptNumber Attempt;
  std::uint32_t Status = 0;
  std::string ContentType;
};

/// Agent to entry: a part of the response body.
struct Chunk {
  RequestId Id;
  AttemptNumber Attempt;
  std::uint64_t Offset = 0;
  std::string Data;
};

/// Agent to entry: the response ends at \c Length and is complete if the code
/// is Ok.
struct Finish {
  RequestId Id;
  AttemptNumber Attempt;
  std::uint64_t Length = 0;
  ResultCode Code = ResultCode::Ok;
  /// The endpoint's incarnation that ran the request, as counted by the agent.
  EngineIncarnation Incarnation{};
};

/// What an agent knows about a request.
enum class RunState : std::uint8_t {
  /// The request has not started and will never start.
  NeverStarts,
  /// The request is queued, running, or finished with its record kept.
  Known,
  /// The request belongs to an earlier incarnation, or its record is no longer
  /// kept.
  CannotTell,
};

/// Agent to entry: the reply to Resolve.
struct ResolveReply {
  RequestId Id;
  RunState State = RunState::CannotTell;
};

/// Agent to entry: whether this endpoint is leaving.
struct Leaving {
  bool IsLeaving = false;
};

/// Entry to agent: acknowledges Leaving. The entry sends no new requests. All
/// earlier ones have arrived, because links preserve the order of messages.
struct LeavingSeen {};

/// Entry to agent: a crash report, which also subscribes the entry to the
/// reports of the other entries. Agent to entry: another entry's report, or the
/// agent's own records for a new subscriber.
struct CrashUpdate {
  /// The reporting entry; empty for an agent's own records.
  std::string Sender;
  /// Number of the agent's subscribers; 0 from an entry.
  std::uint32_t Entries = 0;
  CrashReport Report;
};

/// Any message between two of our processes.
using Message = std::variant<Probe, ProbeReply, Dispatch, Resolve, Cancel,
                             Accepted, Refused, Head, Chunk, Finish,
                             ResolveReply, Leaving, LeavingSeen, GroupOrder,
                             GroupReply, GossipDigest, GossipUpdate, RankStatus,
                             MapOrder, MapOrderReply, LeaderCheck, CrashUpdate>;

} // namespace ospreyspur

#endif // OSPREYSPUR_RPC_MESSAGES_H
