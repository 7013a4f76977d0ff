//===- KeyValue.h - calls to the key-value store ----------------*- C++ -*-===//
//
// The calls and replies as the state machines use them. A reply of
// PlatformTimeout or PlatformBadAnswer means that the call may have taken
// effect.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PLATFORM_KEYVALUE_H
#define OSPREYSPUR_PLATFORM_KEYVALUE_H

#include "ospreyspur/Support/Ids.h"
#include "ospreyspur/Support/ResultCode.h"
#include "ospreyspur/Support/Time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace ospreyspur {

/// Matches a reply to its call within one node.
using KvCallId = StrongType<struct KvCallIdTag, std::uint64_t>;

/// Reads a key.
struct KvGet {
  std::string Key;
  /// Whether a value that is seconds old is acceptable; such a read costs a
  /// tenth of a consistent one.
  bool MayBeStale = false;
};

/// Writes a key if its revision is \c Expected; 0 creates it.
struct KvPut {
  std::string Key;
  std::string Value;
  Revision Expected;
  /// The store deletes the key after this time without KvRenew; with zero it
  /// never does.
  Duration Lease{};
};

/// Renews the lease of a key if the key still has revision \c WrittenRevision.
struct KvRenew {
  std::string Key;
  Revision WrittenRevision;
};

/// Waits, up to \c Wait, until a key has a revision above \c After, which is
/// the SeenAt of the last reply. With \c After 0 it does not wait.
struct KvWatch {
  std::string Key;
  Revision After;
  Duration Wait{};
};

/// Reads all keys that begin with \c Prefix.
struct KvList {
  std::string Prefix;
  /// Whether a list that is seconds old is acceptable; such a read costs a
  /// tenth of a consistent one.
  bool MayBeStale = false;
  /// Whether all items must show the store at one revision, the SeenAt of the
  /// reply. If the list has several pages, this may take another call.
  bool MustBeSnapshot = false;
};

/// Waits, up to \c Wait, for changes of keys that begin with \c Prefix after
/// \c After, which is the SeenAt of the last reply.
struct KvWatchList {
  std::string Prefix;
  Revision After;
  Duration Wait{};
};

/// Any call to the key-value store.
using KvCall =
    std::variant<KvGet, KvPut, KvRenew, KvWatch, KvList, KvWatchList>;

/// A call and the id by which its reply is matched.
struct KvRequest {
  KvCallId Id;
  KvCall Call;
};

/// One key in a list, or one change of it.
struct KvItem {
  std::string Key;
  /// Revision of the key's last change.
  Revision At;
  std::string Value;
  bool IsRemoved = false;
};

/// The reply to a call.
struct KvReply {
  /// Ok, NotFound, PlatformConflict (with the current value), PlatformRefused
  /// (the call had no effect), PlatformHistoryGone (the value must be read
  /// again), PlatformTimeout or PlatformBadAnswer (the effect is unknown).
  ResultCode Code = ResultCode::Ok;
  Revision At;
  std::string Value;
  /// The revision up to which the reply covers changes; the next watch
  /// continues after it.
  Revision SeenAt = Revision(0);
  /// Whether the reply may show the store as it was seconds before the call.
  bool MayBeStale = false;
  /// Whether the reply is to a watch whose wait was over: until then nothing
  /// changed.
  bool HasWaitedInVain = false;
  /// Filled by KvList and KvWatchList.
  std::vector<KvItem> Items = {};
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PLATFORM_KEYVALUE_H
