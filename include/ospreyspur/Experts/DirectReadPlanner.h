//===- DirectReadPlanner.h - direct reads of ranks --------------*- C++ -*-===//
//
// A frozen or crashed agent must not prevent its group from changing maps, so
// the coordinator bypasses silent agents and reads their ranks directly. That
// is meant for a few agents. When most agents are silent, the fault is more
// likely in this host's own link, and further requests only fill that link: a
// coordinator of 96 ranks that queried all of them never received its members'
// reports again. The number of reads per round is therefore limited, and there
// are none while most agents are silent, except for the time that members need
// to find a new coordinator.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_DIRECTREADPLANNER_H
#define OSPREYSPUR_EXPERTS_DIRECTREADPLANNER_H

#include "ospreyspur/Support/Address.h"
#include "ospreyspur/Support/Time.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace ospreyspur {

/// Plans the direct reads of one group's coordinator.
class DirectReadPlanner {
public:
  /// An agent's rank is read directly after this time without a report.
  static constexpr Duration AgentTimeout = std::chrono::milliseconds(400);
  /// Interval between two rounds of reads.
  static constexpr Duration RoundInterval = std::chrono::milliseconds(200);
  /// Number of reads in a round. With an estimated 0.7 KB each, they take 56 KB
  /// a second: a thirteenth of a link of 6 Mbit/s.
  static constexpr std::size_t MaxReadsPerRound = 16;
  /// Time after the start of leading during which direct reads are always
  /// allowed: members look for their coordinator every 1.5 s.
  static constexpr Duration JoinTime = std::chrono::milliseconds(2000);
  /// Interval between two reads of the list of endpoints.
  static constexpr Duration ListInterval = std::chrono::milliseconds(1000);

  // Commands.

  /// This agent has become the coordinator.
  void lead(TimePoint now) { LedSince = now; }
  /// The agent of \p rank, whose endpoint is at \p address, has reported.
  void onAgentReport(unsigned rank, const TcpAddress &address, TimePoint now);
  /// \p address belongs to \p rank of this group.
  void onRankAddress(unsigned rank, const TcpAddress &address);
  /// \p address belongs to another group or to none.
  void onForeignAddress(const TcpAddress &address) {
    ForeignAddresses.insert(address);
  }
  /// Sets the addresses at which ranks may be found.
  void setCandidates(std::vector<TcpAddress> addresses);
  /// The addresses to read now, in a group of \p size ranks.
  std::vector<TcpAddress> take(unsigned size, TimePoint now);
  /// Whether the list of endpoints is needed for setCandidates() now.
  bool takeListQuery(unsigned size, TimePoint now);

  // Queries.

  bool isReporting(unsigned rank, TimePoint now) const;

private:
  std::vector<unsigned> silentRanks(unsigned size, TimePoint now) const;
  bool mayRead(std::size_t silent, unsigned size, TimePoint now) const;

  std::map<unsigned, TimePoint> ReportedAt;
  std::map<unsigned, TcpAddress> Addresses;
  std::set<TcpAddress> ForeignAddresses;
  std::vector<TcpAddress> Candidates;
  TimePoint LedSince;
  TimePoint NextRound;
  TimePoint NextList;
  /// Where the next round continues.
  std::size_t NextTarget = 0;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_DIRECTREADPLANNER_H
