//===- LockStepFleet.h - entries before one group in lock step --*- C++ -*-===//
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

/// What the callers of one route send.
struct StreamLoad {
  unsigned Priority = 0;
  /// Streams per second of the whole fleet.
  double PerSecond = 0;
};

/// Entries, the ranks of a group, and callers who send streams.
class LockStepFleet {
public:
  static constexpr unsigned Slots = 10;
  static constexpr unsigned EventsPerStream = 20;
  static constexpr Duration GapTarget = std::chrono::milliseconds(120);
  /// Age of the state that a rank reports to other hosts.
  static constexpr Duration ReportLag = std::chrono::milliseconds(200);
  static constexpr Duration LoadReportInterval = std::chrono::milliseconds(20);

  /// A fleet whose callers use somewhat more than half of the slots.
  LockStepFleet(unsigned entries, unsigned ranks);
  LockStepFleet(unsigned entries, unsigned ranks,
                const std::vector<StreamLoad> &loads);

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
  /// Sets the streams per second of the route with index \p route.
  void setLoad(std::size_t route, double perSecond) {
    Loads[route].PerSecond = perSecond;
  }
  /// Sets by how much the expert map lengthens the experts' part.
  void setSkew(double skew) { Skew = skew; }
  /// The number of status queries since the last call.
  unsigned takeQueries() { return std::exchange(Queries, 0); }

  // Queries.

  /// Number of streams on \p rank of entries that are not cut off.
  unsigned runningAt(unsigned rank) const;
  unsigned entriesThatKnow(unsigned rank) const;
  /// Number of iterations that took longer than GapTarget.
  unsigned lateIterations() const { return LateIterations; }
  unsigned moved() const { return Moved; }
  unsigned refused() const;
  /// Streams of the route with index \p route that were complete and had no gap
  /// over GapTarget, as a fraction of all that ended.
  double servedInTime(std::size_t route) const;
  void clearOutcomes() { Outcomes.assign(Loads.size(), {}); }
  unsigned waiting() const;

private:
  struct Entry {
    std::unique_ptr<DirectNode> Node;
    bool IsCutOff = false;
  };
  struct Stream {
    unsigned Entry = 0;
    std::size_t Route = 0;
    unsigned EventsLeft = EventsPerStream;
    bool IsLate = false;
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
  struct Outcome {
    unsigned InTime = 0;
    unsigned Late = 0;
    unsigned Refused = 0;
  };

  void after(Duration delay, std::function<void()> what) {
    Time.at(Time.now() + delay, std::move(what));
  }
  void listRanks();
  void iterate();
  void finishIteration(Duration length);
  void deliver(std::uint64_t id, Duration length);
  void arrive(std::size_t route);
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
  std::vector<StreamLoad> Loads;
  double Skew = 1;
  std::shared_ptr<FleetConfig> Config;
  std::vector<ListedEndpoint> Listed;
  std::map<EndpointId, unsigned> RankNumbers;
  std::vector<Rank> Ranks;
  std::vector<Entry> Entries;
  std::map<std::uint64_t, Stream> Streams;
  std::vector<Outcome> Outcomes;
  std::uint64_t LastCall = 0;
  unsigned Queries = 0;
  unsigned LateIterations = 0;
  unsigned Moved = 0;
};

} // namespace test

#endif // OSPREYSPUR_UNITTESTS_SCHEDULING_LOCKSTEPFLEET_H
