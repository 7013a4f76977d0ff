//===- PickerBench.h - ways of picking an endpoint, compared ----*- C++ -*-===//
//
// Part of ospreyspur-bench.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_BENCH_PICKERBENCH_H
#define OSPREYSPUR_BENCH_PICKERBENCH_H

namespace ospreyspur::bench {

/// Prints latencies, skew of load over ranks, prefix hits and messages for each
/// way of picking, on the same arrivals, at two sizes of deployment.
void benchPickers();

/// Prints what is served whole at half to four times the capacity, and what a
/// flood of one workspace does to the others.
void benchOverload();

} // namespace ospreyspur::bench

#endif // OSPREYSPUR_BENCH_PICKERBENCH_H
