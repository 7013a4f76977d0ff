//===- MachineLimits.h - what a process may use -----------------*- C++ -*-===//
//
// The limits that the platform sets for a process. A process that exceeds its
// memory is killed.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONFIG_MACHINELIMITS_H
#define OSPREYSPUR_CONFIG_MACHINELIMITS_H

#include <cstddef>

namespace ospreyspur {

/// Limits of one process.
struct MachineLimits {
  static constexpr std::size_t DefaultMemoryBytes = 256'000'000;

  std::size_t MemoryBytes = DefaultMemoryBytes;
  /// 0 for the limit that the kernel sets.
  std::size_t Descriptors = 0;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_CONFIG_MACHINELIMITS_H
