//===- GrpcThreads.h - size of gRPC's thread pools --------------*- C++ -*-===//
//
// gRPC sizes its thread pools by the number of cores of the machine and offers
// no setting for it. A process that handles a few control messages per second
// needs only the smallest pools.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_RPC_GRPCTHREADS_H
#define OSPREYSPUR_RPC_GRPCTHREADS_H

namespace ospreyspur {

/// Makes gRPC size its pools for \p cores cores. Must be called before the
/// first use of gRPC in the process.
void setGrpcCores(unsigned cores);

} // namespace ospreyspur

#endif // OSPREYSPUR_RPC_GRPCTHREADS_H
