//===- LinkListener.h - accepts connections for links -----------*- C++ -*-===//
//
// Accepts connections in place of gRPC, which has no limit on their number and
// stops accepting for good once descriptors have run out. What a client sends
// passes a LinkGuard; gRPC gets the other end of a connection inside the
// process. Connections of trusted hosts go to gRPC without a guard: a
// coordinator has a busy link of each rank, and the copy costs processor time.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_RPC_LINKLISTENER_H
#define OSPREYSPUR_RPC_LINKLISTENER_H

#include "ospreyspur/Support/Address.h"
#include "ospreyspur/Support/Result.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace ospreyspur {

class Metrics;

/// Bounds on the links of all peers together.
struct LinkLimits {
  /// Number of connections; each takes three descriptors.
  std::size_t Connections = 512;
  /// Incomplete messages, beside small ones.
  std::size_t MessageBytes = 64U << 20U;
};

/// A listening socket; all functions run on the thread of its io_context.
class LinkListener {
public:
  /// Gets a descriptor for each connection, and owns it.
  using OnConnection = std::function<void(int)>;

  LinkListener(boost::asio::io_context &ioc, const LinkLimits &limits,
               Metrics *metrics, OnConnection onConnection);
  ~LinkListener();

  /// Listens on \p address. Errors: SettingInvalid.
  Result<void> listen(const TcpAddress &address);
  /// Accepts connections of the host of a guarded link without a guard from now
  /// on, and closes that link. \p port is the link's port inside the process.
  void trust(std::uint16_t port);
  /// Accepts no more connections and closes those that are guarded.
  void close();

  /// What the connections share.
  struct State;

private:
  static boost::asio::awaitable<void> acceptLoop(std::shared_ptr<State> state);

  std::shared_ptr<State> Shared;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_RPC_LINKLISTENER_H
