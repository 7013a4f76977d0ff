//===- KeyValue.h - calls on the platform's key-value service ---*- C++ -*-===//
//
// The calls and replies as the nodes see them. A reply of PlatformTimeout or
// PlatformBadAnswer means that the call may have taken effect.
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
  /// Whether an answer that is seconds old will do; it costs a tenth.
  bool MayBeStale = false;
};

/// Writes a key if its revision is \c Expected; 0 creates it.
struct KvPut {
  std::string Key;
  std::string Value;
  Revision Expected;
  /// The key vanishes after this time without KvRenew; zero: never.
  Duration Lease{};
};

/// Starts the lease of a key anew if the key still has revision \c Holder.
struct KvRenew {
  std::string Key;
  Revision Holder;
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
  /// Whether an answer that is seconds old will do; it costs a tenth.
  bool MayBeStale = false;
};

/// Waits, up to \c Wait, for changes of keys that begin with \c Prefix after
/// \c After, which is the SeenAt of the last reply.
struct KvWatchList {
  std::string Prefix;
  Revision After;
  Duration Wait{};
};

/// Any call on the service.
using KvCall =
    std::variant<KvGet, KvPut, KvRenew, KvWatch, KvList, KvWatchList>;

/// A call and the id that its reply will carry.
struct KvRequest {
  KvCallId Id;
  KvCall Call;
};

/// One key in a list, or one change of it.
struct KvItem {
  std::string Key;
  /// Its last change.
  Revision At;
  std::string Value;
  bool IsRemoved = false;
};

/// The answer to a call.
struct KvReply {
  /// Ok, NotFound, PlatformConflict (with the present value), PlatformRefused
  /// (no effect), PlatformHistoryGone (read anew), PlatformTimeout or
  /// PlatformBadAnswer (effect not known).
  ResultCode Code = ResultCode::Ok;
  Revision At;
  std::string Value;
  /// The revision up to which the service has answered; a watch goes on here.
  Revision SeenAt = Revision(0);
  /// With KvList and KvWatchList.
  std::vector<KvItem> Items = {};
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PLATFORM_KEYVALUE_H
