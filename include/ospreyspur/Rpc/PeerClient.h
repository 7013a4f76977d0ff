//===- PeerClient.h - a link to a peer process ------------------*- C++ -*-===//
//
// The connecting side of the peer protocol: one long-lived link. The first send
// opens the link, and the first send after a loss reopens it.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_RPC_PEERCLIENT_H
#define OSPREYSPUR_RPC_PEERCLIENT_H

#include "ospreyspur/Rpc/Messages.h"
#include "ospreyspur/Support/Time.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ospreyspur {

/// How a silent link is detected.
struct LinkKeepAlive {
  /// Time without arrivals after which the connecting side pings the peer, and
  /// within which the peer must reply. Sent data must also be acknowledged
  /// within the second time.
  static constexpr Duration IdleTime = std::chrono::seconds(1);
  static constexpr Duration ReplyTimeout = std::chrono::seconds(1);
  /// Longest time until a silent link is closed.
  static constexpr Duration DetectionTime = IdleTime + ReplyTimeout;
};

/// Callbacks of a PeerClient; they run on gRPC's threads.
struct PeerClientHandlers {
  std::function<void(std::vector<Message>)> OnMessages;
  /// The link has closed; messages sent on it may not have arrived.
  std::function<void()> OnDown;
};

/// A link to the process at one address.
class PeerClient {
public:
  PeerClient(std::string address, PeerClientHandlers handlers);
  /// Closes the link. No handler is called afterwards, except that a call of
  /// OnDown already in progress may still run. Must not be called on gRPC's
  /// threads.
  ~PeerClient();

  /// Sends \p message and opens the link if necessary. A message that cannot be
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
