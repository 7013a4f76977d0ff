//===- AgentRole.cpp - the agent process ----------------------------------===//
//
// Puts the control thread and the traffic thread of an agent together.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Control/ControlPlane.h"
#include "ospreyspur/Process/AdminServer.h"
#include "ospreyspur/Process/AgentGroup.h"
#include "ospreyspur/Process/AgentTraffic.h"
#include "ospreyspur/Process/PlannedStop.h"
#include "ospreyspur/Process/Roles.h"
#include "ospreyspur/Support/LogEvent.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <glog/logging.h>

#include <iostream>
#include <memory>
#include <random>
#include <thread>

using namespace ospreyspur;
namespace asio = boost::asio;

static constexpr std::size_t TicketKeyWords = 8;

static std::string drawKey(std::random_device &source) {
  std::string key;
  for (std::size_t i = 0; i < TicketKeyWords; ++i) {
    std::uint32_t n = source();
    key.append(reinterpret_cast<const char *>(&n), sizeof(n));
  }
  return key;
}

static Incarnation drawIncarnation(std::random_device &source) {
  std::uint64_t high = source();
  return Incarnation((high << 32U) | source());
}

static std::shared_ptr<const WorkspaceWeights>
weightsOf(const RoutingSnapshot &snapshot) {
  auto weights = std::make_shared<WorkspaceWeights>();
  for (const auto &[hash, workspace] : snapshot.WorkspacesByKeyHash)
    weights->emplace(workspace.Id, workspace.Weight);
  return weights;
}

int ospreyspur::runAgent(const AgentSettings &settings) {
  asio::io_context control(1);
  asio::io_context traffic(1);
  auto work = asio::make_work_guard(traffic);
  Metrics metrics;
  std::random_device source;
  Incarnation incarnation = drawIncarnation(source);
  AgentTraffic agent(traffic, settings,
                     parseAddress(settings.EndpointAddress).value(),
                     incarnation, drawKey(source), metrics, source());
  PlatformClient client(control,
                        parseAddress(settings.Common.PlatformAddress).value());
  EndpointId self(settings.EndpointName);
  std::unique_ptr<AgentGroup> group;
  if (!settings.Group.empty()) {
    group = std::make_unique<AgentGroup>(control, settings, client, metrics);
  }
  bool isStopping = false;
  std::unique_ptr<ControlPlane> plane;
  ControlHandlers planeHandlers;
  planeHandlers.Answer = [&](LinkId to, const Message &message) {
    agent.send(to, message);
  };
  planeHandlers.OnSnapshot =
      [&](const std::shared_ptr<const RoutingSnapshot> &snapshot) {
        const EndpointView *own = snapshot->findEndpoint(self);
        if (group)
          group->setEndpoints(plane->endpoints());
        bool isLeaving = isStopping || (own && own->IsLeaving);
        asio::post(traffic,
                   [&agent, weights = weightsOf(*snapshot), isLeaving] {
                     agent.setWeights(weights);
                     agent.setLeaving(isLeaving);
                   });
      };
  plane = std::make_unique<ControlPlane>(
      control, client,
      GossipIdentity{self, DataCentreId(settings.Common.DataCentre)},
      settings.Common.Peers, source(), planeHandlers);
  agent.setControlHandlers(
      {[&](LinkId from, const Message &message) {
         asio::post(control, [&, from, message] {
           if (group)
             group->onMessage(message);
           plane->onMessage(from, message);
         });
       },
       [&](LinkId link) {
         asio::post(control, [&, link] { plane->onLinkDown(link); });
       }});
  AdminServer admin(control, settings.Common, *plane, client, metrics);
  PlannedStop::Handlers handlers;
  handlers.Announce = [&] {
    isStopping = true;
    admin.setStopping();
    asio::post(traffic, [&] { agent.setLeaving(true); });
  };
  // The gate is closed since the announcement.
  handlers.Close = [] {};
  handlers.AskProgress = [&](std::function<void(StopProgress)> done) {
    asio::post(traffic, [&, done = std::move(done)] {
      asio::post(control,
                 [done, progress = agent.stopProgress()] { done(progress); });
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

  for (const Result<void> &started : {agent.start(), admin.start()}) {
    if (started)
      continue;
    std::cerr << "ospreyspur: error "
              << static_cast<unsigned>(started.error().Code) << ": "
              << started.error().Detail << '\n';
    return 1;
  }
  plane->start();
  if (group)
    group->start();
  stop.start();
  LOG(INFO) << LogEvent("agent.start")
                   .with("endpoint", settings.EndpointName)
                   .with("listen", settings.Listen)
                   .with("incarnation", incarnation.get());
  std::thread trafficThread([&] { traffic.run(); });
  control.run();
  trafficThread.join();
  return 0;
}
