//===- DirectControl.h - control thread of the direct path ------*- C++ -*-===//
//
// On the direct path, `ospreyspur direct` sends requests to endpoints itself,
// without agents. This class keeps the configuration, the endpoint list and the
// list of Ospreyspur processes current, from the key-value store and from the
// other processes, and passes immutable snapshots to the traffic threads.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONTROL_DIRECTCONTROL_H
#define OSPREYSPUR_CONTROL_DIRECTCONTROL_H

#include "ospreyspur/Config/GossipNode.h"
#include "ospreyspur/Config/Settings.h"
#include "ospreyspur/Control/ConfigReader.h"
#include "ospreyspur/Control/GossipLog.h"
#include "ospreyspur/Control/ListReader.h"
#include "ospreyspur/Control/QuarantineSync.h"
#include "ospreyspur/Direct/EndpointList.h"
#include "ospreyspur/Direct/FleetConfig.h"
#include "ospreyspur/Direct/NodeRegistry.h"
#include "ospreyspur/Process/NodeTimer.h"
#include "ospreyspur/Process/PeerLinks.h"
#include "ospreyspur/Rpc/PeerServer.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ospreyspur {

class EndpointSubset;
class Metrics;

/// The shared values that traffic threads of the direct path use, at one
/// moment.
struct DirectSnapshot {
  std::shared_ptr<const FleetConfig> Config;
  std::vector<ListedEndpoint> Endpoints;
  std::vector<NodeRecord> Nodes;
  /// The other entries with the same subset of endpoints; unset if the subset
  /// is all endpoints.
  std::optional<std::set<std::string>> Sharing;
  /// Whether the key-value store has returned the list of processes.
  bool HasNodeList = false;
  /// Requests that were quarantined before this process started. Contained only
  /// in the first snapshot after they were read from the store.
  std::vector<RequestDigest> Restored;
};

/// How values spread on the direct path: a change is in force at an entry
/// within two seconds, whichever other processes were killed or are frozen.
GossipLimits makeDirectGossipLimits();

/// Follows the shared values on the control thread.
class DirectControl {
public:
  using Handler = std::function<void(std::shared_ptr<const DirectSnapshot>)>;

  /// Time limit of a call to the key-value store, in addition to the time for
  /// which the store may hold a watch.
  static constexpr Duration CallTimeout = std::chrono::milliseconds(1000);

  /// \p seed determines the random choice of peers; \p onSnapshot runs on the
  /// control thread.
  DirectControl(boost::asio::io_context &ioc, const DirectSettings &settings,
                Metrics &metrics, std::uint64_t seed, Handler onSnapshot);

  /// Starts following the shared values. Errors: SettingInvalid.
  Result<void> start();
  /// Closes the links.
  void stop() { Server.stop(); }

  /// Sets the requests that the traffic threads have quarantined, and those
  /// that they have cleared since.
  void setQuarantine(std::vector<RequestDigest> quarantined,
                     const std::vector<RequestDigest> &cleared);

  /// Whether a snapshot has been published.
  bool isReady() const { return HasPublished; }

private:
  void onTimer();
  void onRegistryTimer();
  void onListTimer();
  void apply(const GossipActions &actions);
  void perform(const SendDigestTo &action);
  void perform(const SendUpdateTo &action);
  void perform(const ReplyDigest &action);
  void perform(const ReplyUpdate &action);
  void perform(const CallKeyValueStoreForGossip &action);
  void perform(const CopyChanged &action);
  void onMessage(LinkId from, const Message &message);
  void onPeerReply(const EndpointId &from, const Message &message);
  void onPeerDown(const EndpointId &peer);
  void updatePeers();
  void applyConfig();
  void setDrained(std::set<DataCentreId> drained);
  void applyEndpoints();
  void publish();
  void logSubset(const EndpointSubset &subset,
                 const std::vector<ListedEndpoint> &endpoints);

  boost::asio::io_context &Context;
  const DirectSettings &Settings;
  Handler OnSnapshot;
  PlatformClient Platform;
  ListReader Reader;
  ConfigReader ConfigSource;
  GossipNode Node;
  GossipLog Log{Node};
  NodeRegistry Registry;
  QuarantineSync Quarantine;
  std::vector<RequestDigest> Restored;
  EndpointList Endpoints;
  std::shared_ptr<const FleetConfig> Config;
  std::set<DataCentreId> Drained;
  /// Where the latest change of a shared value came from, for the log.
  std::string ChangeSource;
  /// Peers that have replied, and whether the link to each is up.
  std::map<EndpointId, bool> LinksUp;
  /// The number of other entries in the last logged subset.
  std::optional<std::size_t> LoggedSharing;
  bool HasEndpoints = false;
  bool HasPublished = false;
  NodeTimer Timer;
  NodeTimer RegistryTimer;
  NodeTimer ListTimer;
  PeerServer Server;
  PeerLinks Peers;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_CONTROL_DIRECTCONTROL_H
