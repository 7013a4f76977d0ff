//===- ListReader.h - the endpoint list as one value ------------*- C++ -*-===//
//
// Follows the endpoint records in the key-value store and presents them as a
// single key whose value is the whole list, so that nodes can gossip the list
// like any other shared value.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONTROL_LISTREADER_H
#define OSPREYSPUR_CONTROL_LISTREADER_H

#include "ospreyspur/Direct/EndpointRecord.h"
#include "ospreyspur/Platform/PlatformClient.h"

#include <map>
#include <set>

namespace ospreyspur {

/// Reads the endpoint list on one io_context's thread.
class ListReader {
public:
  explicit ListReader(PlatformClient &platform) : Platform(platform) {}

  /// Waits up to \p wait for a change of the list after the last reply. The
  /// value of the reply is the whole list; NotFound means no change.
  boost::asio::awaitable<KvReply> ask(Duration wait, Duration timeout);

private:
  boost::asio::awaitable<KvReply> readAll(bool mayBeStale, Duration timeout);
  void applyItem(const KvItem &item);
  KvReply makeReply(bool mayBeStale) const;

  PlatformClient &Platform;
  std::map<std::string, EndpointRecord> Records;
  /// Keys of unreadable records that have been logged.
  std::set<std::string> LoggedKeys;
  /// 0 before the first whole list.
  Revision SeenAt;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_CONTROL_LISTREADER_H
