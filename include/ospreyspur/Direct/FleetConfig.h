//===- FleetConfig.h - routes, services and keys in force -------*- C++ -*-===//
//
// The configuration as the direct path uses it: immutable once built, and
// shared by all requests that started under it. platform/ConfigWire.h parses
// it.
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

/// Whether a request whose outcome is unknown may be sent again.
enum class RequestKind : std::uint8_t {
  /// May run more than once.
  Repeatable,
  /// Runs at most once.
  OnceOnly,
  /// Runs at most once unless it can be resumed; the response is a stream of
  /// events.
  Stream,
};

/// A service and its weight among the services of a route.
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
  /// Maximum time from a request's arrival to the end of its response. A caller
  /// may state a shorter one.
  Duration Timeout = std::chrono::seconds(30);
  /// Latency target: a response earns its full value if its first byte follows
  /// the arrival of the request within this time.
  Duration Target = std::chrono::seconds(1);
  /// Target for the longest inter-event gap; zero if the route has none.
  Duration GapTarget{};
  /// 0 is the most urgent.
  unsigned Priority = 0;
  /// Maximum number of attempts of one request.
  unsigned Attempts = 1;
  /// Whether requests need no key.
  bool IsPublic = false;
  /// Whether a stream may resume at another endpoint after its last event.
  bool IsResumable = false;

  /// Whether a request may be sent again even if it may have run. A resumable
  /// stream may be: from its beginning, or after the last event that its caller
  /// has received.
  bool isRepeatable() const {
    return Kind == RequestKind::Repeatable || canResume();
  }
  /// Whether a response that has begun may resume at another endpoint.
  bool canResume() const {
    return IsResumable && Kind != RequestKind::OnceOnly;
  }
};

/// Cost figures of a service's engine, as its operator states them.
struct EngineCosts {
  unsigned Slots = 1;
  /// Duration of an engine step: \c Step, plus \c StepPerRequest for each
  /// running request. An engine iteration has \c StepsPerIteration steps.
  Duration Step{};
  Duration StepPerRequest{};
  double PrefillTokensPerSecond = 0;
  unsigned StepsPerIteration = 1;
  unsigned PrefillTokensPerStep = 512;
  /// Number of tokens in a usual response; 0 if not stated.
  unsigned TypicalOutputTokens = 0;
  /// Expert placement: number of layer sets, experts in each set, and expert
  /// slots of a rank.
  std::size_t ExpertSets = 0;
  std::size_t Experts = 0;
  std::size_t SlotsPerRank = 0;
  /// Number of new experts that one change may bring to a rank in each layer
  /// set.
  std::size_t SpareSlots = 0;
  /// Time that a rank takes to copy one expert; zero if not stated.
  Duration CopyTime{};
};

/// One service.
struct ServiceRule {
  ServiceId Name;
  /// Maximum number of connections that an endpoint accepts from all entries
  /// together.
  std::size_t MaxConnections = 100;
  std::optional<EngineCosts> Engine;
  /// How long an endpoint stays cold after its start, and how many requests per
  /// second a cold endpoint bears from all entries together; zero if its
  /// endpoints are never cold.
  Duration ColdTime{};
  double ColdRequestsPerSecond = 0;
  /// Path of the endpoints' health checks.
  std::string HealthPath = "/health";
};

/// A workspace, looked up by key.
struct WorkspaceRule {
  WorkspaceId Name;
  /// Overrides the route's priority.
  std::optional<unsigned> Priority;
};

/// Limits on what callers may send.
struct CallerLimits {
  std::size_t MaxHeaderBytes = 16U << 10U;
  std::size_t MaxBodyBytes = 4U << 20U;
  Duration HeaderTimeout = std::chrono::seconds(3);
  Duration IdleTimeout = std::chrono::seconds(15);
};

/// The configuration that the operators set.
struct FleetConfig {
  /// Version number that the operators assign; rises with every change.
  std::uint64_t Version = 0;
  std::vector<RouteRule> Routes;
  std::unordered_map<ServiceId, ServiceRule> Services;
  std::unordered_map<std::string, WorkspaceRule> Keys;
  /// Whether requests need a key unless their route is public.
  bool HasWorkspaces = false;
  CallerLimits Limits;

  /// Returns the route of \p host with the longest prefix of \p path; null if
  /// there is none.
  const RouteRule *findRoute(std::string_view host,
                             std::string_view path) const;
  /// Returns the service \p id; null if there is none.
  const ServiceRule *findService(const ServiceId &id) const;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_FLEETCONFIG_H
