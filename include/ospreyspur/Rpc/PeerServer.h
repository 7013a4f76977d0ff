//===- PeerServer.h - accepts links from peer processes ---------*- C++ -*-===//
//
// The listening side of the peer protocol. Handlers run on gRPC's threads.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_RPC_PEERSERVER_H
#define OSPREYSPUR_RPC_PEERSERVER_H

#include "ospreyspur/Rpc/Messages.h"
#include "ospreyspur/Support/Result.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ospreyspur {

/// Callbacks of a PeerServer; they run on gRPC's threads.
struct PeerServerHandlers {
  std::function<void(LinkId, std::vector<Message>)> OnMessages;
  std::function<void(LinkId)> OnLinkDown;
};

/// Accepts links on one address.
class PeerServer {
public:
  explicit PeerServer(PeerServerHandlers handlers);
  ~PeerServer();

  /// Listens on \p address ("ip:port"). Errors: SettingInvalid.
  Result<void> listen(const std::string &address);

  /// Sends \p message on \p link; drops the message if the link has closed.
  void send(LinkId link, const Message &message);

  /// Stops listening and closes all links; waits until they have ended, for up
  /// to 500 ms.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_RPC_PEERSERVER_H
