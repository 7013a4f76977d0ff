//===- ReachPlanner.cpp - direct reads of ranks ---------------------------===//
//
// See ReachPlanner.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/ReachPlanner.h"

#include <algorithm>
#include <utility>

using namespace ospreyspur;

void ReachPlanner::onHeard(unsigned rank, const TcpAddress &address,
                           TimePoint now) {
  HeardAt[rank] = now;
  onFound(rank, address);
}

void ReachPlanner::onFound(unsigned rank, const TcpAddress &address) {
  Addresses[rank] = address;
  Others.erase(address);
}

void ReachPlanner::setCandidates(std::vector<TcpAddress> addresses) {
  Candidates = std::move(addresses);
  // An address that has left the list may later belong to another rank.
  std::set<TcpAddress> present(Candidates.begin(), Candidates.end());
  std::erase_if(Others, [&](const auto &it) { return !present.contains(it); });
  std::erase_if(Addresses,
                [&](const auto &it) { return !present.contains(it.second); });
}

bool ReachPlanner::isHeard(unsigned rank, TimePoint now) const {
  auto it = HeardAt.find(rank);
  return it != HeardAt.end() && now - it->second < SilenceOfAgent;
}

std::vector<unsigned> ReachPlanner::silentRanks(unsigned size,
                                                TimePoint now) const {
  std::vector<unsigned> out;
  for (unsigned rank = 0; rank < size; ++rank)
    if (!isHeard(rank, now))
      out.push_back(rank);
  return out;
}

bool ReachPlanner::mayReach(std::size_t silent, unsigned size,
                            TimePoint now) const {
  bool isNew = now - LedSince < JoinTime;
  return silent > 0 && (isNew || silent * 2 <= size);
}

bool ReachPlanner::takeListQuestion(unsigned size, TimePoint now) {
  std::vector<unsigned> silent = silentRanks(size, now);
  bool isUnknown =
      std::any_of(silent.begin(), silent.end(),
                  [this](unsigned rank) { return !Addresses.contains(rank); });
  if (now < NextList || !isUnknown || !mayReach(silent.size(), size, now))
    return false;
  NextList = now + ListEvery;
  return true;
}

std::vector<TcpAddress> ReachPlanner::take(unsigned size, TimePoint now) {
  std::vector<unsigned> silent = silentRanks(size, now);
  if (now < NextRound || !mayReach(silent.size(), size, now))
    return {};
  std::vector<TcpAddress> ways;
  std::set<TcpAddress> known;
  for (const auto &[rank, address] : Addresses)
    known.insert(address);
  bool isUnknown = false;
  for (unsigned rank : silent) {
    auto it = Addresses.find(rank);
    if (it != Addresses.end())
      ways.push_back(it->second);
    isUnknown = isUnknown || it == Addresses.end();
  }
  for (const TcpAddress &it : Candidates)
    if (isUnknown && !known.contains(it) && !Others.contains(it))
      ways.push_back(it);
  if (ways.empty())
    return {};
  NextRound = now + RoundEvery;
  std::size_t n = std::min(MostInRound, ways.size());
  std::rotate(ways.begin(), ways.begin() + std::ptrdiff_t(Turn % ways.size()),
              ways.end());
  Turn += n;
  ways.resize(n);
  return ways;
}
