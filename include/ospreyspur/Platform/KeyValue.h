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

namespace ospreyspur {

/// Matches a reply to its call within one node.
using KvCallId = StrongType<struct KvCallIdTag, std::uint64_t>;

/// Reads a key.
struct KvGet {
  std::string Key;
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

/// Waits, up to \c Wait, until a key has a revision above \c After.
struct KvWatch {
  std::string Key;
  Revision After;
  Duration Wait{};
};

/// Any call on the service.
using KvCall = std::variant<KvGet, KvPut, KvRenew, KvWatch>;

/// A call and the id that its reply will carry.
struct KvRequest {
  KvCallId Id;
  KvCall Call;
};

/// The answer to a call.
struct KvReply {
  /// Ok, NotFound, PlatformConflict (with the present value), PlatformRefused
  /// (no effect), PlatformTimeout or PlatformBadAnswer (effect not known).
  ResultCode Code = ResultCode::Ok;
  Revision At;
  std::string Value;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PLATFORM_KEYVALUE_H
