//===- MapSwitch.h - brings a new map into force on a group -----*- C++ -*-===//
//
// The coordinator's state machine for one group that the platform forms. Either
// all ranks switch to the new map at the same step or none does:
//
//   prepare on all -> hold step S on one -> arm for S on all but two -> on the
//   last but one -> on the coordinator's own -> release S
//
// Before its first change, a coordinator sends every rank an order that only
// raises the rank's fencing token, and then reads the ranks' states again. From
// then on no order of a predecessor can take effect, so whatever a rank is
// armed for was ordered by the latest coordinator.
//
// While S is held no rank can begin it, so a rank that cannot be armed is
// harmless: the others are disarmed before the release. Fencing tokens rise
// with each order, so an order without a reply cannot take effect after a later
// one. A coordinator that finds an unfinished change first holds the step on
// every rank with its own, higher token; then nothing from its predecessor can
// take effect. If the predecessor's host does not respond, the state of the
// rank on that host is unknown. But that rank is armed last and disarmed first:
// as long as any other rank is not armed, that rank is not armed either. The
// version of the map tells which rank that is; see nextVersion(). Arming one
// more rank in a stage of its own before the last makes it rare that all others
// are armed.
//
// Where ranks do not check fencing tokens, any order may be executed late,
// after newer ones. All that such ranks compare is the version of a map, which
// must be above all that the rank has taken, the formation and the step. There:
//
// - A step is released only while every rank is armed for one map at this step
//   or a later one. Nothing else can then happen to the group before that step,
//   so late copies of the release have no effect.
// - A change that every rank is armed for goes forward, whoever finds it. Any
//   other unfinished change is invalidated: each rank prepares the map in force
//   under a new version and forgets the map of the change, so that orders to
//   arm it have no effect any more. All ranks are then armed for the new
//   version at the step that is held, which is released.
// - A rank is disarmed only after another one was invalidated, since nobody can
//   find every rank armed from then on: a change cannot be invalidated and go
//   forward.
//
// None of this depends on who else sends orders, or on when one is executed.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_MAPSWITCH_H
#define OSPREYSPUR_EXPERTS_MAPSWITCH_H

#include "ospreyspur/Experts/MapOrder.h"
#include "ospreyspur/Support/Time.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace ospreyspur {

/// Timeouts and limits of a change.
struct SwitchLimits {
  /// Time after which an order without a reply is sent again, with a higher
  /// token. A reply takes a few milliseconds; the group may be stalled
  /// meanwhile.
  Duration Resend = std::chrono::milliseconds(40);
  /// Number of repeated orders that may be sent within Resend. While more
  /// orders have no reply, each waits longer: the replies of a large group
  /// arrive one after the other, and copies sent meanwhile would queue ahead of
  /// the next order. With a fixed interval, a coordinator of 96 ranks on links
  /// of 6 Mbit/s sent each map five times, and no change completed.
  std::size_t RepeatsPerResend = 8;
  /// A status older than this is not used.
  Duration StatusAge = std::chrono::milliseconds(1500);
  /// Time that ranks have for copying experts.
  Duration PrepareTimeout = std::chrono::seconds(6);
  /// Time after which Holding and Arming are rolled back, and Claiming and
  /// Confirming abandoned. Freezing, Releasing and Disarming have no limit.
  Duration PhaseTimeout = std::chrono::milliseconds(1200);
  /// Minimum number of steps between the current one and the change: orders
  /// take a few milliseconds, a step of a busy group some tens.
  std::uint64_t StepsAhead = 1;
  /// Upper bound of the delay that slow arming may add to the change.
  Duration MaxStepDelay = std::chrono::milliseconds(800);
  /// Time that arming is expected to take before it has been measured: four
  /// round trips of busy hosts, to hold, to arm most ranks, the last but one
  /// and the coordinator's own.
  Duration FirstArmingTime = std::chrono::milliseconds(100);
  /// Number of steps that the coordinator tries to hold; the group may step
  /// faster than estimated.
  unsigned MaxHolds = 3;
  /// Time within which a rank that has accepted a map without new experts
  /// reports it as prepared; afterwards the rank gets the map again.
  Duration ReportDelay = std::chrono::milliseconds(500);
  /// A rank is unreachable if a coordinator that has led for at least this time
  /// has received nothing from the rank.
  Duration UnreachableAfter = std::chrono::milliseconds(150);
  /// Window over which the group's step rate is measured.
  Duration StepWindow = std::chrono::milliseconds(300);
};

