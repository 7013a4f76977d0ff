//===- ChangeBudget.cpp - how much one change of a map may bring ----------===//
//
// See ChangeBudget.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/ChangeBudget.h"

#include <algorithm>

using namespace ospreyspur;

std::size_t ChangeBudget::newPerRank(bool isUrgent) const {
  std::size_t least = isUrgent ? 2 : 1;
  if (CopyTime <= Duration::zero())
    return least;
  auto n =
      static_cast<std::size_t>((isUrgent ? 2 * Copying : Copying) / CopyTime);
  return std::max(least, n);
}

double ChangeBudget::minGain() const {
  if (CopyTime <= Duration::zero())
    return MinGain;
  double part = double(CopyTime.count()) / double(DearCopy.count());
  return MinGain * std::min(part, 1.0);
}
