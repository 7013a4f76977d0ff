//===- RankAgent.h - an agent beside one rank of a group --------*- C++ -*-===//
//
// An agent reads its rank's state and sends it to the group's coordinator. The
// coordinator is the agent that holds the group's lease. It plans expert maps
// and makes the ranks switch to them; the other agents forward its orders to
// their ranks.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_RANKAGENT_H
#define OSPREYSPUR_PROCESS_RANKAGENT_H

#include "ospreyspur/Config/Settings.h"
#include "ospreyspur/Direct/FleetConfig.h"
#include "ospreyspur/Experts/ChangeBudget.h"
#include "ospreyspur/Experts/CoordinatorWatch.h"
#include "ospreyspur/Experts/DemandMeter.h"
#include "ospreyspur/Experts/DemandSampler.h"
#include "ospreyspur/Experts/DirectReadPlanner.h"
#include "ospreyspur/Experts/LeaseHolder.h"
#include "ospreyspur/Experts/MapDelta.h"
#include "ospreyspur/Experts/MapOrderQueue.h"
#include "ospreyspur/Experts/MapSwitch.h"
#include "ospreyspur/Experts/MemberConsent.h"
#include "ospreyspur/Experts/PlacementPlanner.h"
#include "ospreyspur/Experts/StallWatch.h"
#include "ospreyspur/Experts/StatusFilter.h"
#include "ospreyspur/Platform/PlatformClient.h"
#include "ospreyspur/Process/NodeTimer.h"
#include "ospreyspur/Process/PeerLinks.h"
#include "ospreyspur/Process/RankLink.h"
#include "ospreyspur/Rpc/PeerServer.h"
#include "ospreyspur/Support/Metrics.h"

#include <memory>
#include <optional>
#include <random>
#include <set>

namespace ospreyspur {

/// Limits of the lease of a group's coordinator.
LeaseLimits makeRankLeaseLimits();

/// The agent of one rank, on one io_context's thread.
class RankAgent {
public:
  /// Time limit of a call to the key-value store. A lost renewal must have
  /// ended before the next one is due: until then the other kept connections,
  /// which may have fallen silent too, are still in use.
  static constexpr Duration CallTimeout = std::chrono::milliseconds(800);

  RankAgent(boost::asio::io_context &ioc, const RankSettings &settings,
            Metrics &metrics, std::uint64_t seed);

  /// Starts to read the rank. Errors: SettingInvalid.
  Result<void> start();
  void stop();

private:
  /// This agent's membership of a group.
  struct Membership {
    Membership(const RankStatus &own, LeaseHolder lease)
        : Group(own.Group), Rank(own.Rank), Lease(std::move(lease)) {}

    GroupId Group;
    /// The number of the rank on this host.
    unsigned Rank = 0;
    LeaseHolder Lease;
  };

  void tick();
  void updateLease();
  boost::asio::awaitable<void> readRank();
  void onStatus(const RankStatus &status);
  void join(const RankStatus &status);
  void onOrderTimer();
  void checkLease(TimePoint now);
  bool canCoordinate(TimePoint now) const;
  bool canBeginChange(TimePoint now) const;
  bool canBypassAgents(TimePoint now) const;
  void watchForStall(const RankStatus &status);
  void queryCoordinator();
  void takeOver(const RankStatus &status);
  void onMessage(LinkId from, const Message &message);
  void onCoordinatorMessage(const EndpointId &from, const Message &message);
  void report(const RankStatus &status);
  void onReply(LinkId from, const MapOrderReply &reply);
  void takeStatus(const RankStatus &status, std::optional<LinkId> from);
  void bypassSilentAgents(TimePoint now);
  boost::asio::awaitable<void> readCandidates();
  boost::asio::awaitable<void> readDirectly(TcpAddress address);
  std::shared_ptr<RankLink> directLink(const TcpAddress &address);
  boost::asio::awaitable<void> sendDirectly(std::shared_ptr<RankLink> link,
                                            unsigned rank, MapOrder order);
  void apply(const SwitchActions &actions);
  void perform(const SendMapOrder &action);
  void sendMaps();
  void sendOrQueue(const SendMapOrder &action, LinkId link);
  std::shared_ptr<RankLink> chooseHoldLink(const SendMapOrder &action);
  std::shared_ptr<RankLink> chooseRetryLink(const SendMapOrder &action);
  void considerPlan();
  PlacementPlan makePlan(bool isUrgent) const;
  void readEngineSettings();
  void logPhase();
  void logGroup();
  bool matchesEngineSettings() const;
  void spawn(boost::asio::awaitable<void> task);
  boost::asio::awaitable<void> sendToOwnRank(unsigned rank, MapOrder order);
  boost::asio::awaitable<void> forwardOrder(EndpointId from, MapOrder order);

  boost::asio::io_context &Context;
  const RankSettings &Settings;
  Metrics &Measures;
  std::mt19937_64 Random;
  PlatformClient Platform;
  RankLink Rank;
  std::optional<RankStatus> OwnStatus;
  std::unique_ptr<Membership> Member;
  StallWatch Stall;
  CoordinatorWatch Coordinator;
  DemandSampler Sampler;
  StatusFilter Filter;
  MemberConsent Consent;
  OrderGate Gate;
  /// When this agent became the coordinator.
  TimePoint CoordinatorSince;
  MapSwitch Switch;
  SwitchPhase LoggedPhase = SwitchPhase::Idle;
  DemandMeter Demand;
  /// The parameters of the service's engine, once read.
  std::optional<EngineCosts> EngineSettings;
  /// When this coordinator last had current reports of all ranks. Also set to
  /// the present time while this agent does not coordinate and each time that
  /// the lease is suspended.
  TimePoint CompleteAt;
  TimePoint NextCoordinatorQuery;
  TimePoint NextSettingsRead;
  TimePoint NextPlan;
  TimePoint NextGroupLog;
  /// The link on which each rank's agent reports.
  std::map<unsigned, LinkId> Links;
  /// The maps that were sent to the group's agents.
  SentMaps Sent;
  MapOrderQueue MapQueue;
  /// The map that this agent last received from a coordinator.
  ReceivedMap LastMap;
  /// Direct links to ranks by address: to read ranks whose agents send no
  /// reports, and for Hold orders and retries.
  std::map<TcpAddress, std::shared_ptr<RankLink>> DirectLinks;
  std::map<unsigned, std::shared_ptr<RankLink>> DirectRanks;
  /// Ranks to which a retry is in flight that bypasses their agent.
  std::set<unsigned> RetriesInFlight;
  DirectReadPlanner DirectReads;
  NodeTimer Timer;
  NodeTimer LeaseTimer;
  NodeTimer OrderTimer;
  bool IsReading = false;
  bool IsStopped = false;
  PeerServer Server;
  PeerLinks Peers;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_RANKAGENT_H