enum class SwitchPhase : std::uint8_t {
  /// No change is under way.
  Idle,
  /// Invalidates the orders of earlier coordinators on every rank.
  Claiming,
  Preparing,
  Holding,
  Arming,
  Releasing,
  /// Waits until every rank reports the new map.
  Confirming,
  /// Holds the step of an unfinished change on every rank.
  Freezing,
  /// Disarms the ranks that report that they are armed; to roll back a change
  /// of this coordinator, every rank.
  Disarming,
  /// Makes the orders of an unfinished change ineffective on every rank, where
  /// ranks do not check fencing tokens.
  Invalidating,
};

/// Send \c Order to rank \c Rank.
struct SendMapOrder {
  unsigned Rank = 0;
  /// Number of earlier copies of the order without a reply.
  unsigned Tries = 0;
  MapOrder Order;
};

using SwitchActions = std::vector<SendMapOrder>;

/// Coordinates the map changes of one group.
class MapSwitch {
public:
  /// \p checksFences: whether the ranks refuse orders with outdated fencing
  /// tokens.
  explicit MapSwitch(SwitchLimits limits, bool checksFences = true)
      : Limits(limits), ChecksFences(checksFences) {}

  // Commands.

  /// Begins to lead. Orders carry fencing tokens that begin with \p lease, a
  /// number that rises with each holder of the group's lease. \p ownRank is the
  /// rank on this coordinator's host.
  void lead(std::uint64_t lease, unsigned ownRank, TimePoint now);
  /// Stops sending orders.
  void resign();
  /// Handles the state of a rank at time \p seen. If \p status has no
  /// placement, the one reported before for the same map remains valid.
  SwitchActions onStatus(unsigned rank, const RankStatus &status,
                         TimePoint seen, TimePoint now);
  SwitchActions onReply(unsigned rank, const MapOrderReply &reply,
                        TimePoint now);
  SwitchActions onTimer(TimePoint now);
  /// Order \p id to \p rank waits for the link; it is not sent again before
  /// onSent().
  void onQueued(unsigned rank, MapOrderId id);
  /// Order \p id has been handed to the link.
  void onSent(unsigned rank, MapOrderId id, TimePoint now);
  /// Begins to bring \p placement into force; does nothing unless canBegin().
  SwitchActions begin(const GroupPlacement &placement, TimePoint now);

  // Queries.

  /// When onTimer() is next needed for an order without a reply.
  std::optional<TimePoint> nextTimer() const;
  /// False before lead(), after resign() and once a higher fencing token was
  /// seen.
  bool isLeading() const { return IsLeading; }
  SwitchPhase phase() const { return Phase; }
  /// Whether order \p id to \p rank still awaits a reply.
  bool isPending(unsigned rank, MapOrderId id) const;
  /// Whether a change may begin: no earlier change is unfinished, isComplete()
  /// is true, and all ranks have reported since the last change, run the same
  /// map, have reported their placement and have executed or refused an order
  /// under this lease.
  bool canBegin(TimePoint now) const;
  /// Whether every rank has reported recently, all from the same formation and
  /// accepting requests.
  bool isComplete(TimePoint now) const;
  /// The experts of every rank, as reported.
  GroupPlacement placement() const;
  /// The slowdown of each rank, as reported; 1 is normal speed.
  std::vector<double> slowdowns() const;
  /// The version of the change under way, or of the last one.
  MapVersion version() const { return Version; }
  /// The group's step rate, as last measured.
  double stepsPerSecond() const { return StepsPerSecond; }
  /// When the change under way began.
  TimePoint beganAt() const { return BeganAt; }
  const std::map<unsigned, RankStatus> &ranks() const { return Ranks; }
  /// The number of the lease under which an order with \p token was sent.
  static std::uint64_t leaseOf(FencingToken token) {
    return token.get() >> OrderBits;
  }

private:
  /// Bits of a token for the orders of one lease holder; the lease's number is
  /// in the higher bits.
  static constexpr unsigned OrderBits = 20;

  struct Pending {
    MapOrder Order;
    TimePoint SentAt;
    unsigned Tries = 0;
    /// Whether the order waits for the link.
    bool IsQueued = false;
  };

  struct PlannedOrder {
    unsigned Rank = 0;
    MapOrderKind Kind = MapOrderKind::Arm;
    MapVersion Version;
  };

