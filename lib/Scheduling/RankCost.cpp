//===- RankCost.cpp - what a rank adds to an iteration --------------------===//
//
// See RankCost.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Scheduling/RankCost.h"

#include "ospreyspur/Direct/FleetConfig.h"

using namespace ospreyspur;

Duration ospreyspur::rankTime(const EngineCosts &engine, double slowdown,
                              unsigned running) {
  if (running == 0)
    return Duration::zero();
  Duration step = engine.Step + engine.StepPerRequest * int(running);
  return std::chrono::duration_cast<Duration>(
      step * int(engine.StepsPerIteration) * slowdown);
}

Duration ospreyspur::expertTime(const EngineCosts &engine, unsigned slots) {
  return engine.StepPerRequest * int(slots) * int(engine.StepsPerIteration);
}
