//===- ControlPlane.h - control thread of a process -------------*- C++ -*-===//
//
// Keeps the configuration and the host list current with a GossipNode and
// passes immutable snapshots to the traffic threads. Entries and agents both
// have a control plane.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONTROL_CONTROLPLANE_H
#define OSPREYSPUR_CONTROL_CONTROLPLANE_H

#include "ospreyspur/Config/ConfigDocument.h"
#include "ospreyspur/Config/GossipNode.h"
#include "ospreyspur/Control/GossipLog.h"
#include "ospreyspur/Platform/PlatformClient.h"
#include "ospreyspur/Process/NodeTimer.h"
#include "ospreyspur/Process/PeerLinks.h"

#include <boost/asio/system_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ospreyspur {

/// Callbacks of the control plane; called on the control thread.
struct ControlHandlers {
  /// Receives each new snapshot.
  std::function<void(std::shared_ptr<const RoutingSnapshot>)> OnSnapshot;
  /// Sends a message on a link that another node opened.
  std::function<void(LinkId, const Message &)> SendReply;
};

/// Follows the shared values on the control thread.
class ControlPlane {
public:
  /// Time limit of a call to the key-value store, in addition to the time for
  /// which the store may hold a watch.
  static constexpr Duration CallTimeout = std::chrono::seconds(2);

  /// \p peers are the addresses of agents to use until the host list is known;
  /// \p seed determines the random choice of peers.
  ControlPlane(boost::asio::io_context &ioc, PlatformClient &platform,
               const GossipIdentity &self,
               const std::vector<std::string> &peers, std::uint64_t seed,
               ControlHandlers handlers);

  /// Starts following the shared values.
  void start();

  /// Takes a message on a link that another node opened.
  void onMessage(LinkId from, const Message &message);
  /// Handles the closing of a link that another node opened.
  void onLinkDown(LinkId link) { Node.onLinkDown(link); }

  /// Whether a snapshot has been published: both values are readable and recent
  /// enough to start with.
  bool isReady() const { return HasPublished; }
  /// The revisions in force; a value that cannot be parsed is not put in force.
  Revision configRevision() const { return ConfigInForce; }
  Revision hostsRevision() const { return HostsInForce; }
  /// The text of the configuration document as last received.
  const std::string &configText() const;
  const ConfigDocument &document() const { return Document; }
  const std::vector<EndpointView> &endpoints() const { return Endpoints; }

private:
  void onTimer();
  void apply(const GossipActions &actions);
  void perform(const SendDigestTo &action);
  void perform(const SendUpdateTo &action);
  void perform(const ReplyDigest &action);
  void perform(const ReplyUpdate &action);
  void perform(const CallKeyValueStoreForGossip &action);
  void perform(const CopyChanged &action);
  void onPeerReply(const EndpointId &from, const Message &message);
  void setPeers(const std::vector<EndpointView> &peers);
  void applyConfig();
  void applyHosts();
  void publish();
  void waitForEvent(std::int64_t nowUnix);

  PlatformClient &Platform;
  ControlHandlers Handlers;
  GossipNode Node;
  GossipLog Log{Node};
  NodeTimer Timer;
  boost::asio::system_timer EventTimer;
  /// 0 until a value could be parsed.
  Revision ConfigInForce;
  Revision HostsInForce;
  bool HasPublished = false;
  ConfigDocument Document;
  std::vector<EndpointView> Endpoints;
  PeerLinks Peers;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_CONTROL_CONTROLPLANE_H
