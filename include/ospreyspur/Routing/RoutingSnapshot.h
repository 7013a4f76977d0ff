//===- RoutingSnapshot.h - the fleet as traffic threads see it --*- C++ -*-===//
//
// An immutable view of services, endpoints and workspaces that the control
// thread builds from the configuration and the host list. The view may be
// stale; agents make the final decision on each request.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_ROUTING_ROUTINGSNAPSHOT_H
#define OSPREYSPUR_ROUTING_ROUTINGSNAPSHOT_H

#include "ospreyspur/Support/Ids.h"

#include <map>
#include <string>
#include <vector>

namespace ospreyspur {

/// The protocol of a service.
enum class ServiceKind : std::uint8_t {
  /// Completions of a model, which are streamed and can be resumed.
  Model,
  /// Plain HTTP.
  Plain,
};

/// One endpoint, reached through the agent at \c Address.
struct EndpointView {
  EndpointId Id;
  ServiceId Service;
  DataCentreId DataCentre;
  /// The agent's "ip:port".
  std::string Address;
  GroupId Group;
  bool IsLeaving = false;
};

/// One service and its endpoints.
struct ServiceView {
  ServiceKind Kind = ServiceKind::Plain;
  /// Whether calls other than GET and HEAD may run more than once.
  bool IsRetryable = false;
  std::vector<EndpointView> Endpoints;
};

/// One workspace.
struct WorkspaceView {
  WorkspaceId Id;
  std::uint32_t Weight = 1;
  std::uint32_t Priority = 0;
};

/// The routing state of one pair of configuration and host list revisions.
struct RoutingSnapshot {
  Revision ConfigRevision;
  Revision HostsRevision;
  std::map<ServiceId, ServiceView> Services;
  /// Workspaces by the SHA-256 of their bearer key, in hex.
  std::map<std::string, WorkspaceView> WorkspacesByKeyHash;

  /// Returns the endpoint with \p id, or null.
  const EndpointView *findEndpoint(const EndpointId &id) const {
    for (const auto &[name, service] : Services)
      for (const EndpointView &it : service.Endpoints)
        if (it.Id == id)
          return &it;
    return nullptr;
  }
};

} // namespace ospreyspur

#endif // OSPREYSPUR_ROUTING_ROUTINGSNAPSHOT_H
