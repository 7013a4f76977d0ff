//===- AgentRuns.cpp - requests that an agent has admitted ----------------===//
//
// Starts admitted requests, forwards their responses to all subscribed entries
// and ends them.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Routing/AgentNode.h"

#include <algorithm>
#include <cassert>
#include <utility>

using namespace ospreyspur;

/// How long an agent admits no requests after its endpoint was found down;
/// queued requests still start. Without this pause, an endpoint that fails at
/// once appears the least loaded and attracts all requests.
static constexpr Duration DownPause = std::chrono::milliseconds(150);

void AgentNode::attach(LinkId from, const Dispatch &dispatch, TimePoint now) {
  RequestId id = dispatch.Permit.Id;
  const StoredResponse *response = RequestLedger.findResponse(id);
  assert(response && "a known request has a response");
  bool isMissing =
      response->Dropped || dispatch.ResumeFrom < response->BaseOffset;
  if (isMissing) {
    refuse(from, id, dispatch.Attempt, ResultCode::AnswerForgotten);
    return;
  }
  send(from, Accepted{id, dispatch.Attempt});
  sendStored(from, dispatch, *response);
  auto it = Jobs.find(id);
  if (it == Jobs.end())
    return;
  Job &job = it->second;
  std::erase_if(job.Subscribers, [&](const Subscriber &sub) {
    return sub.Link == from && sub.Attempt == dispatch.Attempt;
  });
  job.Subscribers.push_back({from, dispatch.Attempt});
  TimePoint deadline = std::max(job.Deadline, now + dispatch.Deadline);
  Deadlines.erase({job.Deadline, id});
  Deadlines.emplace(deadline, id);
  job.Deadline = deadline;
}

void AgentNode::sendStored(LinkId from, const Dispatch &dispatch,
                           const StoredResponse &response) {
  RequestId id = dispatch.Permit.Id;
  AttemptNumber attempt = dispatch.Attempt;
  if (response.HasHead)
    send(from, Head{id, attempt, response.Status, response.ContentType});
  if (dispatch.ResumeFrom < response.end()) {
    std::size_t skip = dispatch.ResumeFrom - response.BaseOffset;
    send(from,
         Chunk{id, attempt, dispatch.ResumeFrom, response.Body.substr(skip)});
  }
  if (response.Finished)
    send(from,
         Finish{id, attempt, response.end(), response.Code, response.Engine});
}

void AgentNode::startQueued(TimePoint now) {
  while (Running.size() < Limits.Slots && Queue.size() > 0 &&
         !Excluded.isInBackoff(currentIncarnation(), now) &&
         Rates.take(currentIncarnation(), now)) {
    std::optional<QueuedRequest> next = Queue.pop();
    Job &job = Jobs.at(next->Id);
    job.Started = now;
    job.Engine = Engine;
    Running.insert(next->Id);
    Dispatch &dispatch = job.Request;
    Out.push_back(StartRun{next->Id, dispatch.Method, dispatch.Target,
                           dispatch.ContentType, std::move(dispatch.Body),
                           dispatch.ResumeFrom, dispatch.Priority});
  }
}

AgentActions AgentNode::onRunHead(RequestId id, std::uint32_t status,
                                  std::string contentType, TimePoint now) {
  detectPause(now);
  auto it = Jobs.find(id);
  if (it == Jobs.end())
    return takeActions();
  StoredResponse *response = RequestLedger.findResponse(id);
  assert(response && "a running request has a response");
  response->HasHead = true;
  response->Status = status;
  response->ContentType = std::move(contentType);
  for (const Subscriber &sub : it->second.Subscribers)
    send(sub.Link, Head{id, sub.Attempt, status, response->ContentType});
  return takeActions();
}

AgentActions AgentNode::onRunData(RequestId id, std::string_view data,
                                  TimePoint now) {
  detectPause(now);
  auto it = Jobs.find(id);
  if (it == Jobs.end())
    return takeActions();
  std::uint64_t offset = RequestLedger.findResponse(id)->end();
  ResultCode code = RequestLedger.append(id, data);
  if (code != ResultCode::Ok) {
    Out.push_back(StopRun{id});
    endRun(id, code, now);
    return takeActions();
  }
  for (const Subscriber &sub : it->second.Subscribers)
    send(sub.Link, Chunk{id, sub.Attempt, offset, std::string(data)});
  return takeActions();
}

AgentActions AgentNode::onRunEnd(RequestId id, ResultCode code, TimePoint now) {
  detectPause(now);
  if (!Running.contains(id))
    return takeActions();
  if (code == ResultCode::EndpointUnreachable) {
    DownUntil = now + DownPause;
    withdrawJob(id, code, now);
    startQueued(now);
    return takeActions();
  }
  endRun(id, code, now);
  return takeActions();
}

void AgentNode::endRun(RequestId id, ResultCode code, TimePoint now) {
  auto it = Jobs.find(id);
  EngineIncarnation incarnation = it->second.Engine;
  Drain.record(now - *it->second.Started);
  if (code == ResultCode::EndpointFailed) {
    DownUntil = now + DownPause;
    code = recordEngineExit(incarnation, now);
  }
  StoredResponse *response = RequestLedger.findResponse(id);
  response->Engine = incarnation;
  std::uint64_t length = response->end();
  RequestLedger.finish(id, code, now);
  for (const Subscriber &sub : it->second.Subscribers)
    send(sub.Link, Finish{id, sub.Attempt, length, code, incarnation});
  Deadlines.erase({it->second.Deadline, id});
  Running.erase(id);
  Jobs.erase(it);
  startQueued(now);
}

/// Records that the endpoint's incarnation \p incarnation has exited, which
/// ends all runs that it started. A leaving endpoint is stopped on purpose, so
/// its exit is not attributed to its requests. Returns the code to report for
/// the run.
ResultCode AgentNode::recordEngineExit(EngineIncarnation incarnation,
                                       TimePoint now) {
  bool wasLeaving = IsLeaving;
  if (incarnation == Engine)
    Engine = EngineIncarnation(incarnation.get() + 1);
  updateLeaving(now);
  return wasLeaving ? ResultCode::AnswerBroken : ResultCode::EndpointFailed;
}

void AgentNode::withdrawJob(RequestId id, ResultCode reason, TimePoint now) {
  auto it = Jobs.find(id);
  RequestLedger.withdraw(id, reason, now);
  for (const Subscriber &sub : it->second.Subscribers)
    refuse(sub.Link, id, sub.Attempt, reason);
  Deadlines.erase({it->second.Deadline, id});
  Running.erase(id);
  Jobs.erase(it);
}

void AgentNode::stopIfUnsubscribed(RequestId id, TimePoint now) {
  Job &job = Jobs.at(id);
  if (!job.Subscribers.empty() || !job.Request.Repeatable)
    return;
  if (!job.Started) {
    Queue.remove(id);
    withdrawJob(id, ResultCode::TicketVoid, now);
    return;
  }
  Out.push_back(StopRun{id});
  endRun(id, ResultCode::Cancelled, now);
}
