//===- CrashedGroupTest.cpp - groups with a crashed endpoint --------------===//
//
// All ranks of a group stall when one of them crashes. No more requests may be
// sent there, and running streams must be migrated at once.
//
//===----------------------------------------------------------------------===//

#include "Direct/TwoGroupFixture.h"

using namespace test;

namespace {
/// Two streams with digests, one in each group.
class CrashedGroupFixture : public TwoGroupFixture {
public:
  CrashedGroupFixture() {
    for (std::uint64_t id : {1, 2}) {
      Groups.push_back(startAt(id));
      Node.onFirstByte(CallId(id), Now);
    }
    REQUIRE(Groups[0] != Groups[1]);
  }

  /// Starts call \p id. Returns the group of its endpoint, or an empty string
  /// if the call has to wait.
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
    return Node.onChecked(Endpoints[1], EndpointLiveness::Exited, Now);
  }

  std::vector<std::string> Groups;
  std::map<std::uint64_t, EndpointId> Endpoints;
};
} // namespace

TEST_CASE("no requests are sent to a group with a crashed endpoint") {
  CrashedGroupFixture fixture;
  fixture.endFirst();
  for (std::uint64_t id = 10; id < 16; ++id)
    CHECK(fixture.startAt(id) != fixture.Groups[0]);
}

TEST_CASE("streams of a group with a crashed endpoint are migrated") {
  CrashedGroupFixture fixture;
  // A third stream at the other endpoint of the first one's group.
  std::uint64_t neighbor = 0;
  for (std::uint64_t id = 3; id < 9 && neighbor == 0; ++id) {
    bool isThere = fixture.startAt(id) == fixture.Groups[0] &&
                   fixture.Endpoints[id] != fixture.Endpoints[1];
    neighbor = isThere ? id : 0;
  }
  REQUIRE(neighbor != 0);
  fixture.Node.onFirstByte(CallId(neighbor), fixture.Now);
  DirectActions actions = fixture.endFirst();
  bool isMigrated = false;
  for (const DirectAction &it : actions)
    if (const auto *stop = std::get_if<StopAttempt>(&it))
      isMigrated = isMigrated || stop->Call == CallId(neighbor);
  CHECK(isMigrated);
}

TEST_CASE("an endpoint that cut one response without crashing stays in use "
          "with its group") {
  CrashedGroupFixture fixture;
  fixture.Node.onAttemptEnded(CallId(1), AttemptEnd::BrokeOff, fixture.Now,
                              ConnectionEnd::Endpoint);
  DirectActions actions = fixture.Node.onChecked(
      fixture.Endpoints[1], EndpointLiveness::Alive, fixture.Now);
  CHECK(find<StartAttempt>(actions));
  bool isUsed = false;
  for (std::uint64_t id = 10; id < 16; ++id)
    isUsed = fixture.startAt(id) == fixture.Groups[0] || isUsed;
  CHECK(isUsed);
}

TEST_CASE("a crash that another entry reports closes the group") {
  CrashedGroupFixture fixture;
  CrashRecord record;
  record.Request = RequestDigest(99);
  record.Crashes.push_back({digestIncarnation(fixture.Endpoints[1]),
                            std::chrono::milliseconds(10),
                            std::chrono::milliseconds(100)});
  fixture.Node.onCrashReport("other", {{record}, {}}, fixture.Now);
  for (std::uint64_t id = 10; id < 16; ++id)
    CHECK(fixture.startAt(id) != fixture.Groups[0]);
}

TEST_CASE("a request that was cut after its wait limit is retried once its "
          "endpoint's liveness is known") {
  CrashedGroupFixture fixture;
  fixture.startAt(5);
  fixture.Now += std::chrono::seconds(3);
  DirectActions cut = fixture.Node.onAttemptEnded(
      CallId(5), AttemptEnd::Lost, fixture.Now, ConnectionEnd::Endpoint);
  CHECK_FALSE(find<EndCall>(cut));
  DirectActions known = fixture.Node.onChecked(
      fixture.Endpoints[5], EndpointLiveness::Alive, fixture.Now);
  CHECK(find<StartAttempt>(known));
}
