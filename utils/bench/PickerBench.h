//===- PickerBench.h - comparison of endpoint pickers -----------*- C++ -*-===//
//
// Part of ospreyspur-bench.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_BENCH_PICKERBENCH_H
#define OSPREYSPUR_BENCH_PICKERBENCH_H

namespace ospreyspur::bench {

/// Prints latencies, load imbalance of ranks, prefix cache hits and messages
/// for each method of picking an endpoint. All methods get the same arrivals,
/// at two sizes of deployment.
void benchPickers();

/// Prints the rate of complete responses at half to four times the capacity,
/// and how a flood of one workspace affects the other workspaces.
void benchOverload();

} // namespace ospreyspur::bench

#endif // OSPREYSPUR_BENCH_PICKERBENCH_H
