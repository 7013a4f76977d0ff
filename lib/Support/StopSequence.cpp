//===- StopSequence.cpp - phases of a planned stop ------------------------===//
//
// See StopSequence.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Support/StopSequence.h"

using namespace ospreyspur;

void StopSequence::begin(TimePoint now) {
  if (Phase != StopPhase::Serving)
    return;
  Began = now;
  Phase = StopPhase::Announcing;
}

void StopSequence::advance(StopProgress progress, TimePoint now) {
  bool isOver = now >= Began + Limit;
  switch (Phase) {
  case StopPhase::Announcing:
    if (progress.IsConfirmed || isOver || now >= Began + Notice)
      Phase = StopPhase::Draining;
    return;
  case StopPhase::Draining:
    if (progress.InFlight == 0 || isOver)
      Phase = StopPhase::Ended;
    return;
  case StopPhase::Serving:
  case StopPhase::Ended:
    return;
  }
}
