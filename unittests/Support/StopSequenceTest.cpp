//===- StopSequenceTest.cpp - phases of a planned stop --------------------===//
//
// When a stopping process stops accepting work, and when it ends.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Support/StopSequence.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using std::chrono::seconds;

static constexpr TimePoint Start{std::chrono::hours(1)};
static constexpr StopProgress Idle{0, false};
static constexpr StopProgress Busy{3, false};

TEST_CASE("a stop is announced for its whole notice, even without work") {
  StopSequence stop(seconds(2), seconds(30));
  stop.advance(Idle, Start);
  CHECK(stop.phase() == StopPhase::Serving);
  stop.begin(Start);
  stop.advance(Idle, Start + seconds(1));
  CHECK(stop.phase() == StopPhase::Announcing);
  stop.advance(Idle, Start + seconds(2));
  CHECK(stop.phase() == StopPhase::Draining);
  stop.advance(Idle, Start + seconds(2));
  CHECK(stop.phase() == StopPhase::Ended);
}

TEST_CASE("a confirmed stop skips the notice but waits for work in flight") {
  StopSequence stop(seconds(2), seconds(30));
  stop.begin(Start);
  stop.advance({3, true}, Start);
  CHECK(stop.phase() == StopPhase::Draining);
  stop.advance(Busy, Start + seconds(29));
  CHECK(stop.phase() == StopPhase::Draining);
  stop.advance(Idle, Start + seconds(29));
  CHECK(stop.phase() == StopPhase::Ended);
}

TEST_CASE("a notice leaves time for the work that was accepted last") {
  StopSequence stop(seconds(60), seconds(30));
  stop.begin(Start);
  stop.advance(Busy, Start + seconds(10));
  CHECK(stop.phase() == StopPhase::Draining);
}

TEST_CASE("requests get their final response before the limit") {
  for (seconds limit : {seconds(1), seconds(8), seconds(30)}) {
    StopSequence stop(seconds(0), limit);
    stop.begin(Start);
    CHECK(stop.respondBy() < Start + limit);
    CHECK(stop.respondBy() >= Start + limit / 2);
  }
}

TEST_CASE("a stop ends at its limit with work in flight") {
  StopSequence stop(seconds(60), seconds(30));
  stop.begin(Start);
  // A second stop signal does not restart the sequence.
  stop.begin(Start + seconds(20));
  stop.advance(Busy, Start + seconds(30));
  stop.advance(Busy, Start + seconds(30));
  CHECK(stop.phase() == StopPhase::Ended);
}
