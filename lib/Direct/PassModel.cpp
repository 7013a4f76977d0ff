//===- PassModel.cpp - how long a group's next pass will take -------------===//
//
// See PassModel.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/PassModel.h"

#include <algorithm>
#include <cmath>

using namespace ospreyspur;

/// Weight of the newest pass in the running mean: a shift of demand counts
/// within two passes.
static constexpr double NewestWeight = 0.35;
/// After this time without another such pass the worst one counts half. Demand
/// shifts every few seconds while a crowd is there.
static constexpr Duration WorstHalfLife = std::chrono::seconds(20);
/// Bounds of what one pass may say; beyond them a step was held or a host
/// stood.
static constexpr double MinStretch = 0.7;
static constexpr double MaxStretch = 4;

Duration ospreyspur::evenPass(const EngineFigures &engine,
                              const PassLoad &load) {
  unsigned steps = engine.StepsPerPass;
  Duration writing =
      (engine.Step + engine.StepPerRequest * load.Writers) * steps;
  if (engine.ReadTokensPerSecond <= 0)
    return writing;
  // Beside writers a prompt is read in pieces, one in each pass.
  unsigned read = std::min(load.Unread, engine.ReadTokensPerStep);
  std::chrono::duration<double> reading(read / engine.ReadTokensPerSecond);
  return writing + std::chrono::duration_cast<Duration>(reading);
}

void PassModel::onPass(Duration next, Duration gap, TimePoint now) {
  Duration length = now - BegunAt;
  bool isKnown = gap < length + SamePass && length < gap + SamePass;
  if (isKnown && Even > Duration::zero()) {
    double seen = double(length.count()) / double(Even.count());
    seen = std::clamp(seen, MinStretch, MaxStretch);
    Stretch += (seen - Stretch) * NewestWeight;
    double age = double(length.count()) / double(WorstHalfLife.count());
    Worst = std::max(Worst * std::exp2(-age), seen);
  }
  BegunAt = now;
  Even = next;
}
