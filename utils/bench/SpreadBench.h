//===- SpreadBench.h - how fast and how dear values spread ------*- C++ -*-===//
//
// Part of ospreyspur-bench.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_BENCH_SPREADBENCH_H
#define OSPREYSPUR_BENCH_SPREADBENCH_H

namespace ospreyspur::bench {

/// Prints time in force, calls on the platform and bytes a node at the size
/// that docs/CAPACITY.md designs for.
void benchSpread();

} // namespace ospreyspur::bench

#endif // OSPREYSPUR_BENCH_SPREADBENCH_H
