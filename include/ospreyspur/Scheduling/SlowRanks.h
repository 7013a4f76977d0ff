//===- SlowRanks.h - ranks that delay their whole group ---------*- C++ -*-===//
//
// Handles a group in lock step of which one rank is several times slower than
// the others. Any request on such a rank makes all streams of the
// group late, so the rank must get no requests and become empty. The group's
// inter-event gap then says little about what the group can do without that
// rank; judged by it, all ranks of the group count as too slow and no stream
// can leave.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_SCHEDULING_SLOWRANKS_H
#define OSPREYSPUR_SCHEDULING_SLOWRANKS_H

#include "ospreyspur/Direct/GroupGaps.h"
#include "ospreyspur/Scheduling/SlowRankLogRecord.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ospreyspur {

class EndpointTable;
struct EndpointState;
struct FleetConfig;

/// Finds the ranks to be emptied by the slowdown factors that they report.
class SlowRanks {
public:
  /// How long gapWithout() leaves out a rank that has become slow. Its streams
  /// migrate within an iteration or two if they can; after that, the measured
  /// gap is what the group's requests will see.
  static constexpr Duration MaxEmptyingTime = std::chrono::seconds(2);

  /// Keeps a reference to \p table.
  explicit SlowRanks(const EndpointTable &table) : Table(table) {}

  // Commands.

  /// Takes the engines' costs and the gap targets of \p config.
  void setConfig(std::shared_ptr<const FleetConfig> config);
  /// Evaluates the slowdown factors that the table holds at \p now.
  void update(TimePoint now);
  /// Returns the changes since the last call, for the log.
  std::vector<SlowRankLogRecord> takeLogRecords() {
    return std::exchange(LogRecords, {});
  }

  // Queries.

  /// The ranks that are slow, whether they are to be emptied or not.
  const std::set<EndpointId> &slow() const { return Slow; }
  /// Whether \p state's rank is to be emptied: one request there makes the
  /// iterations of a fully used group longer than the strictest gap target of
  /// its service, and most ranks of its group are not as slow.
  bool isToBeEmptied(const EndpointState &state) const;
  /// Returns the inter-event gap to expect in \p state's group once the ranks
  /// that are to be emptied have no requests, given the \p measured one.
  Duration gapWithout(const EndpointState &state, Duration measured) const;

private:
  struct SlowRank {
    TimePoint Since;
    /// The most requests that the rank has had since then.
    unsigned MaxRunning = 1;
  };
  /// What the ranks of one group that are to be emptied add to an iteration.
  struct AddedTime {
    Duration Added{};
    /// The time that a rank of normal speed takes with all slots in use.
    Duration Least{};
  };

  bool isSlow(const EndpointState &state, TimePoint now) const;
  void computeAddedTimes(TimePoint now);
  void record(const EndpointId &id, TimePoint now);

  const EndpointTable &Table;
  std::shared_ptr<const FleetConfig> Config;
  /// The strictest gap target of the routes to each service.
  std::unordered_map<ServiceId, Duration> GapTargets;
  std::set<EndpointId> Slow;
  std::map<EndpointId, SlowRank> Details;
  /// Number of slow ranks by group.
  std::map<GroupGaps::Key, std::size_t> SlowInGroup;
  std::map<GroupGaps::Key, AddedTime> AddedTimes;
  std::vector<SlowRankLogRecord> LogRecords;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_SCHEDULING_SLOWRANKS_H
