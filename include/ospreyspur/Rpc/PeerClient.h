//===- PeerClient.h - a link to another of our processes --------*- C++ -*-===//
//
// The dialling side of the peer protocol: one long-lived link, opened on first
// use and again on the next send after it was lost.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_RPC_PEERCLIENT_H
#define OSPREYSPUR_RPC_PEERCLIENT_H

#include "ospreyspur/Rpc/Messages.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ospreyspur {

/// What a PeerClient reports; called on gRPC's threads.
struct PeerClientHandlers {
  std::function<void(std::vector<Message>)> OnMessages;
  /// The link is gone; what was sent on it may not have arrived.
  std::function<void()> OnDown;
};

/// A link to the process at one address.
class PeerClient {
public:
  PeerClient(std::string address, PeerClientHandlers handlers);
  /// Closes the link; no handler is called afterwards, but for an OnDown that
  /// is under way. Must not run on gRPC's threads.
  ~PeerClient();

  /// Sends \p message, opening the link if need be. A message that cannot be
  /// sent is dropped and reported by OnDown.
  void send(const Message &message);

  /// The peer's "ip:port".
  const std::string &address() const;

private:
  class Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_RPC_PEERCLIENT_H
