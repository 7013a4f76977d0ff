//===- ListenerContext.h - what a server shares with its process -*- C++
//-*-===//
//
// A server counts what it refuses, and takes the memory for requests from a
// budget that other servers of the process may share.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_HTTP_LISTENERCONTEXT_H
#define OSPREYSPUR_HTTP_LISTENERCONTEXT_H

#include <cstddef>
#include <memory>
#include <string>

namespace ospreyspur {

class ByteBudget;
class Metrics;

/// The surroundings of one HttpServer.
struct ListenerContext {
  /// Names the listener in metrics and log lines.
  std::string Name;
  /// For the requests that are being read or handled; null for no bound.
  std::shared_ptr<ByteBudget> RequestBytes;
  /// How often the body of a request is in memory while it is handled.
  std::size_t BodyCopies = 1;
  /// The header of a request that names it in log lines and that a refusal
  /// repeats; empty for none.
  std::string IdHeader;
  /// Must outlive the server; null if nothing is to be counted.
  Metrics *Measures = nullptr;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_HTTP_LISTENERCONTEXT_H
