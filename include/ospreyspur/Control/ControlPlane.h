//===- ControlPlane.h - the control thread of a process ---------*- C++ -*-===//
//
// Follows the configuration and the host list and hands immutable snapshots to
// the traffic side. Entries and agents both have one.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONTROL_CONTROLPLANE_H
#define OSPREYSPUR_CONTROL_CONTROLPLANE_H

#include "ospreyspur/Config/ConfigDocument.h"
#include "ospreyspur/Config/KeyFollower.h"
#include "ospreyspur/Platform/PlatformClient.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/system_timer.hpp>

#include <functional>
#include <memory>

namespace ospreyspur {

/// Follows the platform's keys on the control thread.
class ControlPlane {
public:
  using SnapshotHandler =
      std::function<void(std::shared_ptr<const RoutingSnapshot>)>;

  /// \p onSnapshot is called on the control thread for each new snapshot.
  ControlPlane(boost::asio::io_context &ioc, PlatformClient &platform,
               SnapshotHandler onSnapshot);

  /// Begins to follow.
  void start();

  /// Whether the configuration and the host list were both read.
  bool isReady() const;
  Revision configRevision() const { return Config.revision(); }
  /// The configuration document as last read.
  const std::string &configText() const { return Config.value(); }
  Revision hostsRevision() const { return Hosts.revision(); }
  const ConfigDocument &document() const { return Document; }
  const std::vector<EndpointView> &endpoints() const { return Endpoints; }

private:
  void poll(KeyFollower &follower, boost::asio::steady_timer &timer);
  void takeConfig();
  void takeHosts();
  void publish();
  void waitForEvent(std::int64_t nowUnix);

  PlatformClient &Platform;
  SnapshotHandler OnSnapshot;
  KeyFollower Config;
  KeyFollower Hosts;
  boost::asio::steady_timer ConfigTimer;
  boost::asio::steady_timer HostsTimer;
  boost::asio::system_timer EventTimer;
  ConfigDocument Document;
  std::vector<EndpointView> Endpoints;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_CONTROL_CONTROLPLANE_H
