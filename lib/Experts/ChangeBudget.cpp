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
  Duration budget = isUrgent ? 2 * CopyTimePerChange : CopyTimePerChange;
  return std::max(std::size_t(1), static_cast<std::size_t>(budget / CopyTime));
}

double ChangeBudget::minGain() const {
  if (CopyTime <= Duration::zero())
    return MinGain;
  double part = double(CopyTime.count()) / double(ExpensiveCopyTime.count());
  return MinGain * std::min(part, 1.0);
}
