//===- MapSwitch.h - brings a new map into force on a group -----*- C++ -*-===//
//
// The coordinator's state machine for one group that the platform forms. All
// ranks change at one step or none do:
//
//   prepare on all -> hold step S on one -> arm for S on all but two -> on the
//   last but one -> on the coordinator's own -> release S
//
// Before its first change a coordinator gives every rank an order that only
// raises the rank's token, and looks again: from then on no predecessor's order
// can act, so what a rank is armed for is the latest coordinator's doing.
//
// While S is held no rank can begin it, so a rank that cannot be armed is no
// harm: the others are disarmed before the release. Fencing tokens rise with
// each order, so an order without an answer cannot act after a later one. A
// coordinator that finds an unfinished change first holds the step on every
// rank with its own, higher token; then nothing of its predecessor's can act.
// If the predecessor's host does not answer, its rank cannot be asked. But that
// rank is armed last and disarmed first: as long as any other is not armed, it
// is not either. The version tells whose rank that is. Arming one more rank by
// itself before makes it rare that all others are armed.
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

/// Times of a change.
struct SwitchLimits {
  /// After this time an order without an answer is sent again, with a higher
  /// token. An answer takes some milliseconds; the group may stand meanwhile.
  Duration Resend = std::chrono::milliseconds(40);
  /// Repeats that may go in that time. While more orders are without an answer,
  /// each waits longer: answers of a large group come one after the other, and
  /// copies sent meanwhile would queue before the next order. In a group of 96
  /// on links of 6 Mbit/s each map went five times, and no change came to its
  /// end.
  std::size_t RepeatsPerResend = 8;
  /// A status older than this says nothing.
  Duration StatusAge = std::chrono::milliseconds(1500);
  /// How long ranks may take to copy experts.
  Duration PrepareTime = std::chrono::seconds(6);
  /// How long a phase may take before the change is taken back.
  Duration PhaseTime = std::chrono::milliseconds(1200);
  /// Steps between the present one and the change at least: orders take a few
  /// milliseconds, a step of a busy group some tens.
  std::uint64_t StepsAhead = 1;
  /// The change is put off by no more than this for the sake of slow answers.
  Duration LongestAhead = std::chrono::milliseconds(800);
  /// Steps tried to hold; a group may be faster than it seemed.
  unsigned MaxHolds = 3;
  /// A rank of which nothing was heard for this time, by a coordinator that has
  /// led for as long, is out of reach.
  Duration MissingAfter = std::chrono::milliseconds(150);
  /// Over which the group's speed is measured.
  Duration StepWindow = std::chrono::milliseconds(300);
};

enum class SwitchPhase : std::uint8_t {
  /// Nothing is under way.
  Idle,
  /// Makes void what earlier coordinators ordered, on every rank.
  Claiming,
  Preparing,
  Holding,
  Arming,
  Releasing,
  /// Waits until every rank reports the new map.
  Confirming,
  /// Holds the step of an unfinished change on every rank.
  Freezing,
  /// Disarms every rank.
  Disarming,
};

/// Send \c Order to the rank numbered \c Rank.
struct SendMapOrder {
  unsigned Rank = 0;
  /// How often an earlier copy of the order got no answer.
  unsigned Tries = 0;
  MapOrder Order;
};

using SwitchActions = std::vector<SendMapOrder>;

/// Coordinates the changes of one group.
class MapSwitch {
public:
  explicit MapSwitch(SwitchLimits limits) : Limits(limits) {}

  // Commands.

  /// From now on orders carry tokens that begin with \p lease, a number that
  /// rises with each holder of the group's lease.
  /// \p ownRank is the rank on this coordinator's host.
  void lead(std::uint64_t lease, unsigned ownRank, TimePoint now);
  /// Gives no more orders.
  void resign();
  /// Takes a rank's state as it stood at \p seen; if it has no placement, the
  /// one reported before for its map stands.
  SwitchActions onStatus(unsigned rank, const RankStatus &status,
                         TimePoint seen, TimePoint now);
  SwitchActions onReply(unsigned rank, const MapOrderReply &reply,
                        TimePoint now);
  SwitchActions onTimer(TimePoint now);
  /// The order \p id to \p rank waits for the link: it is not sent again before
  /// onSent().
  void onQueued(unsigned rank, MapOrderId id);
  /// It has been handed to the link.
  void onSent(unsigned rank, MapOrderId id, TimePoint now);
  /// Begins to bring \p placement into force; only while canBegin().
  SwitchActions begin(const GroupPlacement &placement, TimePoint now);

  // Queries.

