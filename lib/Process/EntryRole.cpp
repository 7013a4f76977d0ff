//===- EntryRole.cpp - the entry process ----------------------------------===//
//
// Creates and connects the control thread and the traffic thread of an entry.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Control/ControlPlane.h"
#include "ospreyspur/Process/AdminServer.h"
#include "ospreyspur/Process/EntryTraffic.h"
#include "ospreyspur/Process/ListenerLimits.h"
#include "ospreyspur/Process/PlannedStop.h"
#include "ospreyspur/Process/ProcessThreads.h"
#include "ospreyspur/Process/Roles.h"
#include "ospreyspur/Support/LogEvent.h"

#include <glog/logging.h>

#include <random>

using namespace ospreyspur;

namespace {
/// All components of an entry process.
class EntryProcess {
public:
  explicit EntryProcess(const EntrySettings &settings);

  /// Runs until a graceful shutdown is complete. Errors: SettingInvalid.
  Result<void> run();

private:
  ControlHandlers makeControlHandlers();
  PlannedStop::Handlers makeStopHandlers();

  const EntrySettings &Settings;
  ProcessThreads Threads;
  Metrics Measures;
  EntryTraffic Traffic;
  PlatformClient Platform;
  ControlPlane Plane;
  AdminServer Admin;
  PlannedStop Stop;
};
} // namespace

EntryProcess::EntryProcess(const EntrySettings &settings)
    : Settings(settings),
      Traffic(Threads.traffic(), settings,
              parseAddress(settings.Common.PlatformAddress).value(), Measures,
              std::random_device{}()),
      Platform(Threads.control(),
               parseAddress(settings.Common.PlatformAddress).value(), Measures),
      Plane(Threads.control(), Platform,
            {EndpointId(), DataCentreId(settings.Common.DataCentre)},
            settings.Common.Peers, std::random_device{}(),
            makeControlHandlers()),
      Admin(Threads.control(), settings.Common, Plane, Platform, Measures,
            findClientLimits(settings.Common.Machine, CallerAccess::Listener)),
      Stop(Threads.control(),
           {settings.Common.StopNotice, settings.Common.StopLimit},
           makeStopHandlers()) {}

ControlHandlers EntryProcess::makeControlHandlers() {
  ControlHandlers handlers;
  handlers.OnSnapshot = [this](std::shared_ptr<const RoutingSnapshot> it) {
    Threads.postToTraffic(
        [this, it = std::move(it)] { Traffic.setSnapshot(it); });
  };
  // Entries accept no links from other processes.
  handlers.SendReply = [](LinkId, const Message &) {};
  return handlers;
}

PlannedStop::Handlers EntryProcess::makeStopHandlers() {
  PlannedStop::Handlers handlers;
  handlers.Announce = [this](TimePoint respondBy) {
    Admin.setStopping();
    Threads.postToTraffic(
        [this, respondBy] { Traffic.announceStop(respondBy); });
  };
  handlers.Close = [this] {
    Threads.postToTraffic([this] { Traffic.stopAccepting(); });
  };
  // The platform's load balancer does not confirm that it has seen the stop, so
  // IsConfirmed stays false and the whole notice period is waited out.
  handlers.QueryProgress = [this](std::function<void(StopProgress)> done) {
    Threads.postToTraffic([this, done = std::move(done)] {
      StopProgress progress{Traffic.busyCount(), false};
      Threads.postToControl([done, progress] { done(progress); });
    });
  };
  handlers.End = [this] { Threads.stop(); };
  return handlers;
}

Result<void> EntryProcess::run() {
  for (const Result<void> &started : {Traffic.start(), Admin.start()})
    if (!started)
      return started;
  Plane.start();
  Stop.start();
  LOG(INFO) << LogEvent("entry.start")
                   .with("listen", Settings.Listen)
                   .with("data_centre", Settings.Common.DataCentre);
  Threads.run();
  return boost::outcome_v2::success();
}

Result<void> ospreyspur::runEntry(const EntrySettings &settings) {
  return EntryProcess(settings).run();
}
