//===- RankPlans.cpp - planning of expert placements ----------------------===//
//
// The part of RankAgent that reads the engine's parameters, plans placements
// and logs the state of the group. See RankAgent.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/RankAgent.h"

#include "ospreyspur/Support/LogEvent.h"
#include "platform/ConfigWire.h"

#include <glog/logging.h>

#include <algorithm>

using namespace ospreyspur;

// docs/PLATFORM.md describes the traffic that these values assume.

/// Time between two plans.
static constexpr Duration MinPlanInterval = std::chrono::milliseconds(100);
/// Time between two log lines about a group.
static constexpr Duration GroupLogInterval = std::chrono::seconds(1);
/// Time between two attempts to read the engine's parameters.
static constexpr Duration SettingsReadRetry = std::chrono::seconds(1);
/// Timeout of such a read. The parameters are part of the whole configuration,
/// some 0.3 MB, and are read over a narrow link that is busiest just after a
/// large group was formed. With a timeout of 1 s, reads were abandoned and
/// restarted, which filled the link permanently, and the group never left its
/// initial map.
static constexpr Duration SettingsReadTimeout = std::chrono::seconds(5);
/// Smallest reduction of the skew for which the map is changed; below this,
/// copying experts costs more than the change gains.
static constexpr double MinSkewGain = 0.2;
/// Above this skew, steps are so slow that one change may replace more experts.
/// A newly formed group exceeds it, with a skew of 3.3.
static constexpr double HighSkew = 2.5;

void RankAgent::readEngineSettings() {
  TimePoint now = monotonicNow();
  if (now < NextSettingsRead)
    return;
  NextSettingsRead = now + SettingsReadTimeout + SettingsReadRetry;
  KvCall call = KvGet{platform::ConfigDocumentKey, true};
  Platform.call(
      std::move(call), SettingsReadTimeout, [this](const KvReply &reply) {
        NextSettingsRead = monotonicNow() + SettingsReadRetry;
        Result<FleetConfig> config =
            reply.Code == ResultCode::Ok
                ? platform::readConfig(reply.Value)
                : Result<FleetConfig>(
                      Error{reply.Code, "cannot read the configuration"});
        if (!config) {
          LOG(WARNING) << LogEvent("figures.unknown")
                              .with("code",
                                    static_cast<unsigned>(config.error().Code))
                              .with("detail", config.error().Detail);
          return;
        }
        const ServiceRule *service =
            config.value().findService(ServiceId(Settings.Service));
        if (service)
          EngineSettings = service->Engine;
      });
}

void RankAgent::considerPlan() {
  TimePoint now = monotonicNow();
  if (!EngineSettings && Switch.isLeading())
    readEngineSettings();
  if (now < NextPlan || !EngineSettings || !Switch.canBegin(now) ||
      !canBeginChange(now))
    return;
  if (!matchesEngineSettings() || !Demand.isSettled(now))
    return;
  NextPlan = now + MinPlanInterval;
  logGroup();
  PlacementPlan plan = makePlan(false);
  if (plan.SkewBefore > HighSkew)
    plan = makePlan(true);
  if (plan.SkewBefore - plan.SkewAfter < MinSkewGain)
    return;
  apply(Switch.begin(plan.Placement, now));
  Measures.count("expert_copies_total", plan.Copies);
  LOG(INFO) << LogEvent("map.proposed")
                   .with("group", Member->Group.get())
                   .with("version", Switch.version().get())
                   .with("copies", plan.Copies)
                   .with("demands", Demand.shifts())
                   .with("skew", plan.SkewBefore)
                   .with("skew_after", plan.SkewAfter);
}

PlacementPlan RankAgent::makePlan(bool isUrgent) const {
  ChangeBudget budget(EngineSettings->CopyTime);
  PlacementLimits limits{EngineSettings->SlotsPerRank,
                         EngineSettings->SpareSlots,
                         budget.newPerRank(isUrgent), budget.minGain()};
  return PlacementPlanner(limits).plan(Switch.placement(), Demand.demand(),
                                       Switch.slowdowns());
}

/// Sets the metrics of the group's steps and load imbalance and logs them,
/// which shows pauses of the group. Runs at most once a second and not while a
/// change is in progress.
void RankAgent::logGroup() {
  TimePoint now = monotonicNow();
  if (now < NextGroupLog || !Switch.canBegin(now) || !matchesEngineSettings())
    return;
  NextGroupLog = now + GroupLogInterval;
  PlacementLimits none{EngineSettings->SlotsPerRank, 0, 0, 0};
  PlacementPlan present = PlacementPlanner(none).plan(
      Switch.placement(), Demand.demand(), Switch.slowdowns());
  Measures.set("group_skew", present.SkewBefore);
  Measures.set("group_steps_per_second", Switch.stepsPerSecond());
  LOG(INFO) << LogEvent("group.state")
                   .with("group", Member->Group.get())
                   .with("map", Switch.ranks().begin()->second.Map.get())
                   .with("steps_per_s", Switch.stepsPerSecond())
                   .with("skew", present.SkewBefore);
}

/// Whether the engine's parameters are known and match the ranks' reports.
bool RankAgent::matchesEngineSettings() const {
  if (!EngineSettings || EngineSettings->ExpertSets == 0 ||
      Switch.ranks().empty())
    return false;
  const RankPlacement &first = Switch.ranks().begin()->second.Placement;
  return first.size() == EngineSettings->ExpertSets &&
         Demand.demand().size() ==
             EngineSettings->ExpertSets * EngineSettings->Experts &&
         Demand.total() > 0;
}

/// The name of \p phase in logs and metrics.
static const char *phaseName(SwitchPhase phase) {
  switch (phase) {
  case SwitchPhase::Idle:
    return "idle";
  case SwitchPhase::Claiming:
    return "claiming";
  case SwitchPhase::Preparing:
    return "preparing";
  case SwitchPhase::Holding:
    return "holding";
  case SwitchPhase::Arming:
    return "arming";
  case SwitchPhase::Releasing:
    return "releasing";
  case SwitchPhase::Confirming:
    return "confirming";
  case SwitchPhase::Freezing:
    return "freezing";
  case SwitchPhase::Disarming:
    return "disarming";
  case SwitchPhase::Invalidating:
    return "invalidating";
  }
  return "";
}

void RankAgent::logPhase() {
  if (Switch.phase() == LoggedPhase)
    return;
  LoggedPhase = Switch.phase();
  Measures.count("map_phases_total{phase=\"" +
                 std::string(phaseName(LoggedPhase)) + "\"}");
  auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      monotonicNow() - Switch.beganAt());
  auto count = [this](auto isCounted) {
    return std::count_if(Switch.ranks().begin(), Switch.ranks().end(),
                         [&](const auto &it) { return isCounted(it.second); });
  };
  auto armed = count([](const RankStatus &it) { return it.Armed.has_value(); });
  auto held = count([](const RankStatus &it) { return it.Held.has_value(); });
  LOG(INFO) << LogEvent("map.phase")
                   .with("group", Member ? Member->Group.get() : "")
                   .with("version", Switch.version().get())
                   .with("phase", phaseName(LoggedPhase))
                   .with("armed", armed)
                   .with("held", held)
                   .with("ms", age.count());
}
