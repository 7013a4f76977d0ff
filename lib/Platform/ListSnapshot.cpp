//===- ListSnapshot.cpp - one state of a list read in pages ---------------===//
//
// See ListSnapshot.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Platform/ListSnapshot.h"

#include <algorithm>
#include <utility>

using namespace ospreyspur;

void ListSnapshot::addPage(std::vector<KvItem> items, Revision seenAt) {
  std::string last;
  if (!items.empty())
    last = items.back().Key;
  else if (!Pages.empty())
    last = Pages.back().LastKey;
  Pages.push_back({std::move(last), seenAt});
  for (KvItem &it : items) {
    std::string key = it.Key;
    Items.insert_or_assign(std::move(key), std::move(it));
  }
}

/// The revision of the page that covers \p key.
Revision ListSnapshot::revisionOf(const std::string &key) const {
  auto it = std::find_if(Pages.begin(), Pages.end(),
                         [&](const Page &page) { return key <= page.LastKey; });
  return it == Pages.end() ? Pages.back().SeenAt : it->SeenAt;
}

void ListSnapshot::applyChanges(std::vector<KvItem> changes, Revision seenAt) {
  if (Pages.empty())
    return;
  for (KvItem &it : changes) {
    if (it.At <= revisionOf(it.Key))
      continue;
    std::string key = it.Key;
    if (it.IsRemoved)
      Items.erase(key);
    else
      Items.insert_or_assign(std::move(key), std::move(it));
  }
  for (Page &it : Pages)
    it.SeenAt = std::max(it.SeenAt, seenAt);
}

bool ListSnapshot::isConsistent() const {
  return std::all_of(Pages.begin(), Pages.end(), [this](const Page &it) {
    return it.SeenAt == Pages.front().SeenAt;
  });
}

Revision ListSnapshot::revision() const {
  auto it = std::min_element(
      Pages.begin(), Pages.end(),
      [](const Page &a, const Page &b) { return a.SeenAt < b.SeenAt; });
  return it == Pages.end() ? Revision(0) : it->SeenAt;
}

std::vector<KvItem> ListSnapshot::items() const {
  std::vector<KvItem> out;
  for (const auto &[key, item] : Items)
    out.push_back(item);
  return out;
}
