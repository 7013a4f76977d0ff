//===- LockStepFleet.h - entries and one group in lock step -----*- C++ -*-===//
//
// DirectNodes with streams on the ranks of one group, on virtual time. An
// iteration takes as long as its slowest rank and delivers one event of each
// stream.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_UNITTESTS_SCHEDULING_LOCKSTEPFLEET_H
#define OSPREYSPUR_UNITTESTS_SCHEDULING_LOCKSTEPFLEET_H

#include "ospreyspur/Direct/DirectNode.h"

#include "RandomScheduler.h"

#include <map>
#include <memory>
#include <vector>

namespace test {

using namespace ospreyspur;

/// Entries, the ranks of a group, and callers who send streams.
class LockStepFleet {
public:
  static constexpr unsigned Slots = 10;
  /// Requests that an engine accepts beyond its slots.
  static constexpr unsigned QueueLength = 20;
  static constexpr unsigned EventsPerStream = 20;
  static constexpr Duration GapTarget = std::chrono::milliseconds(120);
  /// Age of the state that a rank reports to other hosts.
  static constexpr Duration ReportLag = std::chrono::milliseconds(200);
  static constexpr Duration LoadReportInterval = std::chrono::milliseconds(20);

  /// A fleet whose callers use somewhat more than half of the slots.
  LockStepFleet(unsigned entries, unsigned ranks);

  // Commands.

  void run(Duration length) { Time.runUntil(Time.now() + length); }
  /// From now on \p rank takes \p slowdown times the usual duration.
  void setSlowdown(unsigned rank, double slowdown);
  /// From now on \p rank reports \p slowdown.
  void setReportedSlowdown(unsigned rank, double slowdown);
  /// Entry 0 receives a report of \p rank.
  void query(unsigned rank);
  /// The entry \p index neither sends nor receives anything from now on.
  void cutOff(unsigned index) { Entries[index].IsCutOff = true; }
  /// From now on callers use only the first \p entries.
  void useOnly(unsigned entries) { UsedEntries = entries; }
  /// The number of status queries since the last call.
  unsigned takeQueries() { return std::exchange(Queries, 0); }

  // Queries.

  /// Number of streams on \p rank of entries that are not cut off.
  unsigned runningAt(unsigned rank) const;
  unsigned entriesThatKnow(unsigned rank) const;
  /// Number of iterations that took longer than GapTarget.
  unsigned lateIterations() const { return LateIterations; }
  unsigned moved() const { return Moved; }
  unsigned refused() const { return Refused; }

private:
  struct Entry {
    std::unique_ptr<DirectNode> Node;
    bool IsCutOff = false;
  };
  struct Stream {
    unsigned Entry = 0;
    unsigned EventsLeft = EventsPerStream;
    std::optional<unsigned> Rank;
    bool HasBegun = false;
  };
  struct Rank {
    double Slowdown = 1;
    double Reported = 1;
    double ReportedBefore = 1;
    TimePoint ReportedSince;
    unsigned Running = 0;
  };
  void after(Duration delay, std::function<void()> what) {
    Time.at(Time.now() + delay, std::move(what));
  }
  void listRanks();
  void iterate();
  void finishIteration();
  void deliver(std::uint64_t id);
  void arrive();
  bool isTimerDue(unsigned entry) const;
  void tick();
  void report();
  void leaveRank(Stream &stream);
  EndpointStatus statusOf(unsigned rank) const;
  void apply(unsigned entry, const DirectActions &actions);
  void perform(unsigned entry, const StartAttempt &action);
  void perform(unsigned entry, const StopAttempt &action);
  void perform(unsigned entry, const QueryEndpoint &action);
  void perform(unsigned entry, const EndCall &action);
  template <typename Other> void perform(unsigned, const Other &) {}

  ospreyspur::test::RandomScheduler Time{1, 0};
  std::shared_ptr<FleetConfig> Config;
  std::vector<ListedEndpoint> Listed;
  std::map<EndpointId, unsigned> RankNumbers;
  std::vector<Rank> Ranks;
  std::vector<Entry> Entries;
  std::map<std::uint64_t, Stream> Streams;
  std::uint64_t LastCall = 0;
  unsigned Queries = 0;
  unsigned LateIterations = 0;
  unsigned Moved = 0;
  unsigned Refused = 0;
  unsigned UsedEntries;
};

} // namespace test

#endif // OSPREYSPUR_UNITTESTS_SCHEDULING_LOCKSTEPFLEET_H
