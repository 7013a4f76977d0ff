//===- ConfigReader.h - the operators' values as one value ------*- C++ -*-===//
//
// Follows the keys that operators write in the key-value store and presents
// them as a single key, so that one watch covers all of them and nodes can
// gossip them like any other shared value.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONTROL_CONFIGREADER_H
#define OSPREYSPUR_CONTROL_CONFIGREADER_H

#include "ospreyspur/Direct/OperatorState.h"
#include "ospreyspur/Platform/PlatformClient.h"

namespace ospreyspur {

class KeyFollower;

/// Reads the operators' values on one io_context's thread.
class ConfigReader {
public:
  explicit ConfigReader(PlatformClient &platform) : Platform(platform) {}

  /// Waits up to \p wait for a change after \p copy, the value that this node
  /// has now. The value of the reply is a formatted OperatorState; NotFound
  /// means no change.
  boost::asio::awaitable<KvReply> ask(const KeyFollower &copy, Duration wait,
                                      Duration timeout);

private:
  boost::asio::awaitable<KvReply> readAll(bool mayBeStale, Duration timeout);
  void applyItem(const KvItem &item);
  KvReply makeReply(bool hasChanged, Revision at) const;

  PlatformClient &Platform;
  OperatorState State;
  /// The revision that State reflects; 0 before the first read.
  Revision SeenAt;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_CONTROL_CONFIGREADER_H
