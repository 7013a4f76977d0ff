//===- FleetSize.cpp - how many entries share an allowance ----------------===//
//
// See FleetSize.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/FleetSize.h"

#include <algorithm>
#include <utility>

using namespace ospreyspur;

void FleetSize::onReport(const std::string &name, TimePoint now) {
  bool isNew = !Listed.contains(name) && !SeenAt.contains(name);
  if (isNew && SeenAt.size() >= MaxUnlisted + Listed.size())
    return;
  SeenAt[name] = now;
  IdleAt.erase(name);
  if (now - PrunedAt < RetentionTime)
    return;
  PrunedAt = now;
  std::erase_if(
      SeenAt, [&](const auto &it) { return now - it.second >= RetentionTime; });
  std::erase_if(IdleAt, [&](const auto &it) { return !isIdle(it.first, now); });
}

bool FleetSize::isIdle(const std::string &name, TimePoint now) const {
  auto it = IdleAt.find(name);
  return it != IdleAt.end() && now - it->second < MaxReportDelay;
}

void FleetSize::setListed(std::set<std::string> names, TimePoint now) {
  for (const std::string &it : Listed)
    SeenAt[it] = now;
  Listed = std::move(names);
  HasList = true;
}

std::size_t FleetSize::count(Duration window, TimePoint now) const {
  auto unlisted =
      std::count_if(SeenAt.begin(), SeenAt.end(), [&](const auto &it) {
        return !Listed.contains(it.first) && isRecent(it.second, window, now);
      });
  return Listed.size() + static_cast<std::size_t>(unlisted) + 1;
}

std::vector<std::string> FleetSize::others(Duration window,
                                           TimePoint now) const {
  std::vector<std::string> out(Listed.begin(), Listed.end());
  for (const auto &[name, seenAt] : SeenAt)
    if (!Listed.contains(name) && isRecent(seenAt, window, now))
      out.push_back(name);
  return out;
}

std::vector<std::string> FleetSize::othersWithCallers(Duration window,
                                                      TimePoint now) const {
  std::vector<std::string> out = others(window, now);
  std::erase_if(out,
                [&](const std::string &name) { return isIdle(name, now); });
  return out;
}
