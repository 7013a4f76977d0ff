//===- EndpointList.cpp - which endpoints exist ---------------------------===//
//
// See EndpointList.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/EndpointList.h"

#include <algorithm>
#include <set>

using namespace ospreyspur;

/// Returns the latest revision among the records of each address.
static std::map<TcpAddress, Revision>
findLatest(const std::vector<EndpointRecord> &records) {
  std::map<TcpAddress, Revision> out;
  for (const EndpointRecord &it : records)
    out[it.Address] = std::max(out[it.Address], it.ListedAt);
  return out;
}

void EndpointList::replace(const std::vector<EndpointRecord> &records,
                           TimePoint now) {
  std::map<TcpAddress, Revision> latest = findLatest(records);
  std::set<std::string> names;
  std::set<EndpointId> present;
  for (const EndpointRecord &it : records) {
    if (it.ListedAt < latest[it.Address])
      continue;
    present.insert(it.Id);
    names.insert(it.Name);
    track(it);
  }
  // An endpoint with a successor under its name or at its address has exited.
  std::erase_if(Tracked, [&](const auto &it) {
    const EndpointRecord &record = it.second.Record;
    return !present.contains(it.first) &&
           (names.contains(record.Name) || latest.contains(record.Address));
  });
  std::vector<TrackedEndpoint *> vanished;
  for (auto &[id, tracked] : Tracked)
    if (!tracked.DropAt && !present.contains(id))
      vanished.push_back(&tracked);
  bool isMassLapse = vanished.size() * MassLapseDivisor > Tracked.size();
  for (TrackedEndpoint *it : vanished)
    it->DropAt = now + (isMassLapse ? LapseGrace : MissingGrace);
}

/// An incarnation that leaves never returns to service, and a record never
/// replaces a newer one of the same incarnation.
void EndpointList::track(const EndpointRecord &record) {
  TrackedEndpoint &tracked = Tracked[record.Id];
  tracked.DropAt.reset();
  if (record.ListedAt < tracked.Record.ListedAt)
    return;
  bool wasLeaving = tracked.Record.IsLeaving;
  tracked.Record = record;
  tracked.Record.IsLeaving = record.IsLeaving || wasLeaving;
}

bool EndpointList::onTimer(TimePoint now) {
  return std::erase_if(Tracked, [now](const auto &it) {
           return it.second.DropAt && *it.second.DropAt <= now;
         }) > 0;
}

std::vector<ListedEndpoint> EndpointList::endpoints() const {
  std::vector<ListedEndpoint> out;
  out.reserve(Tracked.size());
  for (const auto &[id, tracked] : Tracked)
    out.push_back({tracked.Record, tracked.DropAt.has_value()});
  return out;
}

std::optional<TimePoint> EndpointList::nextTimer() const {
  std::optional<TimePoint> next;
  for (const auto &[id, tracked] : Tracked)
    if (tracked.DropAt && (!next || *tracked.DropAt < *next))
      next = tracked.DropAt;
  return next;
}
