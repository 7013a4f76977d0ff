//===- EntryRole.cpp - the entry process ----------------------------------===//
//
// Puts the control thread and the traffic thread of an entry together.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Control/ControlPlane.h"
#include "ospreyspur/Process/AdminServer.h"
#include "ospreyspur/Process/EntryTraffic.h"
#include "ospreyspur/Process/PlannedStop.h"
#include "ospreyspur/Process/Roles.h"
#include "ospreyspur/Support/LogEvent.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <glog/logging.h>

#include <iostream>
#include <random>
#include <thread>

using namespace ospreyspur;
namespace asio = boost::asio;

static int failToStart(const Error &error) {
  std::cerr << "ospreyspur: error " << static_cast<unsigned>(error.Code) << ": "
            << error.Detail << '\n';
  return 1;
}

int ospreyspur::runEntry(const EntrySettings &settings) {
  asio::io_context control(1);
  asio::io_context traffic(1);
  auto work = asio::make_work_guard(traffic);
  Metrics metrics;
  TcpAddress platform = parseAddress(settings.Common.PlatformAddress).value();
  EntryTraffic entry(traffic, settings, platform, metrics,
                     std::random_device{}());
  PlatformClient client(control, platform);
  ControlHandlers planeHandlers;
  planeHandlers.OnSnapshot =
      [&](std::shared_ptr<const RoutingSnapshot> snapshot) {
        asio::post(traffic, [&entry, snapshot = std::move(snapshot)] {
          entry.setSnapshot(snapshot);
        });
      };
  // Nobody dials an entry.
  planeHandlers.Answer = [](LinkId, const Message &) {};
  ControlPlane plane(
      control, client,
      GossipIdentity{EndpointId(), DataCentreId(settings.Common.DataCentre)},
      settings.Common.Peers, std::random_device{}(), planeHandlers);
  AdminServer admin(control, settings.Common, plane, client, metrics);
  PlannedStop::Handlers handlers;
  handlers.Announce = [&] {
    admin.setStopping();
    asio::post(traffic, [&] { entry.announceStop(); });
  };
  handlers.Close = [&] { asio::post(traffic, [&] { entry.stopAccepting(); }); };
  // The platform's balancer confirms nothing: the whole notice is waited out.
  handlers.AskProgress = [&](std::function<void(StopProgress)> done) {
    asio::post(traffic, [&, done = std::move(done)] {
      asio::post(control, [done, n = entry.busyCount()] { done({n, false}); });
    });
  };
  handlers.End = [&] {
    traffic.stop();
    control.stop();
  };
  PlannedStop stop(
      control,
      StopSequence(settings.Common.StopNotice, settings.Common.StopLimit),
      handlers);

  for (const Result<void> &started : {entry.start(), admin.start()})
    if (!started)
      return failToStart(started.error());
  plane.start();
  stop.start();
  LOG(INFO) << LogEvent("entry.start")
                   .with("listen", settings.Listen)
                   .with("data_centre", settings.Common.DataCentre);
  std::thread trafficThread([&] { traffic.run(); });
  control.run();
  trafficThread.join();
  return 0;
}
