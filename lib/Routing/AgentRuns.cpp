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

/// How long an endpoint that was found down gets no new requests. Without this
/// pause, an endpoint that fails at once appears the least loaded and attracts
/// all requests.
static constexpr Duration DownPause = std::chrono::milliseconds(150);

void AgentNode::attach(LinkId from, const Dispatch &dispatch, TimePoint now) {
  RequestId id = dispatch.Permit.Id;
  const StoredAnswer *answer = Book.findAnswer(id);
  assert(answer && "a known request has a response");
  bool isMissing = answer->Dropped || dispatch.ResumeFrom < answer->BaseOffset;
  if (isMissing) {
    refuse(from, id, dispatch.Attempt, ResultCode::AnswerForgotten);
    return;
  }
  send(from, Accepted{id, dispatch.Attempt});
  sendStored(from, dispatch, *answer);
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
                           const StoredAnswer &answer) {
  RequestId id = dispatch.Permit.Id;
  AttemptNumber attempt = dispatch.Attempt;
  if (answer.HasHead)
    send(from, Head{id, attempt, answer.Status, answer.ContentType});
  if (dispatch.ResumeFrom < answer.end()) {
    std::size_t skip = dispatch.ResumeFrom - answer.BaseOffset;
    send(from,
         Chunk{id, attempt, dispatch.ResumeFrom, answer.Body.substr(skip)});
  }
  if (answer.Finished)
    send(from, Finish{id, attempt, answer.end(), answer.Code, answer.Life});
}

void AgentNode::startWaiting(TimePoint now) {
  while (Running.size() < Limits.Slots && Queue.size() > 0 &&
         !Closed.isResting(currentLife(), now) &&
         Rates.take(currentLife(), now)) {
    std::optional<QueuedRequest> next = Queue.pop();
    Job &job = Jobs.at(next->Id);
    job.Started = now;
    job.Life = Life;
    Running.insert(next->Id);
    Dispatch &order = job.Order;
    Out.push_back(StartRun{next->Id, order.Method, order.Target,
                           order.ContentType, std::move(order.Body),
                           order.ResumeFrom, order.Priority});
  }
}

AgentActions AgentNode::onRunHead(RequestId id, std::uint32_t status,
                                  std::string contentType, TimePoint now) {
  noticeTime(now);
  auto it = Jobs.find(id);
  if (it == Jobs.end())
    return takeActions();
  StoredAnswer *answer = Book.findAnswer(id);
  assert(answer && "a running request has a response");
  answer->HasHead = true;
  answer->Status = status;
  answer->ContentType = std::move(contentType);
  for (const Subscriber &sub : it->second.Subscribers)
    send(sub.Link, Head{id, sub.Attempt, status, answer->ContentType});
  return takeActions();
}

AgentActions AgentNode::onRunData(RequestId id, std::string_view data,
                                  TimePoint now) {
  noticeTime(now);
  auto it = Jobs.find(id);
  if (it == Jobs.end())
    return takeActions();
  std::uint64_t offset = Book.findAnswer(id)->end();
  ResultCode code = Book.append(id, data);
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
  noticeTime(now);
  if (!Running.contains(id))
    return takeActions();
  if (code == ResultCode::EndpointUnreachable) {
    DownUntil = now + DownPause;
    withdrawQueued(id, code, now);
    startWaiting(now);
    return takeActions();
  }
  endRun(id, code, now);
  return takeActions();
}

void AgentNode::endRun(RequestId id, ResultCode code, TimePoint now) {
  auto it = Jobs.find(id);
  EngineLife life = it->second.Life;
  Drain.record(now - *it->second.Started);
  if (code == ResultCode::EndpointFailed) {
    DownUntil = now + DownPause;
    code = noteEngineEnd(life, now);
  }
  StoredAnswer *answer = Book.findAnswer(id);
  answer->Life = life;
  std::uint64_t length = answer->end();
  Book.finish(id, code, now);
  for (const Subscriber &sub : it->second.Subscribers)
    send(sub.Link, Finish{id, sub.Attempt, length, code, life});
  Deadlines.erase({it->second.Deadline, id});
  Running.erase(id);
  Jobs.erase(it);
  startWaiting(now);
}

/// Records that the endpoint's incarnation \p life has exited, which ends all
/// runs that it started. A leaving endpoint is stopped on purpose, so its exit
/// is not attributed to its requests. Returns the code to report for the run.
ResultCode AgentNode::noteEngineEnd(EngineLife life, TimePoint now) {
  bool wasLeaving = IsLeaving;
  if (life == Life)
    Life = EngineLife(life.get() + 1);
  updateLeaving(now);
  return wasLeaving ? ResultCode::AnswerBroken : ResultCode::EndpointFailed;
}

void AgentNode::withdrawQueued(RequestId id, ResultCode reason, TimePoint now) {
  auto it = Jobs.find(id);
  Book.withdraw(id, reason, now);
  for (const Subscriber &sub : it->second.Subscribers)
    refuse(sub.Link, id, sub.Attempt, reason);
  Deadlines.erase({it->second.Deadline, id});
  Running.erase(id);
  Jobs.erase(it);
}

void AgentNode::stopIfUnwanted(RequestId id, TimePoint now) {
  Job &job = Jobs.at(id);
  if (!job.Subscribers.empty() || !job.Order.Repeatable)
    return;
  if (!job.Started) {
    Queue.remove(id);
    withdrawQueued(id, ResultCode::TicketVoid, now);
    return;
  }
  Out.push_back(StopRun{id});
  endRun(id, ResultCode::Cancelled, now);
}
