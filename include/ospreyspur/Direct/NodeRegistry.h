//===- NodeRegistry.h - registry of running processes -----------*- C++ -*-===//
//
// The state machine that keeps this process's record in the platform's
// key-value store under a lease and reads the records of the other processes.
// Records that vanish are kept for a while: in an outage leases lapse though
// the processes are still running.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_NODEREGISTRY_H
#define OSPREYSPUR_DIRECT_NODEREGISTRY_H

#include "ospreyspur/Platform/KeyValue.h"
#include "ospreyspur/Support/Ids.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ospreyspur {

/// How other processes reach one process.
struct NodeRecord {
  std::string Name;
  DataCentreId DataCentre;
  /// Address for links, as "ip:port".
  std::string LinkAddress;
  /// Address for datagrams with load reports; empty if the process accepts
  /// none.
  std::string LoadAddress;

  friend bool operator==(const NodeRecord &, const NodeRecord &) = default;
};

/// Maintains this process's record and the list of the other processes.
class NodeRegistry {
public:
  static constexpr Duration LeaseSpan = std::chrono::seconds(6);
  static constexpr Duration RenewEvery = std::chrono::seconds(2);
  /// Interval between two reads of all records: for the first \c FirstReads
  /// reads, and later. Above \c UsualFleet records the later interval grows
  /// with their number, so that the rows that the whole fleet reads per second
  /// grow in proportion to the fleet. Entries that start are known to those
  /// that share their endpoints from their first report.
  static constexpr Duration FirstReadEvery = std::chrono::milliseconds(500);
  static constexpr Duration ReadEvery = std::chrono::seconds(3);
  static constexpr unsigned FirstReads = 6;
  static constexpr std::size_t UsualFleet = 64;
  /// How long a vanished record is kept.
  static constexpr Duration VanishedGrace = std::chrono::seconds(10);
  static constexpr std::size_t MaxSkippedKeys = 100;
  /// Bounds of the delay before a failed write is retried.
  static constexpr Duration MinRetryDelay = std::chrono::milliseconds(250);
  static constexpr Duration MaxRetryDelay = std::chrono::seconds(2);

  explicit NodeRegistry(NodeRecord self) : Self(std::move(self)) {}

  // Commands.

  /// Returns the call that writes or renews this process's record, if one is
  /// due.
  std::optional<KvCall> nextWrite(TimePoint now);
  void onWritten(const KvReply &reply, TimePoint now);
  /// Returns the call that reads all records, if one is due.
  std::optional<KvCall> nextRead(TimePoint now);
  /// Returns true if the known processes have changed or have been read for the
  /// first time.
  bool onRead(const KvReply &reply, TimePoint now);

  /// Returns the keys of unreadable records that were not returned before; each
  /// key once, and up to \c MaxSkippedKeys in all.
  std::vector<std::string> takeSkippedKeys() {
    return std::exchange(NewlySkipped, {});
  }

  // Queries.

  const NodeRecord &self() const { return Self; }
  TimePoint nextTimer() const { return std::min(WriteAt, ReadAt); }
  /// Returns the records of the other processes.
  std::vector<NodeRecord> others() const;
  /// Whether the records were ever read.
  bool hasRead() const { return HasRead; }

private:
  std::string ownKey() const;
  Duration readInterval() const;

  NodeRecord Self;
  /// Revision of this process's own record; 0 if the record is not known to
  /// exist.
  Revision OwnRevision;
  Revision ExpectedRevision;
  bool IsWriting = false;
  bool IsReading = false;
  bool HasRead = false;
  Duration RetryDelay = MinRetryDelay;
  unsigned Reads = 0;
  TimePoint WriteAt;
  TimePoint ReadAt;
  struct Known {
    NodeRecord Record;
    TimePoint SeenAt;
  };
  std::map<std::string, Known> Nodes;
  std::set<std::string> Skipped;
  std::vector<std::string> NewlySkipped;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_NODEREGISTRY_H
