//===- Call.h - one caller's request inside an entry ------------*- C++ -*-===//
//
// The state that an EntryNode keeps for a request from its arrival to the final
// response.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_ROUTING_CALL_H
#define OSPREYSPUR_ROUTING_CALL_H

#include "ospreyspur/Quarantine/CrashQuarantine.h"
#include "ospreyspur/Routing/EntryActions.h"
#include "ospreyspur/Routing/ProbePicker.h"
#include "ospreyspur/Routing/Reassembler.h"

#include <optional>
#include <set>
#include <vector>

namespace ospreyspur {

/// The stages of a call.
enum class CallStage : std::uint8_t {
  /// A suspect request waits for other runs, a crash verdict, its backoff or a
  /// suitable endpoint; no dispatch is out.
  Deferred,
  /// Waits for the endpoints' offers; no dispatch is out.
  Probing,
  /// Reads the claim on its idempotency key.
  ReadingClaim,
  /// Writes the claim on its idempotency key.
  Claiming,
  /// Sent to an agent that has not yet confirmed the dispatch.
  Dispatched,
  /// Confirmed by the agent.
  Accepted,
  /// Asks the agent whether the dispatch ran, as contact was lost.
  Resolving,
};

/// One caller's request inside an entry.
struct Call {
  CallerRequest Request;
  /// What identifies the request as a possible cause of crashes.
  CrashSubject Subject;
  CallStage Stage = CallStage::Probing;
  /// The caller's deadline.
  TimePoint Deadline;
  /// When the current stage times out.
  TimePoint Timer;
  /// Failed tries since the last reset: probe rounds, sends of a dispatch or
  /// status queries; claim reads and claim writes share one count.
  unsigned Tries = 0;
  /// Whether endpoints that recently did not reply are probed as well.
  bool ProbesUnresponsive = false;

  std::vector<ProbeOffer> Offers;
  std::size_t ProbesOut = 0;
  /// Endpoints that this call must not probe again.
  std::set<EndpointId> Tried;
  ResultCode LastRefusal = ResultCode::NoEndpoint;
  Duration RetryAfter{};

  /// The ticket that authorizes the run, once an offer was chosen.
  std::optional<Ticket> Permit;
  AttemptNumber Attempt{0};
  unsigned Dispatches = 0;
  Reassembler Response;
  bool HasHead = false;
  /// In-order bytes held back until the response's head has arrived.
  std::string Unsent;
  /// Whether an earlier dispatch was abandoned without proof that it did not
  /// run; the call can no longer end as "not run".
  bool MayHaveRun = false;

  /// When the current dispatch was first sent.
  TimePoint SentAt;
  /// When the first part of the current dispatch's response arrived.
  std::optional<TimePoint> FirstDataAt;
  /// Whether its endpoint has been sending the response for some time.
  bool HasProgressed = false;
  /// Until when a suspect request may be deferred.
  std::optional<TimePoint> DeferUntil;
  /// End of the random backoff of a suspect request.
  std::optional<TimePoint> NotBefore;

  /// When the claim on the idempotency key was first requested.
  std::optional<TimePoint> ClaimReadAt;
  /// The revision of the claim as last read; 0 if there is none.
  Revision ClaimRevision;
  KvCallId PendingKv;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_ROUTING_CALL_H
