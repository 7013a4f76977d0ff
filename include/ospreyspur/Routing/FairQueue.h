//===- FairQueue.h - deficit round robin over workspaces --------*- C++ -*-===//
//
// Queues requests by priority and, within one priority, shares the endpoint's
// capacity between workspaces by weight, regardless of how many requests each
// workspace sends.
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
  /// Higher priorities are served first.
  std::uint32_t Priority = 0;
  /// Expected work in units of a small request; at least 1.
  std::uint32_t Cost = 1;
  /// The workspace's weight; at least 1.
  std::uint32_t Weight = 1;
};

/// Deficit round robin (Shreedhar and Varghese, 1995) for each priority.
class FairQueue {
public:
  /// Adds \p request behind the queued requests of the same workspace and
  /// priority.
  void push(QueuedRequest request);

  /// Removes and returns the next request to run, if any.
  std::optional<QueuedRequest> pop();

  /// Removes \p id from the queue; false if \p id is not queued.
  bool remove(RequestId id);

  /// Removes and returns all requests, in no particular order.
  std::vector<QueuedRequest> drain();

  /// Number of waiting requests.
  std::size_t size() const { return Count; }

  /// Number of waiting requests of \p workspace.
  std::size_t sizeOf(const WorkspaceId &workspace) const;

  /// Estimates how many of the waiting requests would be served before a new
  /// request of \p workspace with \p weight and \p priority, if no further
  /// request arrived. All requests of higher priorities count; at the same
  /// priority, those that other workspaces have queued beyond their share do
  /// not.
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

  void decrementCounts(const QueuedRequest &request);

  /// Rings by descending priority; the front flow of a ring is served next.
  std::map<std::uint32_t, Ring, std::greater<>> Rings;
  std::unordered_map<WorkspaceId, std::size_t> CountByWorkspace;
  std::size_t Count = 0;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_ROUTING_FAIRQUEUE_H
