//===- AgentRole.cpp - the agent process ----------------------------------===//
//
// Creates and connects the control thread and the traffic thread of an agent.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Control/ControlPlane.h"
#include "ospreyspur/Process/AdminServer.h"
#include "ospreyspur/Process/AgentGroup.h"
#include "ospreyspur/Process/AgentTraffic.h"
#include "ospreyspur/Process/ListenerLimits.h"
#include "ospreyspur/Process/PlannedStop.h"
#include "ospreyspur/Process/ProcessThreads.h"
#include "ospreyspur/Process/Roles.h"
#include "ospreyspur/Support/LogEvent.h"

#include <glog/logging.h>

#include <algorithm>
#include <memory>
#include <random>

using namespace ospreyspur;

static constexpr std::size_t TicketKeyWords = 8;

static std::string drawKey() {
  std::random_device source;
  std::string key;
  for (std::size_t i = 0; i < TicketKeyWords; ++i) {
    std::uint32_t n = source();
    key.append(reinterpret_cast<const char *>(&n), sizeof(n));
  }
  return key;
}

static Incarnation drawIncarnation() {
  std::random_device source;
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

namespace {
/// All components of an agent process.
class AgentProcess {
public:
  explicit AgentProcess(const AgentSettings &settings);

  /// Runs until a graceful shutdown is complete. Errors: SettingInvalid.
  Result<void> run();

private:
  ControlHandlers makeControlHandlers();
  AgentTraffic::ControlHandlers makeLinkHandlers();
  PlannedStop::Handlers makeStopHandlers();
  void onSnapshot(const RoutingSnapshot &snapshot);
  void onPeerMessage(LinkId from, const Message &message);

  const AgentSettings &Settings;
  EndpointId Self;
  Incarnation OwnIncarnation;
  ProcessThreads Threads;
  Metrics Measures;
  AgentTraffic Traffic;
  PlatformClient Platform;
  std::unique_ptr<AgentGroup> Group;
  ControlPlane Plane;
  AdminServer Admin;
  PlannedStop Stop;
  bool IsStopping = false;
};
} // namespace

AgentProcess::AgentProcess(const AgentSettings &settings)
    : Settings(settings), Self(settings.EndpointName),
      OwnIncarnation(drawIncarnation()),
      Traffic(Threads.traffic(), settings,
              parseAddress(settings.EndpointAddress).value(), OwnIncarnation,
              drawKey(), Measures, std::random_device{}()),
      Platform(Threads.control(),
               parseAddress(settings.Common.PlatformAddress).value(), Measures),
      Plane(Threads.control(), Platform,
            {Self, DataCentreId(settings.Common.DataCentre)},
            settings.Common.Peers, std::random_device{}(),
            makeControlHandlers()),
      Admin(Threads.control(), settings.Common, Plane, Platform, Measures,
            findClientLimits(settings.Common.Machine, CallerAccess::None)),
      Stop(Threads.control(),
           {settings.Common.StopNotice, settings.Common.StopLimit},
           makeStopHandlers()) {
  if (!settings.Group.empty())
    Group = std::make_unique<AgentGroup>(Threads.control(), settings, Platform,
                                         Measures);
  Traffic.setControlHandlers(makeLinkHandlers());
}

ControlHandlers AgentProcess::makeControlHandlers() {
  ControlHandlers handlers;
  handlers.OnSnapshot =
      [this](const std::shared_ptr<const RoutingSnapshot> &it) {
        onSnapshot(*it);
      };
  handlers.SendReply = [this](LinkId to, const Message &message) {
    Traffic.send(to, message);
  };
  return handlers;
}

AgentTraffic::ControlHandlers AgentProcess::makeLinkHandlers() {
  AgentTraffic::ControlHandlers handlers;
  handlers.OnMessage = [this](LinkId from, const Message &message) {
    Threads.postToControl(
        [this, from, message] { onPeerMessage(from, message); });
  };
  handlers.OnLinkDown = [this](LinkId link) {
    Threads.postToControl([this, link] { Plane.onLinkDown(link); });
  };
  return handlers;
}

PlannedStop::Handlers AgentProcess::makeStopHandlers() {
  PlannedStop::Handlers handlers;
  handlers.Announce = [this](TimePoint /*respondBy*/) {
    IsStopping = true;
    Admin.setStopping();
    Threads.postToTraffic([this] { Traffic.setLeaving(true); });
  };
  // The agent has taken no new requests since the announcement.
  handlers.Close = [] {};
  handlers.QueryProgress = [this](std::function<void(StopProgress)> done) {
    Threads.postToTraffic([this, done = std::move(done)] {
      StopProgress progress = Traffic.stopProgress();
      Threads.postToControl([done, progress] { done(progress); });
    });
  };
  handlers.End = [this] { Threads.stop(); };
  return handlers;
}

void AgentProcess::onSnapshot(const RoutingSnapshot &snapshot) {
  if (Group)
    Group->setEndpoints(Plane.endpoints());
  const auto &endpoints = Plane.endpoints();
  bool isLeaving =
      IsStopping || std::any_of(endpoints.begin(), endpoints.end(),
                                [this](const EndpointView &it) {
                                  return it.Id == Self && it.IsLeaving;
                                });
  Threads.postToTraffic([this, weights = weightsOf(snapshot), isLeaving] {
    Traffic.setWeights(weights);
    Traffic.setLeaving(isLeaving);
  });
}

void AgentProcess::onPeerMessage(LinkId from, const Message &message) {
  if (Group)
    Group->onMessage(message);
  Plane.onMessage(from, message);
}

Result<void> AgentProcess::run() {
  for (const Result<void> &started : {Traffic.start(), Admin.start()})
    if (!started)
      return started;
  Plane.start();
  if (Group)
    Group->start();
  Stop.start();
  LOG(INFO) << LogEvent("agent.start")
                   .with("endpoint", Settings.EndpointName)
                   .with("listen", Settings.Listen)
                   .with("incarnation", OwnIncarnation.get());
  Threads.run();
  return boost::outcome_v2::success();
}

Result<void> ospreyspur::runAgent(const AgentSettings &settings) {
  return AgentProcess(settings).run();
}
