//===- ColdEndpoints.cpp - endpoints that have just started ---------------===//
//
// See ColdEndpoints.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/ColdEndpoints.h"

#include "ospreyspur/Direct/FleetConfig.h"

#include <algorithm>
#include <unordered_set>

using namespace ospreyspur;

void ColdEndpoints::setEndpoints(const std::vector<ListedEndpoint> &endpoints,
                                 const FleetConfig &config, TimePoint now) {
  std::unordered_set<IncarnationDigest> present;
  for (const ListedEndpoint &it : endpoints) {
    track(it, config, now);
    present.insert(digestIncarnation(it.Record.Id));
  }
  std::erase_if(Endpoints, [&](const auto &it) {
    bool isGone = !present.contains(it.first);
    if (isGone && it.second.ColdUntil)
      Rates.onResponse(it.first, std::nullopt, now, now);
    return isGone;
  });
  HasList = HasList || !endpoints.empty();
  onTimer(now);
}

/// Returns for how long the endpoint counts as cold from now on; unset if the
/// list says nothing new. \p known is null for an endpoint that was not in the
/// previous list.
std::optional<Duration> ColdEndpoints::coldTime(const Tracked *known,
                                                const ListedEndpoint &endpoint,
                                                const ServiceRule &service) {
  // Endpoints may have been restarted during a drain, and their records are a
  // heartbeat old.
  if (known && known->WasDrained && !endpoint.IsDrained)
    return std::max(service.ColdTime,
                    endpoint.Record.ColdLeft.value_or(Duration::zero()));
  if (known && known->ListedAt == endpoint.Record.ListedAt)
    return std::nullopt;
  return endpoint.Record.ColdLeft.value_or(known ? Duration::zero()
                                                 : service.ColdTime);
}

void ColdEndpoints::track(const ListedEndpoint &endpoint,
                          const FleetConfig &config, TimePoint now) {
  IncarnationDigest id = digestIncarnation(endpoint.Record.Id);
  auto at = Endpoints.find(id);
  bool isFirstList = !HasList && !endpoint.Record.ColdLeft;
  std::optional<Duration> cold;
  const ServiceRule *service = config.findService(endpoint.Record.Service);
  if (service && service->ColdRequestsPerSecond > 0 && !isFirstList)
    cold = coldTime(at == Endpoints.end() ? nullptr : &at->second, endpoint,
                    *service);
  if (at == Endpoints.end()) {
    at = Endpoints.emplace(id, Tracked()).first;
    if (HasList)
      at->second.NewUntil = now + NewTime;
  }
  Tracked &tracked = at->second;
  tracked.ListedAt = endpoint.Record.ListedAt;
  tracked.WasDrained = endpoint.IsDrained;
  if (!cold || *cold <= Duration::zero() ||
      tracked.ColdUntil.value_or(now) >= now + *cold)
    return;
  if (!tracked.ColdUntil)
    LogRecords.emplace_back(id, *cold);
  tracked.ColdUntil = now + *cold;
  Rates.onResponse(id, service->ColdRequestsPerSecond * SharedPart, now, now);
}

void ColdEndpoints::onTimer(TimePoint now) {
  ColdCount = 0;
  for (auto &[id, tracked] : Endpoints) {
    if (tracked.ColdUntil && *tracked.ColdUntil <= now) {
      tracked.ColdUntil.reset();
      Rates.onResponse(id, std::nullopt, now, now);
    }
    ColdCount += tracked.ColdUntil ? 1 : 0;
  }
  Rates.takeLogRecords();
}

bool ColdEndpoints::isNew(IncarnationDigest incarnation, TimePoint now) const {
  auto it = Endpoints.find(incarnation);
  return it != Endpoints.end() &&
         (it->second.ColdUntil || now < it->second.NewUntil);
}

std::optional<TimePoint> ColdEndpoints::nextTimer() const {
  if (isEmpty())
    return std::nullopt;
  std::optional<TimePoint> next;
  for (const auto &[id, tracked] : Endpoints)
    if (tracked.ColdUntil && (!next || *tracked.ColdUntil < *next))
      next = tracked.ColdUntil;
  return next;
}
