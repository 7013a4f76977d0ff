//===- DirectReadPlanner.cpp - direct reads of ranks ----------------------===//
//
// See DirectReadPlanner.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/DirectReadPlanner.h"

#include <algorithm>
#include <utility>

using namespace ospreyspur;

void DirectReadPlanner::onAgentReport(unsigned rank, const TcpAddress &address,
                                      TimePoint now) {
  ReportedAt[rank] = now;
  onRankAddress(rank, address);
}

void DirectReadPlanner::onRankAddress(unsigned rank,
                                      const TcpAddress &address) {
  Addresses[rank] = address;
  ForeignAddresses.erase(address);
}

void DirectReadPlanner::setCandidates(std::vector<TcpAddress> addresses) {
  Candidates = std::move(addresses);
  // An address that has left the list may later belong to another rank.
  std::set<TcpAddress> present(Candidates.begin(), Candidates.end());
  std::erase_if(ForeignAddresses,
                [&](const auto &it) { return !present.contains(it); });
  std::erase_if(Addresses,
                [&](const auto &it) { return !present.contains(it.second); });
}

bool DirectReadPlanner::isReporting(unsigned rank, TimePoint now) const {
  auto it = ReportedAt.find(rank);
  return it != ReportedAt.end() && now - it->second < AgentTimeout;
}

std::vector<unsigned> DirectReadPlanner::silentRanks(unsigned size,
                                                     TimePoint now) const {
  std::vector<unsigned> out;
  for (unsigned rank = 0; rank < size; ++rank)
    if (!isReporting(rank, now))
      out.push_back(rank);
  return out;
}

bool DirectReadPlanner::mayRead(std::size_t silent, unsigned size,
                                TimePoint now) const {
  bool isNew = now - LedSince < JoinTime;
  return silent > 0 && (isNew || silent * 2 <= size);
}

bool DirectReadPlanner::takeListQuery(unsigned size, TimePoint now) {
  std::vector<unsigned> silent = silentRanks(size, now);
  bool isUnknown =
      std::any_of(silent.begin(), silent.end(),
                  [this](unsigned rank) { return !Addresses.contains(rank); });
  if (now < NextList || !isUnknown || !mayRead(silent.size(), size, now))
    return false;
  NextList = now + ListInterval;
  return true;
}

std::vector<TcpAddress> DirectReadPlanner::take(unsigned size, TimePoint now) {
  std::vector<unsigned> silent = silentRanks(size, now);
  if (now < NextRound || !mayRead(silent.size(), size, now))
    return {};
  std::vector<TcpAddress> targets;
  std::set<TcpAddress> known;
  for (const auto &[rank, address] : Addresses)
    known.insert(address);
  bool isUnknown = false;
  for (unsigned rank : silent) {
    auto it = Addresses.find(rank);
    if (it != Addresses.end())
      targets.push_back(it->second);
    isUnknown = isUnknown || it == Addresses.end();
  }
  for (const TcpAddress &it : Candidates)
    if (isUnknown && !known.contains(it) && !ForeignAddresses.contains(it))
      targets.push_back(it);
  if (targets.empty())
    return {};
  NextRound = now + RoundInterval;
  std::size_t n = std::min(MaxReadsPerRound, targets.size());
  std::rotate(targets.begin(),
              targets.begin() + std::ptrdiff_t(NextTarget % targets.size()),
              targets.end());
  NextTarget += n;
  targets.resize(n);
  return targets;
}
