//===- ListSnapshotTest.cpp - lists whose pages differ in age -------------===//
//
// Guards against lists that mix old and new items under the revision of the new
// ones, and against changes that undo what a newer page shows.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Platform/ListSnapshot.h"

#include <doctest/doctest.h>

#include <random>

using namespace ospreyspur;

static KvItem makeItem(const std::string &key, std::uint64_t at,
                       const std::string &value) {
  return {key, Revision(at), value, false};
}

static KvItem makeRemoval(const std::string &key, std::uint64_t at) {
  return {key, Revision(at), "", true};
}

/// The keys and values of a list.
static std::string describe(const ListSnapshot &list) {
  std::string out;
  for (const KvItem &it : list.items())
    out += it.Key + "=" + it.Value + " ";
  return out;
}

TEST_CASE("a list is as old as its oldest page") {
  ListSnapshot list;
  list.addPage({makeItem("a", 1, "x")}, Revision(9));
  CHECK(list.isConsistent());
  list.addPage({makeItem("b", 2, "old")}, Revision(4));
  CHECK_FALSE(list.isConsistent());
  CHECK(list.revision() == Revision(4));
  list.applyChanges({makeItem("b", 7, "new")}, Revision(9));
  CHECK(list.isConsistent());
  CHECK(list.revision() == Revision(9));
  CHECK(describe(list) == "a=x b=new ");
}

TEST_CASE("changes that a newer page reflects do not undo it") {
  ListSnapshot list;
  // Key "a" was removed at revision 8, which the first page reflects.
  list.addPage({makeItem("b", 8, "new")}, Revision(8));
  list.addPage({makeItem("c", 2, "old")}, Revision(3));
  list.applyChanges({makeItem("b", 5, "old"), makeItem("a", 5, "gone"),
                     makeItem("c", 6, "newer")},
                    Revision(6));
  CHECK(list.revision() == Revision(6));
  CHECK(describe(list) == "b=new c=newer ");
  list.applyChanges({makeRemoval("a", 8), makeRemoval("c", 9)}, Revision(9));
  CHECK(list.isConsistent());
  CHECK(describe(list) == "b=new ");
}

TEST_CASE("pages of any age become the state at one revision") {
  constexpr unsigned Keys = 12;
  constexpr std::size_t PageSize = 4;
  for (unsigned seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    std::vector<KvItem> history;
    std::map<std::string, KvItem> states[61];
    for (std::uint64_t at = 1; at <= 60; ++at) {
      std::string key(1, static_cast<char>('a' + random() % Keys));
      bool isRemoved = random() % 3 == 0;
      history.push_back({key, Revision(at), std::to_string(at), isRemoved});
      states[at] = states[at - 1];
      if (isRemoved)
        states[at].erase(key);
      else
        states[at][key] = history.back();
    }
    ListSnapshot list;
    std::string after;
    bool hasMore = true;
    while (hasMore) {
      std::uint64_t seen = 20 + random() % 30;
      std::vector<KvItem> page;
      hasMore = false;
      for (const auto &[key, item] : states[seen]) {
        if (key <= after)
          continue;
        hasMore = page.size() == PageSize;
        if (hasMore)
          break;
        page.push_back(item);
      }
      if (!page.empty())
        after = page.back().Key;
      list.addPage(std::move(page), Revision(seen));
    }
    // The changes arrive in several parts.
    while (!list.isConsistent() || list.revision() < Revision(60)) {
      std::uint64_t from = list.revision().get();
      std::uint64_t to = std::min<std::uint64_t>(60, from + 1 + random() % 20);
      list.applyChanges({history.begin() + std::ptrdiff_t(from),
                         history.begin() + std::ptrdiff_t(to)},
                        Revision(to));
    }
    std::string wanted;
    for (const auto &[key, item] : states[60])
      wanted += key + "=" + item.Value + " ";
    CHECK(describe(list) == wanted);
  }
}
