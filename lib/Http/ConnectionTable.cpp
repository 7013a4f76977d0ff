//===- ConnectionTable.cpp - which connection to close --------------------===//
//
// See ConnectionTable.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Http/ConnectionTable.h"

using namespace ospreyspur;

ConnectionId ConnectionTable::add(TimePoint now) {
  ConnectionId id(++LastId);
  Connections.emplace(id, now);
  Waiting.emplace(now, id);
  return id;
}

void ConnectionTable::beginHandling(ConnectionId id) {
  auto it = Connections.find(id);
  if (it == Connections.end() || !it->second)
    return;
  Waiting.erase({*it->second, id});
  Reading.erase({*it->second, id});
  it->second.reset();
}

void ConnectionTable::beginWaiting(ConnectionId id, TimePoint now) {
  beginHandling(id);
  auto it = Connections.find(id);
  if (it == Connections.end())
    return;
  it->second = now;
  Waiting.emplace(now, id);
}

void ConnectionTable::beginReading(ConnectionId id, TimePoint now) {
  beginWaiting(id, now);
  if (Connections.contains(id))
    Reading.emplace(now, id);
}

void ConnectionTable::remove(ConnectionId id) {
  beginHandling(id);
  Connections.erase(id);
}

static std::optional<ConnectionId>
firstOf(const std::set<std::pair<TimePoint, ConnectionId>> &queue) {
  if (queue.empty())
    return std::nullopt;
  return queue.begin()->second;
}

std::optional<ConnectionId> ConnectionTable::longestWaiting() const {
  return firstOf(Waiting);
}

std::optional<ConnectionId> ConnectionTable::longestReading() const {
  return firstOf(Reading);
}
