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
    Rows[it.Id] = {it, std::nullopt};
  }
  // An endpoint with a successor under its name or at its address has exited.
  std::erase_if(Rows, [&](const auto &it) {
    const EndpointRecord &record = it.second.Record;
    return !present.contains(it.first) &&
           (names.contains(record.Name) || latest.contains(record.Address));
  });
  std::vector<Row *> vanished;
  for (auto &[id, row] : Rows)
    if (!row.DropAt && !present.contains(id))
      vanished.push_back(&row);
  bool areMany = vanished.size() * ManyOneIn > Rows.size();
  for (Row *it : vanished)
    it->DropAt = now + (areMany ? LapseGrace : MissingGrace);
}

bool EndpointList::onTimer(TimePoint now) {
  return std::erase_if(Rows, [now](const auto &it) {
           return it.second.DropAt && *it.second.DropAt <= now;
         }) > 0;
}

std::vector<ListedEndpoint> EndpointList::endpoints() const {
  std::vector<ListedEndpoint> out;
  out.reserve(Rows.size());
  for (const auto &[id, row] : Rows)
    out.push_back({row.Record, row.DropAt.has_value()});
  return out;
}

std::optional<TimePoint> EndpointList::nextTimer() const {
  std::optional<TimePoint> next;
  for (const auto &[id, row] : Rows)
    if (row.DropAt && (!next || *row.DropAt < *next))
      next = row.DropAt;
  return next;
}
