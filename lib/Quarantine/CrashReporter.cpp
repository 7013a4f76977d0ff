//===- CrashReporter.cpp - schedules crash reports to relays --------------===//
//
// See CrashReporter.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Quarantine/CrashReporter.h"

#include "ospreyspur/Routing/RoutingSnapshot.h"
#include "ospreyspur/Support/Digest.h"

#include <algorithm>
#include <set>
#include <tuple>

using namespace ospreyspur;

std::vector<EndpointId>
ospreyspur::chooseRelays(const RoutingSnapshot &snapshot) {
  // The first of each data centre in the order of digests, then the others.
  using RankedEndpoint = std::tuple<std::uint64_t, EndpointId>;
  std::map<DataCentreId, std::set<RankedEndpoint>> byDataCentre;
  for (const auto &[name, service] : snapshot.Services)
    for (const EndpointView &it : service.Endpoints)
      if (!it.IsLeaving)
        byDataCentre[it.DataCentre].insert({digest64(it.Id.get()), it.Id});
  std::set<std::tuple<std::size_t, std::uint64_t, EndpointId>> order;
  for (const auto &[name, endpoints] : byDataCentre) {
    std::size_t position = 0;
    for (const auto &[digest, id] : endpoints) {
      if (position == RelayCount)
        break;
      order.insert({position++, digest, id});
    }
  }
  std::vector<EndpointId> out;
  for (const auto &[position, digest, id] : order)
    if (out.size() < RelayCount)
      out.push_back(id);
  return out;
}

void CrashReporter::setRelays(const std::vector<EndpointId> &relays) {
  std::erase_if(Relays, [&](const auto &it) {
    return std::find(relays.begin(), relays.end(), it.first) == relays.end();
  });
  for (const EndpointId &it : relays)
    Relays.try_emplace(it);
}

void CrashReporter::onChange(TimePoint now) {
  TimePoint due = now + BatchDelay;
  if (!ReportAt || due < *ReportAt)
    ReportAt = due;
}

void CrashReporter::onLinkDown(const EndpointId &relay, TimePoint now) {
  auto it = Relays.find(relay);
  if (it == Relays.end())
    return;
  it->second = Relay();
  it->second.DueAt = now + ReconnectDelay;
}

void CrashReporter::onCount(const EndpointId &relay, std::size_t entries,
                            TimePoint now) {
  auto it = Relays.find(relay);
  if (it == Relays.end())
    return;
  it->second.Entries = entries;
  it->second.CountedAt = now;
}

std::vector<EndpointId> CrashReporter::takeSubscriptions(TimePoint now) {
  std::vector<EndpointId> out;
  for (auto &[id, relay] : Relays) {
    if (relay.IsSubscribed || now < relay.DueAt)
      continue;
    relay.IsSubscribed = true;
    relay.DueAt = now + HeartbeatInterval;
    out.push_back(id);
  }
  return out;
}

std::vector<EndpointId> CrashReporter::takeHeartbeats(TimePoint now) {
  std::vector<EndpointId> out;
  for (auto &[id, relay] : Relays) {
    if (!relay.IsSubscribed || now < relay.DueAt)
      continue;
    relay.DueAt = now + HeartbeatInterval;
    out.push_back(id);
  }
  return out;
}

bool CrashReporter::takeReport(bool isRepeated, TimePoint now) {
  if (!ReportAt || now < *ReportAt)
    return false;
  ReportAt.reset();
  if (isRepeated)
    ReportAt = now + RefreshInterval;
  return true;
}

std::optional<TimePoint> CrashReporter::nextTimer() const {
  std::optional<TimePoint> next = ReportAt;
  for (const auto &[id, relay] : Relays)
    if (!next || relay.DueAt < *next)
      next = relay.DueAt;
  return next;
}

std::vector<EndpointId> CrashReporter::relays() const {
  std::vector<EndpointId> out;
  for (const auto &[id, relay] : Relays)
    if (relay.IsSubscribed)
      out.push_back(id);
  return out;
}

std::size_t CrashReporter::entryCount(TimePoint now) const {
  std::size_t n = 1;
  for (const auto &[id, relay] : Relays)
    if (now - relay.CountedAt < CountValidity)
      n = std::max(n, relay.Entries);
  return n;
}
