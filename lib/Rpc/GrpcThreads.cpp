//===- GrpcThreads.cpp - size of gRPC's thread pools ----------------------===//
//
// Defines gpr_cpu_num_cores(), which takes precedence over the definition in
// the shared library.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Rpc/GrpcThreads.h"

#include <grpc/support/cpu.h>

#include <algorithm>
#include <thread>

/// 0 until setGrpcCores() is called: the number of cores of the machine.
static unsigned GrpcCores = 0;

void ospreyspur::setGrpcCores(unsigned cores) { GrpcCores = cores; }

extern "C" unsigned gpr_cpu_num_cores() {
  return GrpcCores > 0 ? GrpcCores
                       : std::max(std::thread::hardware_concurrency(), 1U);
}
