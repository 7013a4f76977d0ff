//===- NodeFixture.h - fixture for tests of DirectNode ----------*- C++ -*-===//
//
// Shared fixture and helpers of the tests of DirectNode.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_UNITTESTS_DIRECT_NODEFIXTURE_H
#define OSPREYSPUR_UNITTESTS_DIRECT_NODEFIXTURE_H

#include "ospreyspur/Direct/DirectNode.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace test {

using namespace ospreyspur;

/// A DirectNode with some endpoints of one service.
class NodeFixture {
public:
  /// \p seed decides between equally good endpoints.
  explicit NodeFixture(unsigned endpoints, RouteRule rule = RouteRule(),
                       std::uint64_t seed = 1)
      : Node(DataCentreId("a"), DirectLimits(), seed) {
    auto config = std::make_shared<FleetConfig>();
    rule.Services = {{ServiceId("s"), 1}};
    config->Routes.push_back(std::move(rule));
    EngineCosts engine;
    engine.StepPerRequest = std::chrono::milliseconds(1);
    engine.PrefillTokensPerSecond = 1000;
    config->Services.emplace(ServiceId("s"),
                             ServiceRule{ServiceId("s"), 100, engine});
    Config = std::move(config);
    for (unsigned i = 0; i < endpoints; ++i)
      add("e" + std::to_string(i));
    Node.setEndpoints(Listed);
  }

  void add(const std::string &id) {
    EndpointRecord record;
    record.Id = EndpointId(id);
    record.Service = ServiceId("s");
    record.DataCentre = DataCentreId("a");
    record.Slots = 2;
    Listed.push_back({record, false});
  }

  DirectActions call(std::uint64_t id) {
    DirectRequest request;
    request.Id = CallId(id);
    request.Config = Config;
    request.Route = &Config->Routes.front();
    request.TimeLeft = std::chrono::seconds(8);
    return Node.onCall(std::move(request), Now);
  }

  /// Lets \p n endpoints complete one request each, so that they count as known
  /// to serve.
  void proveServing(unsigned n) {
    for (unsigned i = 0; i < n; ++i)
      call(100 + i);
    for (unsigned i = 0; i < n; ++i)
      end(100 + i, AttemptEnd::Complete);
  }

  DirectActions end(std::uint64_t id, AttemptEnd how) {
    return Node.onAttemptEnded(CallId(id), how, Now);
  }

  std::vector<ListedEndpoint> Listed;
  DirectNode Node;
  std::shared_ptr<const FleetConfig> Config;
  TimePoint Now{std::chrono::seconds(100)};
};

inline RouteRule makeRoute(RequestKind kind, unsigned attempts,
                           bool isResumable = false) {
  RouteRule route;
  route.Kind = kind;
  route.Attempts = attempts;
  route.IsResumable = isResumable;
  route.Target = std::chrono::milliseconds(400);
  route.Timeout = std::chrono::seconds(8);
  return route;
}

template <typename T> const T *only(const DirectActions &actions) {
  return actions.size() == 1 ? std::get_if<T>(&actions.front()) : nullptr;
}

/// Returns the first action of type \p T; null if there is none.
template <typename T> const T *find(const DirectActions &actions) {
  for (const DirectAction &it : actions)
    if (const auto *out = std::get_if<T>(&it))
      return out;
  return nullptr;
}

inline ResultCode codeOf(const DirectActions &actions) {
  const auto *end = only<EndCall>(actions);
  return end ? end->Code : ResultCode::Ok;
}

template <typename T> std::size_t countOf(const DirectActions &actions) {
  return std::count_if(
      actions.begin(), actions.end(),
      [](const DirectAction &it) { return std::holds_alternative<T>(it); });
}

/// Fills two endpoints of two slots each and breaks the first stream off.
/// Returns a call that runs at the endpoint that did not run the first stream.
inline std::uint64_t breakOffWithoutCapacity(NodeFixture &fixture) {
  DirectActions first = fixture.call(1);
  REQUIRE(only<StartAttempt>(first));
  std::uint64_t onOther = 0;
  for (std::uint64_t id = 2; id <= 4; ++id) {
    DirectActions next = fixture.call(id);
    REQUIRE(only<StartAttempt>(next));
    if (only<StartAttempt>(next)->Endpoint.Id !=
        only<StartAttempt>(first)->Endpoint.Id)
      onOther = id;
  }
  fixture.Node.onFirstByte(CallId(1), fixture.Now);
  CHECK(fixture.end(1, AttemptEnd::BrokeOff).empty());
  CHECK(fixture.Node.waitingCount() == 1);
  return onOther;
}

} // namespace test

#endif // OSPREYSPUR_UNITTESTS_DIRECT_NODEFIXTURE_H
