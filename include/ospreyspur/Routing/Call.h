//===- Call.h - one caller's request inside an entry ------------*- C++ -*-===//
//
// The state that an EntryNode keeps for a request from arrival to final answer.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_ROUTING_CALL_H
#define OSPREYSPUR_ROUTING_CALL_H

#include "ospreyspur/Routing/EntryActions.h"
#include "ospreyspur/Routing/ProbePicker.h"
#include "ospreyspur/Routing/Reassembler.h"

#include <optional>
#include <set>
#include <vector>

namespace ospreyspur {

/// Where a call stands.
enum class CallStage : std::uint8_t {
  /// Waits for another run of the same suspect; nothing was sent to run.
  Deferred,
  /// Asks endpoints for offers; nothing was sent to run.
  Probing,
  /// Reads the claim of its idempotency key.
  ReadingClaim,
  /// Writes the claim of its idempotency key.
  Claiming,
  /// Sent to an agent that has not confirmed it yet.
  Dispatched,
  /// Confirmed by the agent.
  Accepted,
  /// Its fate is not known; asks the agent.
  Resolving,
};

/// One caller's request inside an entry.
struct Call {
  CallerRequest Request;
  CallStage Stage = CallStage::Probing;
  /// When the caller's wait ends.
  TimePoint Deadline;
  /// When the stage's time is up.
  TimePoint Timer;
  /// Tries within the present stage.
  unsigned Tries = 0;
  /// Whether endpoints are asked although they did not answer lately.
  bool IgnoresSilence = false;

  std::vector<ProbeOffer> Offers;
  std::size_t ProbesOut = 0;
  /// Endpoints not to ask again for this call.
  std::set<EndpointId> Tried;
  ResultCode LastRefusal = ResultCode::NoEndpoint;
  Duration RetryAfter{};

  /// The ticket that the call runs under, once chosen.
  std::optional<Ticket> Permit;
  AttemptNumber Attempt{0};
  unsigned Dispatches = 0;
  Reassembler Answer;
  bool HasHead = false;
  /// Bytes in order that wait for the answer's head.
  std::string Unsent;
  /// Whether an earlier dispatch was given up without proof that it did not
  /// run; the call can no longer end as "not run".
  bool MayHaveRun = false;

  /// When the present dispatch was first sent.
  TimePoint SentAt;
  /// How long a suspect may be deferred, and its random backoff.
  std::optional<TimePoint> DeferUntil;
  std::optional<TimePoint> NotBefore;

  /// When the claim of the key was first asked for.
  std::optional<TimePoint> ClaimReadAt;
  /// The claim's revision as last seen; 0 if there is none.
  Revision ClaimAt;
  KvCallId PendingKv;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_ROUTING_CALL_H
