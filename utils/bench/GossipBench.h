//===- GossipBench.h - speed and cost of gossip -----------------*- C++ -*-===//
//
// Part of ospreyspur-bench.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_BENCH_GOSSIPBENCH_H
#define OSPREYSPUR_BENCH_GOSSIPBENCH_H

namespace ospreyspur::bench {

/// Prints the time until a change is in force, platform calls, and bytes per
/// node, at the size that docs/CAPACITY.md designs for.
void benchGossip();

} // namespace ospreyspur::bench

#endif // OSPREYSPUR_BENCH_GOSSIPBENCH_H
