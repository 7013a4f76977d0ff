//===- SpreadBench.h - speed and cost of gossip -----------------*- C++ -*-===//
//
// Part of ospreyspur-bench.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_BENCH_SPREADBENCH_H
#define OSPREYSPUR_BENCH_SPREADBENCH_H

namespace ospreyspur::bench {

/// Prints the time until a change is in force, platform calls, and bytes per
/// node, at the size that docs/CAPACITY.md designs for.
void benchSpread();

} // namespace ospreyspur::bench

#endif // OSPREYSPUR_BENCH_SPREADBENCH_H
