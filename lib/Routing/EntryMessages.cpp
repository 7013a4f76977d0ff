//===- EntryMessages.cpp - agents' messages at an entry -------------------===//
//
// A message that names an attempt other than the current one is late and
// changes nothing. A ResolveReply names no attempt; it applies to all calls of
// its request in the stage Resolving.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Routing/EntryNode.h"

#include "ospreyspur/Support/HttpSyntax.h"

#include <algorithm>
#include <utility>

using namespace ospreyspur;

EntryActions EntryNode::onMessage(const EndpointId &from,
                                  const Message &message, TimePoint now) {
  std::visit([&](const auto &it) { handle(from, it, now); }, message);
  return takeActions();
}

template <typename T>
void EntryNode::handle(const EndpointId & /*from*/, const T & /*other*/,
                       TimePoint /*now*/) {
  // Messages for other roles are ignored.
}

void EntryNode::handle(const EndpointId &from, const ProbeReply &reply,
                       TimePoint now) {
  UnresponsiveUntil.erase(from);
  auto it = Calls.find(reply.Call);
  if (it == Calls.end() || it->second.Stage != CallStage::Probing)
    return;
  Call &call = it->second;
  auto isSame = [&](const ProbeOffer &o) { return o.Endpoint == from; };
  if (std::any_of(call.Offers.begin(), call.Offers.end(), isSame))
    return;
  call.Offers.push_back({from, reply});
  if (call.Offers.size() >= call.ProbesOut)
    chooseOffer(call, now);
}

void EntryNode::handle(const EndpointId & /*from*/, const Accepted &msg,
                       TimePoint now) {
  Call *call = findCurrent(msg.Id, msg.Attempt);
  if (!call)
    return;
  call->Stage = CallStage::Accepted;
  setStageTimer(*call, call->Deadline - now, now);
}

/// Handles the end of a dispatch that ran or may have run without giving a
/// complete response.
void EntryNode::onRunFailed(Call &call, const Finish &msg, TimePoint now) {
  CallId id = call.Request.Id;
  if (msg.Code == ResultCode::EndpointFailed)
    noteCrash(call, msg, now);
  else if (call.FirstDataAt &&
           now - *call.FirstDataAt >= CrashQuarantine::ProgressTime)
    Crashes.onProgress(call.Subject, now);
  // This crash may have quarantined the request or a part of its prompt and
  // ended the call.
  if (!Calls.contains(id))
    return;
  if (!mayRunElsewhere(call)) {
    finishWith(call, msg.Code);
    return;
  }
  call.MayHaveRun = true;
  retryElsewhere(call, msg.Code, now);
}

void EntryNode::handle(const EndpointId & /*from*/, const Refused &msg,
                       TimePoint now) {
  Call *call = findCurrent(msg.Id, msg.Attempt);
  if (!call)
    return;
  call->RetryAfter = std::max(call->RetryAfter, msg.RetryAfter);
  if (describe(msg.Code).Kind == Outcome::NotRun) {
    retryElsewhere(*call, msg.Code, now);
    return;
  }
  onRunFailed(*call, Finish{msg.Id, msg.Attempt, 0, msg.Code, {}}, now);
}

void EntryNode::handle(const EndpointId & /*from*/, const Head &msg,
                       TimePoint now) {
  Call *call = findCurrent(msg.Id, msg.Attempt);
  if (!call)
    return;
  if (!isFinalStatus(msg.Status) || !isFieldText(msg.ContentType)) {
    send(call->Permit->Endpoint, Cancel{msg.Id, msg.Attempt});
    Finish broken{msg.Id, msg.Attempt, 0, ResultCode::AnswerBroken, {}};
    onRunFailed(*call, broken, now);
    return;
  }
  setStageTimer(*call, Limits.StallTimeout, now);
  if (call->HasHead)
    return;
  call->HasHead = true;
  Out.push_back(ResponseHead{call->Request.Id, msg.Status, msg.ContentType});
  forwardResponse(*call, now);
}

void EntryNode::handle(const EndpointId & /*from*/, const Chunk &msg,
                       TimePoint now) {
  Call *call = findCurrent(msg.Id, msg.Attempt);
  if (!call)
    return;
  setStageTimer(*call, Limits.StallTimeout, now);
  recordProgress(*call, now);
  call->Unsent += call->Response.add(msg.Attempt, msg.Offset, msg.Data);
  if (call->Response.earlyBytes() > Limits.MaxEarlyBytes) {
    loseContact(*call, now);
    return;
  }
  forwardResponse(*call, now);
}

/// Sends the caller all in-order bytes, and finishes the call if the response
/// is complete.
void EntryNode::forwardResponse(Call &call, TimePoint now) {
  if (!call.HasHead)
    return;
  if (!call.Unsent.empty())
    Out.push_back(
        ResponseData{call.Request.Id, std::exchange(call.Unsent, {})});
  if (call.Response.isComplete())
    finishComplete(call, now);
}

void EntryNode::handle(const EndpointId & /*from*/, const Finish &msg,
                       TimePoint now) {
  Call *call = findCurrent(msg.Id, msg.Attempt);
  if (!call)
    return;
  if (msg.Code == ResultCode::Ok) {
    call->Response.setLength(msg.Attempt, msg.Length);
    forwardResponse(*call, now);
    return;
  }
  onRunFailed(*call, msg, now);
}

void EntryNode::handle(const EndpointId & /*from*/, const ResolveReply &msg,
                       TimePoint now) {
  auto [first, last] = CallsByRequest.equal_range(msg.Id);
  std::vector<CallId> waiting;
  for (auto it = first; it != last; ++it)
    waiting.push_back(it->second);
  for (CallId id : waiting) {
    Call &call = Calls.at(id);
    if (call.Stage != CallStage::Resolving)
      continue;
    switch (msg.State) {
    case RunState::Known:
      dispatch(call, now);
      break;
    case RunState::NeverStarts:
      retryElsewhere(call, ResultCode::TicketVoid, now);
      break;
    case RunState::CannotTell:
      finishWith(call, ResultCode::IncarnationGone);
      break;
    }
  }
}

void EntryNode::handle(const EndpointId &from, const Leaving &msg,
                       TimePoint /*now*/) {
  if (!msg.IsLeaving) {
    KnownLeaving.erase(from);
    return;
  }
  KnownLeaving.insert(from);
  send(from, LeavingSeen{});
}

Call *EntryNode::findCurrent(RequestId id, AttemptNumber attempt) {
  auto [first, last] = CallsByRequest.equal_range(id);
  for (auto it = first; it != last; ++it) {
    Call &call = Calls.at(it->second);
    bool isInFlight = call.Stage == CallStage::Dispatched ||
                      call.Stage == CallStage::Accepted;
    if (isInFlight && call.Attempt == attempt)
      return &call;
  }
  return nullptr;
}
