//===- FairQueue.h - deficit round robin over workspaces --------*- C++ -*-===//
//
// Queues requests by priority and, within one priority, shares the endpoint's
// capacity between workspaces by weight, whatever each of them sends.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_ROUTING_FAIRQUEUE_H
#define OSPREYSPUR_ROUTING_FAIRQUEUE_H

#include "ospreyspur/Support/Ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ospreyspur {

/// A request that waits for a slot at the endpoint.
struct QueuedRequest {
  RequestId Id;
  WorkspaceId Workspace;
  /// Higher goes first.
  std::uint32_t Priority = 0;
  /// Expected work, in units of a small request; at least 1.
  std::uint32_t Cost = 1;
  /// The workspace's share; at least 1.
  std::uint32_t Weight = 1;
};

/// Deficit round robin (Shreedhar and Varghese, 1995) for each priority.
class FairQueue {
public:
  /// Adds \p request behind its workspace's others.
  void push(QueuedRequest request);

  /// Takes the next request to run, if any waits.
  std::optional<QueuedRequest> pop();

  /// Takes \p id out of the queue; false if it does not wait here.
  bool remove(RequestId id);

  /// Takes all requests out, in no particular order.
  std::vector<QueuedRequest> drain();

  /// Number of waiting requests.
  std::size_t size() const { return Count; }

  /// Number of waiting requests of \p workspace.
  std::size_t sizeOf(const WorkspaceId &workspace) const;

  /// About how many of the waiting requests would be served before a new one of
  /// \p workspace, with \p weight and \p priority, if nothing else came. What
  /// others have queued beyond their share does not count.
  std::size_t countAhead(const WorkspaceId &workspace, std::uint32_t weight,
                         std::uint32_t priority) const;

private:
  /// The waiting requests of one workspace at one priority.
  struct Flow {
    WorkspaceId Workspace;
    std::uint64_t Deficit = 0;
    std::deque<QueuedRequest> Waiting;
  };
  using Ring = std::list<Flow>;

  void forget(const QueuedRequest &request);

  /// Rings by falling priority; the front flow of a ring is served next.
  std::map<std::uint32_t, Ring, std::greater<>> Rings;
  std::unordered_map<WorkspaceId, std::size_t> CountByWorkspace;
  std::size_t Count = 0;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_ROUTING_FAIRQUEUE_H
