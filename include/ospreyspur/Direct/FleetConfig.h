//===- FleetConfig.h - routes, services and keys in force -------*- C++ -*-===//
//
// The desired state as the direct path uses it: immutable once built, shared by
// all requests that began under it. platform/ConfigWire.h reads it.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_FLEETCONFIG_H
#define OSPREYSPUR_DIRECT_FLEETCONFIG_H

#include "ospreyspur/Support/Ids.h"
#include "ospreyspur/Support/Time.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ospreyspur {

/// What may be done with a request whose fate is unknown.
enum class RequestKind : std::uint8_t {
  /// May run more than once.
  Repeatable,
  /// Runs at most once.
  OnceOnly,
  /// Runs at most once unless it can be resumed; the answer is a series of
  /// events.
  Stream,
};

/// A service and its share of a route's requests.
struct WeightedService {
  ServiceId Service;
  unsigned Weight = 1;
};

/// Where requests of one host name and path prefix go.
struct RouteRule {
  std::string Name;
  std::string Host;
  std::string Prefix;
  RequestKind Kind = RequestKind::OnceOnly;
  std::vector<WeightedService> Services;
  /// Longest time that a request is held.
  Duration Timeout = std::chrono::seconds(30);
  /// Time to the first byte within which an answer earns its full worth.
  Duration Target = std::chrono::seconds(1);
  /// Longest pause between events; zero if the route has none.
  Duration GapTarget{};
  /// 0 is the most urgent.
  unsigned Priority = 0;
  /// Endpoints that one request may be sent to.
  unsigned Attempts = 1;
  /// Whether requests need no key.
  bool IsPublic = false;
  /// Whether a stream may go on at another endpoint after its last event.
  bool IsResumable = false;

  /// Whether a request may be sent again though it may have run. A stream that
  /// can be resumed may: from its beginning, or after the last event that its
  /// caller has.
  bool isRepeatable() const {
    return Kind == RequestKind::Repeatable || canResume();
  }
  /// Whether an answer that has begun may go on at another endpoint.
  bool canResume() const {
    return IsResumable && Kind != RequestKind::OnceOnly;
  }
};

/// What the engine of a service costs, as its operator states it.
struct EngineFigures {
  unsigned Slots = 1;
  Duration Step{};
  Duration StepPerRequest{};
  double ReadTokensPerSecond = 0;
  unsigned StepsPerPass = 1;
  unsigned ReadTokensPerStep = 512;
  /// Tokens of a usual answer; 0 if its operator does not say.
  unsigned UsualAnswer = 0;
  /// Expert placement: sets of layers, experts in each, places a rank.
  std::size_t ExpertSets = 0;
  std::size_t Experts = 0;
  std::size_t PlacesPerRank = 0;
  /// New experts that one change may bring to a rank in each set.
  std::size_t SparePlaces = 0;
  /// How long a rank copies one expert; zero if its operator does not say.
  Duration CopyTime{};
};

/// One service.
struct ServiceRule {
  ServiceId Name;
  /// Connections that an endpoint takes from all callers together.
  std::size_t MaxConnections = 100;
  std::optional<EngineFigures> Engine;
};

/// One workspace, found by a key.
struct WorkspaceRule {
  WorkspaceId Name;
  /// Goes before the route's priority.
  std::optional<unsigned> Priority;
};

/// Bounds on what callers may send.
struct CallerLimits {
  std::size_t MaxHeaderBytes = 16U << 10U;
  std::size_t MaxBodyBytes = 4U << 20U;
  Duration HeaderTimeout = std::chrono::seconds(3);
  Duration IdleTimeout = std::chrono::seconds(15);
};

/// Everything that the operators state.
struct FleetConfig {
  /// The operators' own number; rises with every change.
  std::uint64_t Version = 0;
  std::vector<RouteRule> Routes;
  std::unordered_map<ServiceId, ServiceRule> Services;
  std::unordered_map<std::string, WorkspaceRule> Keys;
  /// Whether requests need a key unless their route is public.
  bool HasWorkspaces = false;
  CallerLimits Limits;

  /// The route of \p host whose prefix is the longest that begins \p path; null
  /// if there is none.
  const RouteRule *findRoute(std::string_view host,
                             std::string_view path) const;
  /// The service \p id; null if there is none.
  const ServiceRule *findService(const ServiceId &id) const;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_FLEETCONFIG_H
