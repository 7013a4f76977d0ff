//===- EndedGroupTest.cpp - groups with a crashed endpoint ----------------===//
//
// All ranks of a group stall when one of them crashes. No more requests may be
// sent there, and running streams must be migrated at once.
//
//===----------------------------------------------------------------------===//

#include "Direct/TwoGroupWorld.h"

using namespace test;

namespace {
/// Two streams with digests, one in each group.
class EndedWorld : public TwoGroupWorld {
public:
  EndedWorld() {
    for (std::uint64_t id : {1, 2}) {
      Groups.push_back(startAt(id));
      Node.onFirstByte(CallId(id), Now);
    }
    REQUIRE(Groups[0] != Groups[1]);
  }

  /// Starts call \p id. Returns its endpoint, or nothing if it has to wait.
  std::string startAt(std::uint64_t id) {
    DirectRequest request;
    request.Id = CallId(id);
    request.Digest = RequestDigest(id);
    request.Config = Config;
    request.Route = &Config->Routes.front();
    request.TimeLeft = std::chrono::seconds(8);
    DirectActions actions = Node.onCall(std::move(request), Now);
    const auto *it = find<StartAttempt>(actions);
    Endpoints[id] = it ? it->Endpoint.Id : EndpointId();
    return Endpoints[id].get().substr(0, 1);
  }

  /// Crashes the endpoint of call 1.
  DirectActions endFirst() {
    DirectActions cut = Node.onAttemptEnded(CallId(1), AttemptEnd::BrokeOff,
                                            Now, ConnectionEnd::Endpoint);
    CHECK(find<CheckEndpoint>(cut));
    CHECK_FALSE(find<StartAttempt>(cut));
    return Node.onChecked(Endpoints[1], EndpointFate::Ended, Now);
  }

  std::vector<std::string> Groups;
  std::map<std::uint64_t, EndpointId> Endpoints;
};
} // namespace

TEST_CASE("no requests are sent to a group with a crashed endpoint") {
  EndedWorld world;
  world.endFirst();
  for (std::uint64_t id = 10; id < 16; ++id)
    CHECK(world.startAt(id) != world.Groups[0]);
}

TEST_CASE("streams of a group with a crashed endpoint are migrated") {
  EndedWorld world;
  // A third stream at the other endpoint of the first one's group.
  std::uint64_t beside = 0;
  for (std::uint64_t id = 3; id < 9 && beside == 0; ++id) {
    bool isThere = world.startAt(id) == world.Groups[0] &&
                   world.Endpoints[id] != world.Endpoints[1];
    beside = isThere ? id : 0;
  }
  REQUIRE(beside != 0);
  world.Node.onFirstByte(CallId(beside), world.Now);
  DirectActions actions = world.endFirst();
  bool isMoved = false;
  for (const DirectAction &it : actions)
    if (const auto *stop = std::get_if<StopAttempt>(&it))
      isMoved = isMoved || stop->Call == CallId(beside);
  CHECK(isMoved);
}

TEST_CASE("an endpoint that cut one response without crashing stays in use "
          "with its group") {
  EndedWorld world;
  world.Node.onAttemptEnded(CallId(1), AttemptEnd::BrokeOff, world.Now,
                            ConnectionEnd::Endpoint);
  DirectActions actions =
      world.Node.onChecked(world.Endpoints[1], EndpointFate::Alive, world.Now);
  CHECK(find<StartAttempt>(actions));
  bool isUsed = false;
  for (std::uint64_t id = 10; id < 16; ++id)
    isUsed = world.startAt(id) == world.Groups[0] || isUsed;
  CHECK(isUsed);
}

TEST_CASE("a crash that another entry reports closes the group") {
  EndedWorld world;
  CrashRow row;
  row.Request = RequestDigest(99);
  row.Crashes.push_back({digestLife(world.Endpoints[1]),
                         std::chrono::milliseconds(10),
                         std::chrono::milliseconds(100)});
  world.Node.onCrashReport("other", {{row}, {}}, world.Now);
  for (std::uint64_t id = 10; id < 16; ++id)
    CHECK(world.startAt(id) != world.Groups[0]);
}

TEST_CASE("a request that was cut after its wait limit is retried once its "
          "endpoint's fate is known") {
  EndedWorld world;
  world.startAt(5);
  world.Now += std::chrono::seconds(3);
  DirectActions cut = world.Node.onAttemptEnded(
      CallId(5), AttemptEnd::Lost, world.Now, ConnectionEnd::Endpoint);
  CHECK_FALSE(find<EndCall>(cut));
  DirectActions known =
      world.Node.onChecked(world.Endpoints[5], EndpointFate::Alive, world.Now);
  CHECK(find<StartAttempt>(known));
}
