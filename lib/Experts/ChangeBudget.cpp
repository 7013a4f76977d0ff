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
  if (Ranks <= LargeFrom)
    return MinGain;
  return MinGain * static_cast<double>(LargeFrom) / static_cast<double>(Ranks);
}
