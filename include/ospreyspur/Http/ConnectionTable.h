//===- ConnectionTable.h - which connection to close ------------*- C++ -*-===//
//
// When a server has as many connections as it may have, the one whose client
// has kept it waiting for longest is closed. A client that sends its request at
// once is then served beside any number of clients that do not.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_HTTP_CONNECTIONTABLE_H
#define OSPREYSPUR_HTTP_CONNECTIONTABLE_H

#include "ospreyspur/Support/StrongType.h"
#include "ospreyspur/Support/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace ospreyspur {

/// Names a connection of one server; never reused.
using ConnectionId = StrongType<struct ConnectionIdTag, std::uint64_t>;

/// The connections of one server.
class ConnectionTable {
public:
  // Commands.

  /// Adds a connection, which waits for a request from \p now on.
  ConnectionId add(TimePoint now);
  /// The connection waits for a request from \p now on.
  void beginWaiting(ConnectionId id, TimePoint now);
  /// The first bytes of a request have arrived; the rest is waited for.
  void beginReading(ConnectionId id, TimePoint now);
  /// A complete request has arrived, so the connection is not to be closed.
  void beginHandling(ConnectionId id);
  /// The connection is closed. Does nothing if it was removed before.
  void remove(ConnectionId id);

  // Queries.

  std::size_t size() const { return Connections.size(); }
  /// Returns the connection that has waited for longest for a request or for
  /// the rest of one; empty if all connections have a request that is handled.
  std::optional<ConnectionId> longestWaiting() const;
  /// Returns the connection that has waited for longest for the rest of a
  /// request; empty if there is none.
  std::optional<ConnectionId> longestReading() const;

private:
  using Queue = std::set<std::pair<TimePoint, ConnectionId>>;

  /// When the wait began; empty while a request is handled.
  std::map<ConnectionId, std::optional<TimePoint>> Connections;
  /// Connections that wait for a request or the rest of one, by their waits.
  Queue Waiting;
  /// Those that wait for the rest of a request.
  Queue Reading;
  std::uint64_t LastId = 0;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_HTTP_CONNECTIONTABLE_H
