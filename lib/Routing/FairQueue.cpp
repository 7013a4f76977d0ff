//===- FairQueue.cpp - deficit round robin --------------------------------===//
//
// A flow that reaches the front with too little deficit for its next request
// earns its weight and moves to the back. An emptied flow loses its deficit, so
// that an idle workspace accumulates no credit.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Routing/FairQueue.h"

#include <algorithm>
#include <cassert>

using namespace ospreyspur;

void FairQueue::push(QueuedRequest request) {
  assert(request.Cost > 0 && request.Weight > 0 &&
         "cost and weight are positive");
  Ring &ring = Rings[request.Priority];
  auto isOwn = [&](const Flow &flow) {
    return flow.Workspace == request.Workspace;
  };
  auto it = std::find_if(ring.begin(), ring.end(), isOwn);
  if (it == ring.end())
    it = ring.insert(ring.end(), Flow{request.Workspace, 0, {}});
  ++Count;
  ++CountByWorkspace[request.Workspace];
  it->Waiting.push_back(std::move(request));
}

std::optional<QueuedRequest> FairQueue::pop() {
  if (Rings.empty())
    return std::nullopt;
  Ring &ring = Rings.begin()->second;
  while (ring.front().Deficit < ring.front().Waiting.front().Cost) {
    Flow &flow = ring.front();
    flow.Deficit += flow.Waiting.front().Weight;
    ring.splice(ring.end(), ring, ring.begin());
  }
  Flow &flow = ring.front();
  QueuedRequest request = std::move(flow.Waiting.front());
  flow.Waiting.pop_front();
  flow.Deficit -= request.Cost;
  if (flow.Waiting.empty())
    ring.pop_front();
  if (ring.empty())
    Rings.erase(Rings.begin());
  decrementCounts(request);
  return request;
}

bool FairQueue::remove(RequestId id) {
  auto hasId = [id](const QueuedRequest &it) { return it.Id == id; };
  for (auto ring = Rings.begin(); ring != Rings.end(); ++ring) {
    for (auto flow = ring->second.begin(); flow != ring->second.end(); ++flow) {
      auto &waiting = flow->Waiting;
      auto it = std::find_if(waiting.begin(), waiting.end(), hasId);
      if (it == waiting.end())
        continue;
      decrementCounts(*it);
      waiting.erase(it);
      if (waiting.empty())
        ring->second.erase(flow);
      if (ring->second.empty())
        Rings.erase(ring);
      return true;
    }
  }
  return false;
}

std::vector<QueuedRequest> FairQueue::drain() {
  std::vector<QueuedRequest> all;
  for (auto &[priority, ring] : Rings)
    for (Flow &flow : ring)
      std::move(flow.Waiting.begin(), flow.Waiting.end(),
                std::back_inserter(all));
  Rings.clear();
  CountByWorkspace.clear();
  Count = 0;
  return all;
}

std::size_t FairQueue::sizeOf(const WorkspaceId &workspace) const {
  auto it = CountByWorkspace.find(workspace);
  return it == CountByWorkspace.end() ? 0 : it->second;
}

std::size_t FairQueue::countAhead(const WorkspaceId &workspace,
                                  std::uint32_t weight,
                                  std::uint32_t priority) const {
  std::size_t ahead = 0;
  for (const auto &[ringPriority, ring] : Rings) {
    if (ringPriority < priority)
      break;
    auto isOwn = [&](const Flow &it) { return it.Workspace == workspace; };
    auto own = std::find_if(ring.begin(), ring.end(), isOwn);
    std::size_t turns = 1 + (own == ring.end() ? 0 : own->Waiting.size());
    for (const Flow &it : ring) {
      std::size_t share = it.Waiting.size();
      if (ringPriority == priority && !isOwn(it))
        share = std::min(share, turns * it.Waiting.front().Weight / weight + 1);
      ahead += share;
    }
  }
  return ahead;
}

void FairQueue::decrementCounts(const QueuedRequest &request) {
  --Count;
  auto it = CountByWorkspace.find(request.Workspace);
  if (--it->second == 0)
    CountByWorkspace.erase(it);
}
