//===- ControlPlane.h - the control thread of a process ---------*- C++ -*-===//
//
// Keeps the configuration and the host list new with a GossipNode and hands
// immutable snapshots to the traffic side. Entries and agents both have one.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONTROL_CONTROLPLANE_H
#define OSPREYSPUR_CONTROL_CONTROLPLANE_H

#include "ospreyspur/Config/ConfigDocument.h"
#include "ospreyspur/Config/GossipNode.h"
#include "ospreyspur/Platform/PlatformClient.h"
#include "ospreyspur/Process/NodeTimer.h"
#include "ospreyspur/Process/PeerLinks.h"

#include <boost/asio/system_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ospreyspur {

/// What the control plane needs of its process; called on the control thread.
struct ControlHandlers {
  /// There is a new snapshot.
  std::function<void(std::shared_ptr<const RoutingSnapshot>)> OnSnapshot;
  /// Answer another node on the link that it has dialled.
  std::function<void(LinkId, const Message &)> Answer;
};

/// Follows the platform's values on the control thread.
class ControlPlane {
public:
  /// \p peers are the addresses of agents to start from; \p seed feeds the
  /// choice of peers.
  ControlPlane(boost::asio::io_context &ioc, PlatformClient &platform,
               const GossipIdentity &self,
               const std::vector<std::string> &peers, std::uint64_t seed,
               ControlHandlers handlers);

  /// Begins to follow.
  void start();

  /// A message on a link that another node has dialled.
  void onMessage(LinkId from, const Message &message);
  /// The link that another node had dialled is gone.
  void onLinkDown(LinkId link) { Node.onLinkDown(link); }

  /// Whether there is a snapshot: both values could be read and are good enough
  /// to start with.
  bool isReady() const { return HasPublished; }
  /// The revisions in force; a value that cannot be read never is.
  Revision configRevision() const { return ConfigInForce; }
  Revision hostsRevision() const { return HostsInForce; }
  /// The configuration document as last read.
  const std::string &configText() const;
  const ConfigDocument &document() const { return Document; }
  const std::vector<EndpointView> &endpoints() const { return Endpoints; }

private:
  void onTimer();
  void apply(const GossipActions &actions);
  void perform(const SendDigestTo &action);
  void perform(const SendUpdateTo &action);
  void perform(const AnswerDigest &action);
  void perform(const AnswerUpdate &action);
  void perform(const CallPlatformForGossip &action);
  void perform(const CopyChanged &action);
  void onAnswer(const EndpointId &from, const Message &message);
  void setPeers(const std::vector<EndpointView> &peers);
  void takeConfig();
  void takeHosts();
  void publish();
  void waitForEvent(std::int64_t nowUnix);

  PlatformClient &Platform;
  ControlHandlers Handlers;
  GossipNode Node;
  NodeTimer Timer;
  boost::asio::system_timer EventTimer;
  /// 0 before the first value that could be read.
  Revision ConfigInForce;
  Revision HostsInForce;
  bool HasPublished = false;
  ConfigDocument Document;
  std::vector<EndpointView> Endpoints;
  PeerLinks Peers;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_CONTROL_CONTROLPLANE_H
