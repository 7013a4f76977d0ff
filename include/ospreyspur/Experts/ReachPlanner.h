//===- ReachPlanner.h - which ranks to read past their agents ---*- C++ -*-===//
//
// An agent that froze or died must not keep its group from changing maps, so a
// coordinator reads the ranks of silent agents itself. That is meant for a few
// agents. When most are silent the fault is more likely this host's own link,
// and whatever is sent then fills it further: a coordinator of 96 ranks that
// asked all of them never came to hear its members again. So what is read in a
// round is bounded, and nothing is while most are silent, but for the time that
// members need to find a new coordinator.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_REACHPLANNER_H
#define OSPREYSPUR_EXPERTS_REACHPLANNER_H

#include "ospreyspur/Support/Address.h"
#include "ospreyspur/Support/Time.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace ospreyspur {

/// Plans the reads of one group's coordinator.
class ReachPlanner {
public:
  /// After this time without a report an agent's rank is read from here.
  static constexpr Duration SilenceOfAgent = std::chrono::milliseconds(400);
  /// Between two rounds of reads.
  static constexpr Duration RoundEvery = std::chrono::milliseconds(200);
  /// Reads of a round. With 0.7 KB each, as estimated, 56 KB a second: a
  /// thirteenth of a link of 6 Mbit/s.
  static constexpr std::size_t MostInRound = 16;
  /// Members look for their coordinator each 1.5 s.
  static constexpr Duration JoinTime = std::chrono::milliseconds(2000);
  /// Between two reads of the list of endpoints.
  static constexpr Duration ListEvery = std::chrono::milliseconds(1000);

  // Commands.

  /// The agent has come to lead.
  void lead(TimePoint now) { LedSince = now; }
  /// The agent of \p rank, whose endpoint is at \p address, has reported.
  void onHeard(unsigned rank, const TcpAddress &address, TimePoint now);
  /// \p address belongs to \p rank of this group.
  void onFound(unsigned rank, const TcpAddress &address);
  /// \p address belongs to another group, or to none.
  void onOther(const TcpAddress &address) { Others.insert(address); }
  /// The addresses at which ranks may be found.
  void setCandidates(std::vector<TcpAddress> addresses);
  /// The addresses to read now, in a group of \p size.
  std::vector<TcpAddress> take(unsigned size, TimePoint now);
  /// Whether the list of endpoints is wanted for setCandidates() now.
  bool takeListQuestion(unsigned size, TimePoint now);

  // Queries.

  bool isHeard(unsigned rank, TimePoint now) const;

private:
  std::vector<unsigned> silentRanks(unsigned size, TimePoint now) const;
  bool mayReach(std::size_t silent, unsigned size, TimePoint now) const;

  std::map<unsigned, TimePoint> HeardAt;
  std::map<unsigned, TcpAddress> Addresses;
  std::set<TcpAddress> Others;
  std::vector<TcpAddress> Candidates;
  TimePoint LedSince;
  TimePoint NextRound;
  TimePoint NextList;
  /// Where the next round goes on.
  std::size_t Turn = 0;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_REACHPLANNER_H