  /// When onTimer() is next needed for an order without an answer.
  std::optional<TimePoint> nextTimer() const;
  /// False before lead() and once a higher fencing token was met.
  bool isLeading() const { return IsLeading; }
  SwitchPhase phase() const { return Phase; }
  /// Whether the order \p id to \p rank still wants an answer.
  bool isPending(unsigned rank, MapOrderId id) const;
  /// Whether a change may begin: the ranks are known and nothing is left over.
  bool canBegin(TimePoint now) const;
  /// Whether every rank of one formation has reported lately.
  bool isComplete(TimePoint now) const;
  /// The experts of every rank, as reported.
  GroupPlacement placement() const;
  /// How many times slower than usual each rank works, as reported.
  std::vector<double> paces() const;
  /// The version under way, or the last one.
  MapVersion version() const { return Version; }
  /// How fast the group steps, as last measured.
  double stepsPerSecond() const { return StepsPerSecond; }
  /// When the change under way began.
  TimePoint beganAt() const { return BeganAt; }
  const std::map<unsigned, RankStatus> &ranks() const { return Ranks; }
  /// The number of the lease under which an order with \p token was given.
  static std::uint64_t leaseOf(FencingToken token) {
    return token.get() >> OrderBits;
  }

private:
  /// Room for the orders of one lease holder below its number in a token.
  static constexpr unsigned OrderBits = 20;

  struct Pending {
    MapOrder Order;
    TimePoint SentAt;
    /// When the first copy went.
    TimePoint FirstAt;
    unsigned Tries = 0;
    /// Whether it waits for the link.
    bool IsQueued = false;
  };

  struct PlannedOrder {
    unsigned Rank = 0;
    MapOrderKind Kind = MapOrderKind::Arm;
    MapVersion Version;
  };

  Duration resendAfter() const;
  bool isSurveyed() const;
  bool allRanks(const std::function<bool(const RankStatus &)> &test) const;
  void forgetRank(unsigned rank, TimePoint now);
  void noteStep(const RankStatus &status, TimePoint now);
  void enter(SwitchPhase phase, TimePoint now);
  void enterIdle(TimePoint now);
  void advance(TimePoint now);
  void advanceIdle(TimePoint now);
  void advanceFrozen(TimePoint now);
  void advanceConfirming(TimePoint now);
  std::optional<unsigned> missingRank(TimePoint now) const;
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
  std::uint64_t stepsAhead() const;
  void noteAnswer(const Pending &order, TimePoint now);
  void orderAll(MapOrderKind kind, TimePoint now);
  void order(unsigned rank, MapOrderKind kind, MapVersion version,
             StepNumber step, TimePoint now);
  void releaseOthers(TimePoint now);
  void send(unsigned rank, MapOrder order, unsigned tries, TimePoint now);
  void onRefused(unsigned tries, TimePoint now);
  void onPhaseDone(TimePoint now);
  void takeBack(TimePoint now);
  void release(bool isChanging, TimePoint now);
  SwitchActions takeActions();

  SwitchLimits Limits;
  bool IsLeading = false;
  /// Whether a higher token was met under Lease.
  bool IsFenced = false;
  std::uint64_t Lease = 0;
  unsigned OwnRank = 0;
  std::uint64_t LastOrder = 0;
  SwitchPhase Phase = SwitchPhase::Idle;
  TimePoint PhaseAt;
  TimePoint BeganAt;
  /// Statuses from before this moment are too old to decide by.
  std::optional<TimePoint> SurveySince;
  FormationEpoch Formation;
  MapVersion Version;
  StepNumber Step;
  unsigned HoldTries = 0;
  /// The slowest answer of this change so far, or half of the one before it.
  Duration SlowestAnswer{};
  /// What remains of a phase after the orders under way.
  std::deque<std::vector<PlannedOrder>> Stages;
  /// Releasing: whether the group will begin the step with Version.
  bool IsChanging = false;
  TimePoint LeadingSince;
  /// Ranks that have taken an order under this lease since they were formed.
  std::set<unsigned> Claimed;
  FormationEpoch ClaimedIn;
  std::shared_ptr<const GroupPlacement> Wanted;
  std::map<unsigned, RankStatus> Ranks;
  std::map<unsigned, TimePoint> SeenAt;
  /// Orders of the present phase without a final answer, by rank.
  std::map<unsigned, Pending> Orders;
  /// How fast the group steps.
  FormationEpoch StepFormation;
  StepNumber LastStep;
  TimePoint LastStepAt;
  double StepsPerSecond = 0;
  SwitchActions Out;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_MAPSWITCH_H
