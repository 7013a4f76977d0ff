//===- UncheckedFencesTest.cpp - ranks that take late orders --------------===//
//
// Guards against steps that use two maps where ranks do not check fencing
// tokens: an order that gets no reply may be executed seconds later, after
// newer ones, while its sender has crashed or still acts.
//
//===----------------------------------------------------------------------===//

#include "SwitchSimulation.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using namespace ospreyspur::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

static Faults makeUncheckedFaults() {
  Faults faults;
  faults.ChecksFences = false;
  faults.AssumesFences = false;
  return faults;
}

TEST_CASE("no late order changes the map of some ranks only") {
  Faults faults = makeUncheckedFaults();
  faults.LostOrders = 5;
  faults.LateOrders = 30;
  faults.LostReplies = 10;
  faults.Freezes = true;
  faults.Forms = true;
  unsigned changes = 0;
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    INFO("seed " << seed);
    SwitchSimulation simulation(seed, faults);
    simulation.run(seconds(60));
    CHECK(simulation.group().mixedSteps() == 0);
    changes += simulation.changes();
  }
  CHECK(changes > 1000);
}

TEST_CASE("maps change without extra orders where fences are not checked and "
          "nothing goes wrong") {
  SwitchSimulation simulation(1, makeUncheckedFaults());
  simulation.run(seconds(60));
  CHECK(simulation.changes() > 30);
  CHECK(simulation.group().mixedSteps() == 0);
  CHECK(simulation.group().heldSteps() <= simulation.changes() / 10);
}
