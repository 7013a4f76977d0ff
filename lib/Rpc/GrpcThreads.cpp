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
static unsigned grpcCores = 0;

void ospreyspur::setGrpcCores(unsigned cores) { grpcCores = cores; }

extern "C" unsigned gpr_cpu_num_cores() {
  return grpcCores > 0 ? grpcCores
                       : std::max(std::thread::hardware_concurrency(), 1U);
}