  /// The last reply of a rank while a change is invalidated.
  struct RankReplied {
    TimePoint At;
    MapOrderResult Result = MapOrderResult::Unanswered;
  };

  Duration resendAfter() const;
  bool isSurveyed() const;
  bool allRanks(const std::function<bool(const RankStatus &)> &test) const;
  void forgetRank(unsigned rank, TimePoint now);
  void recordStep(const RankStatus &status, TimePoint now);
  void enter(SwitchPhase phase, TimePoint now);
  void enterIdle(TimePoint now);
  void advance(TimePoint now);
  void advanceIdle(TimePoint now);
  void advanceFrozen(TimePoint now);
  void advanceConfirming(TimePoint now);
  std::optional<unsigned> unreachableRank(TimePoint now) const;
  bool canDecide(TimePoint now) const;
  MapVersion newestVersion() const;
  bool isNewestArmed() const;
  MapVersion nextVersion();
  static unsigned coordinatorOf(MapVersion version, std::size_t size);
  void beginArming(TimePoint now);
  void beginDisarming(MapVersion version, bool all, TimePoint now);
  bool beginStage(TimePoint now);
  bool beginClaiming(TimePoint now);
  void holdNext(TimePoint now);
  StepNumber presentStep(TimePoint now) const;
  std::uint64_t stepsAhead() const;
  void recordArming(TimePoint now);
  void orderAll(MapOrderKind kind, TimePoint now);
  void order(unsigned rank, MapOrderKind kind, MapVersion version,
             StepNumber step, TimePoint now);
  void releaseOthers(TimePoint now);
  void send(unsigned rank, MapOrder order, unsigned tries, TimePoint now);
  void onRefused(unsigned tries, TimePoint now);
  void onPhaseDone(TimePoint now);
  bool isSuperseded(const RankStatus &status) const;
  void resolveUnchecked(TimePoint now);
  void beginInvalidating(TimePoint now);
  void advanceInvalidating(TimePoint now);
  void onInvalidationReply(unsigned rank, MapOrderResult result, TimePoint now);
  bool isInvalidated(const RankStatus &status) const;
  bool isAbandoned(MapVersion version) const;
  bool mayOrderAgain(unsigned rank, TimePoint now) const;
  bool invalidate(unsigned rank, const RankStatus &status, TimePoint now);
  void armHeldStep(TimePoint now);
  void rollBack(TimePoint now);
  void release(bool isChanging, TimePoint now);
  SwitchActions takeActions();

  SwitchLimits Limits;
  bool ChecksFences;
  bool IsLeading = false;
  /// Whether a higher token, or orders of a later lease, were seen under Lease.
  bool IsFenced = false;
  std::uint64_t Lease = 0;
  unsigned OwnRank = 0;
  std::uint64_t LastOrder = 0;
  SwitchPhase Phase = SwitchPhase::Idle;
  TimePoint PhaseAt;
  TimePoint BeganAt;
  /// Statuses from before this time are too old to decide by.
  std::optional<TimePoint> SurveySince;
  FormationEpoch Formation;
  MapVersion Version;
  StepNumber Step;
  unsigned HoldTries = 0;
  /// When the order to hold the step of this change was sent.
  TimePoint HeldAt;
  /// The time from then until all ranks were armed, of the last change, or half
  /// that of an earlier one if that is longer.
  Duration ArmingTime{};
  /// The stages of the phase that follow the pending orders.
  std::deque<std::vector<PlannedOrder>> Stages;
  /// In Releasing: whether the group will begin the step with Version.
  bool IsChanging = false;
  TimePoint LeadingSince;
  /// Ranks that have executed or refused an order under this lease in the
  /// current formation.
  std::set<unsigned> RanksWithToken;
  FormationEpoch TokenFormation;
  std::shared_ptr<const GroupPlacement> PlannedMap;
  /// In Invalidating: the last reply of each rank whose order needs a report to
  /// show its effect.
  std::map<unsigned, RankReplied> LastReplies;
  std::map<unsigned, RankStatus> Ranks;
  std::map<unsigned, TimePoint> SeenAt;
  /// Orders of the current phase without a final reply, by rank.
  std::map<unsigned, Pending> Orders;
  /// Measurement of the group's step rate.
  FormationEpoch StepFormation;
  StepNumber HighestStep;
  StepNumber LastStep;
  TimePoint LastStepAt;
  double StepsPerSecond = 0;
  SwitchActions Out;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_MAPSWITCH_H
