//===- Messages.h - what our processes say to each other --------*- C++ -*-===//
//
// The typed messages that the nodes take and give. Codec.h turns them into the
// wire form; the nodes never see that form.
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

/// Entry to agent: would you take a request now? Costs the agent no record.
struct Probe {
  CallId Call;
  WorkspaceId Workspace;
  /// How long the ticket in the answer stays usable.
  Duration ValidFor{};
  /// Hash of the prompt's first block; 0 for none.
  std::uint64_t Prefix = 0;
  std::uint32_t Priority = 0;
  /// Time left until the caller's deadline; zero if that does not matter.
  Duration Deadline{};
};

/// Agent to entry: an estimate, and a ticket if the code is Ok.
struct ProbeReply {
  CallId Call;
  ResultCode Code = ResultCode::Ok;
  /// Expected time until the first token.
  Duration Wait{};
  /// Requests that run or wait at the endpoint.
  std::uint32_t Load = 0;
  /// When to ask again, if not accepting.
  Duration RetryAfter{};
  Ticket Permit;
};

/// Entry to agent: run this request, or attach to it if it is known already.
struct Dispatch {
  Ticket Permit;
  AttemptNumber Attempt;
  /// The offset from which the entry still needs the answer.
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

/// Entry to agent: did this request start? If not, it never will.
struct Resolve {
  Ticket Permit;
};

/// Entry to agent: nobody waits for this answer any more.
struct Cancel {
  RequestId Id;
  AttemptNumber Attempt;
};

/// Agent to entry: the request is queued, runs, or has run.
struct Accepted {
  RequestId Id;
  AttemptNumber Attempt;
};

/// Agent to entry: the request did not run and never will with this ticket,
/// unless the code's outcome is Unknown.
struct Refused {
  RequestId Id;
  AttemptNumber Attempt;
  ResultCode Code = ResultCode::Ok;
  Duration RetryAfter{};
};

/// Agent to entry: the head of the endpoint's answer.
struct Head {
  RequestId Id;
  AttemptNumber Attempt;
  std::uint32_t Status = 0;
  std::string ContentType;
};

/// Agent to entry: a piece of the answer's body.
struct Chunk {
  RequestId Id;
  AttemptNumber Attempt;
  std::uint64_t Offset = 0;
  std::string Data;
};

/// Agent to entry: the answer ends at \c Length, whole if the code is Ok.
struct Finish {
  RequestId Id;
  AttemptNumber Attempt;
  std::uint64_t Length = 0;
  ResultCode Code = ResultCode::Ok;
  /// Which of the endpoint's lives that the agent has seen ran it.
  EngineLife Life{};
};

/// What an agent knows of a request.
enum class RunState : std::uint8_t {
  /// Did not start, and now never will.
  NeverStarts,
  /// Queued, running, or finished and kept.
  Known,
  /// Belongs to an earlier incarnation, or the record is no longer kept.
  CannotTell,
};

/// Agent to entry: the answer to Resolve.
struct ResolveReply {
  RequestId Id;
  RunState State = RunState::CannotTell;
};

/// Agent to entry: whether this endpoint is leaving.
struct Leaving {
  bool IsLeaving = false;
};

/// Entry to agent: the entry has taken note of Leaving and sends no new
/// request; what it sent before has arrived, as links keep the order.
struct LeavingSeen {};

/// Entry to agent: a crash report, which also subscribes the entry to those of
/// the others. Agent to entry: another entry's report, or the agent's own rows
/// to a new subscriber.
struct CrashUpdate {
  /// The reporting entry; empty for an agent's rows.
  std::string Sender;
  /// The agent's subscribers; 0 from an entry.
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
