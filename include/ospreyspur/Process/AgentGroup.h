//===- AgentGroup.h - an agent as a member of its group ---------*- C++ -*-===//
//
// Performs the I/O for GroupMember, GroupCoordinator and GroupPlanner. All
// functions run on the control thread.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_AGENTGROUP_H
#define OSPREYSPUR_PROCESS_AGENTGROUP_H

#include "ospreyspur/Config/Settings.h"
#include "ospreyspur/Experts/GroupCoordinator.h"
#include "ospreyspur/Experts/GroupMember.h"
#include "ospreyspur/Experts/GroupPlanner.h"
#include "ospreyspur/Http/HttpClient.h"
#include "ospreyspur/Platform/PlatformClient.h"
#include "ospreyspur/Process/NodeTimer.h"
#include "ospreyspur/Process/PeerLinks.h"
#include "ospreyspur/Routing/RoutingSnapshot.h"
#include "ospreyspur/Support/Metrics.h"

namespace ospreyspur {

/// An agent's membership of its lock-step group.
class AgentGroup {
public:
  AgentGroup(boost::asio::io_context &ioc, const AgentSettings &settings,
             PlatformClient &platform, Metrics &metrics);

  /// Starts to take part in the group.
  void start();
  /// Handles a message from another agent.
  void onMessage(const Message &message);
  /// Replaces the list of endpoints with a newer one.
  void setEndpoints(const std::vector<EndpointView> &endpoints);

private:
  void apply(const GroupActions &actions);
  void perform(const SendGroupOrder &action);
  void perform(const SendGroupReply &action);
  void perform(const OrderRank &action);
  void perform(const CallPlatformForGroup &action);
  boost::asio::awaitable<void> orderRank(OrderRank action);
  void send(const EndpointId &to, Message message);
  void onTimer();
  void planIfDue();

  boost::asio::io_context &Context;
  const AgentSettings &Settings;
  PlatformClient &Platform;
  Metrics &Measures;
  EndpointId Self;
  GroupMember Member;
  GroupCoordinator Coordinator;
  GroupPlanner Planner;
  HttpClient Engine;
  NodeTimer Timer;
  CoordinatorPhase LastPhase = CoordinatorPhase::Following;
  PeerLinks Peers;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_AGENTGROUP_H
