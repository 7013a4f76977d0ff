//===- EntryActions.h - inputs and outputs of an EntryNode ------*- C++ -*-===//
//
// What the shell hands to the entry's state machine, and what that asks for.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_ROUTING_ENTRYACTIONS_H
#define OSPREYSPUR_ROUTING_ENTRYACTIONS_H

#include "ospreyspur/Platform/KeyValue.h"
#include "ospreyspur/Rpc/Messages.h"
#include "ospreyspur/Support/Digest.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ospreyspur {

/// A request as a caller sent it, with its workspace already known.
struct CallerRequest {
  CallId Id;
  WorkspaceId Workspace;
  ServiceId Service;
  std::string Method;
  std::string Target;
  std::string ContentType;
  std::string Body;
  /// Hash of the prompt's first block; 0 for none.
  std::uint64_t Prefix = 0;
  std::uint32_t Priority = 0;
  bool IsRepeatable = false;
  /// Time left until the caller's deadline.
  Duration Deadline{};
  /// The caller's Idempotency-Key header.
  std::optional<std::string> IdempotencyKey;
  /// A ticket from POST /v1/tickets.
  std::optional<Ticket> CallerTicket;
  /// Only a ticket is wanted; nothing is run.
  bool WantsTicket = false;
  /// What the request is known by when it comes again; the entry works it out.
  RequestDigest Digest;
};

/// Send \c Body to the agent of \c To.
struct SendToAgent {
  EndpointId To;
  Message Body;
};

/// Begin the caller's answer.
struct AnswerHead {
  CallId Call;
  std::uint32_t Status = 0;
  std::string ContentType;
};

/// Pass on a part of the caller's answer.
struct AnswerData {
  CallId Call;
  std::string Data;
};

/// The caller's answer is whole.
struct AnswerEnd {
  CallId Call;
};

/// The call ends without a whole answer. If a head was sent before, the answer
/// must be marked as cut.
struct AnswerError {
  CallId Call;
  ResultCode Code = ResultCode::Ok;
  Duration RetryAfter{};
};

/// The caller's ticket.
struct AnswerTicket {
  CallId Call;
  Ticket Permit;
};

/// Make a call on the platform's service.
struct CallPlatform {
  KvRequest Request;
};

/// One output of the entry's state machine.
using EntryAction = std::variant<SendToAgent, AnswerHead, AnswerData, AnswerEnd,
                                 AnswerError, AnswerTicket, CallPlatform>;
using EntryActions = std::vector<EntryAction>;

} // namespace ospreyspur

#endif // OSPREYSPUR_ROUTING_ENTRYACTIONS_H
