//===- TwoGroupFixture.h - fixture with two groups of endpoints -*- C++ -*-===//
//
// Shared fixture of the tests of streams in groups.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_UNITTESTS_DIRECT_TWOGROUPFIXTURE_H
#define OSPREYSPUR_UNITTESTS_DIRECT_TWOGROUPFIXTURE_H

#include "Direct/NodeFixture.h"

#include <array>

namespace test {

/// A DirectNode with two groups of two endpoints with four slots each. The
/// first two calls go to different groups.
class TwoGroupFixture : public NodeFixture {
public:
  TwoGroupFixture()
      : NodeFixture(0, makeRoute(RequestKind::Stream, 2, true), Seed) {
    auto config = std::make_shared<FleetConfig>(*Config);
    EngineCosts &engine = *config->Services.at(ServiceId("s")).Engine;
    engine.TypicalOutputTokens = 160;
    engine.StepsPerIteration = 6;
    Config = std::move(config);
    for (const char *id : {"a0", "a1", "b0", "b1"}) {
      add(id);
      Listed.back().Record.AnswersStatusQueries = true;
      Listed.back().Record.Slots = 4;
    }
    Node.setEndpoints(Listed);
    for (const DirectAction &it : Node.onTimer(Now)) {
      const EndpointId &id = std::get<QueryEndpoint>(it).Endpoint.Id;
      EndpointStatus status{GroupId(id.get().substr(0, 1)), true, 0};
      Node.onStatusReport(id, status, Now);
    }
  }

  static constexpr std::uint64_t Seed = 2;

  /// Starts call \p id. Returns its group, or an empty string if it has to
  /// wait.
  std::string start(std::uint64_t id) {
    DirectActions actions = call(id);
    const auto *attempt = only<StartAttempt>(actions);
    return attempt ? attempt->Endpoint.Id.get().substr(0, 1) : "";
  }

  /// Lets calls 1 and 2, one in each group, receive events for three seconds
  /// with these inter-event gaps.
  void write(Duration gapOfFirst, Duration gapOfSecond) {
    std::array<TimePoint, 2> last = {Now, Now};
    std::array<Duration, 2> gaps = {gapOfFirst, gapOfSecond};
    Node.onFirstByte(CallId(1), Now);
    Node.onFirstByte(CallId(2), Now);
    for (unsigned i = 0; i < 300; ++i) {
      Now += std::chrono::milliseconds(10);
      for (unsigned k = 0; k < 2; ++k)
        if (Now - last[k] >= gaps[k]) {
          last[k] = Now;
          Node.onEvents(CallId(k + 1), Now);
        }
    }
  }
};

} // namespace test

#endif // OSPREYSPUR_UNITTESTS_DIRECT_TWOGROUPFIXTURE_H
