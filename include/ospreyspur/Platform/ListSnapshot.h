//===- ListSnapshot.h - one state of a list read in pages -------*- C++ -*-===//
//
// The pages of a list show the store at different revisions, and a later page
// may be older than an earlier one. This class makes them one state: it brings
// each page forward with the changes that the page does not reflect yet.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PLATFORM_LISTSNAPSHOT_H
#define OSPREYSPUR_PLATFORM_LISTSNAPSHOT_H

#include "ospreyspur/Platform/KeyValue.h"

#include <map>
#include <string>
#include <vector>

namespace ospreyspur {

/// All keys of a prefix at one revision.
class ListSnapshot {
public:
  /// Adds the next page, which shows the keys after those of the previous page
  /// at revision \p seenAt.
  void addPage(std::vector<KvItem> items, Revision seenAt);
  /// Applies all changes after revision() up to \p seenAt.
  void applyChanges(std::vector<KvItem> changes, Revision seenAt);

  /// Whether all pages show the store at revision().
  bool isConsistent() const;
  /// The lowest revision of a page; every change up to it is reflected.
  Revision revision() const;
  /// The items, ordered by key.
  std::vector<KvItem> items() const;

private:
  struct Page {
    /// The last key; the last page also covers all keys after it.
    std::string LastKey;
    Revision SeenAt;
  };

  Revision revisionOf(const std::string &key) const;

  std::vector<Page> Pages;
  std::map<std::string, KvItem> Items;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PLATFORM_LISTSNAPSHOT_H
