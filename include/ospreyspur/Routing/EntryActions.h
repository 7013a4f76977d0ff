//===- EntryActions.h - inputs and outputs of an EntryNode ------*- C++ -*-===//
//
// The requests that the process passes to the entry's state machine, and the
// actions that the state machine returns.
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

/// A client's request whose workspace has been identified.
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
  bool IsRetryable = false;
  /// Time left until the caller's deadline.
  Duration Deadline{};
  /// The caller's Idempotency-Key header.
  std::optional<std::string> IdempotencyKey;
  /// A ticket from POST /v1/tickets.
  std::optional<Ticket> CallerTicket;
  /// Whether the caller asked only for a ticket; nothing is run then.
  bool WantsTicket = false;
  /// Texts that identify the parts of the prompt that other requests may share.
  std::vector<std::string> PromptParts;
};

/// Send \c Body to the agent of \c To.
struct SendToAgent {
  EndpointId To;
  Message Body;
};

/// Begin the response to the caller.
struct ResponseHead {
  CallId Call;
  std::uint32_t Status = 0;
  std::string ContentType;
};

/// Send a part of the response to the caller.
struct ResponseData {
  CallId Call;
  std::string Data;
};

/// The response to the caller is complete.
struct ResponseEnd {
  CallId Call;
};

/// The call ends without a complete response. If the head was already sent, the
/// response must be marked as truncated.
struct ResponseError {
  CallId Call;
  ResultCode Code = ResultCode::Ok;
  Duration RetryAfter{};
};

/// Send the ticket that the caller asked for.
struct ReturnTicket {
  CallId Call;
  Ticket Permit;
};

/// Send a request to the key-value store.
struct CallKeyValueStore {
  KvRequest Request;
};

/// One output of the entry's state machine.
using EntryAction =
    std::variant<SendToAgent, ResponseHead, ResponseData, ResponseEnd,
                 ResponseError, ReturnTicket, CallKeyValueStore>;
using EntryActions = std::vector<EntryAction>;

} // namespace ospreyspur

#endif // OSPREYSPUR_ROUTING_ENTRYACTIONS_H
