//===- ChangeBudget.cpp - size limits of a map change ---------------------===//
//
// See ChangeBudget.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/ChangeBudget.h"

#include <algorithm>

using namespace ospreyspur;

std::size_t ChangeBudget::newPerRank(bool isUrgent) const {
  if (CopyTime <= Duration::zero())
    return isUrgent ? 2 : 1;
  Duration copying = isUrgent ? 2 * Copying : Copying;
  return std::max(std::size_t(1), static_cast<std::size_t>(copying / CopyTime));
}

double ChangeBudget::minGain() const {
  if (CopyTime <= Duration::zero())
    return MinGain;
  double part = double(CopyTime.count()) / double(DearCopy.count());
  return MinGain * std::min(part, 1.0);
}
