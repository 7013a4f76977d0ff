//===- ListReader.h - the endpoint list as one value ------------*- C++ -*-===//
//
// Follows the platform's rows of endpoints and answers like a single key whose
// value is the whole list, so that it spreads between nodes like one.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONTROL_LISTREADER_H
#define OSPREYSPUR_CONTROL_LISTREADER_H

#include "ospreyspur/Direct/EndpointRecord.h"
#include "ospreyspur/Platform/PlatformClient.h"

#include <map>
#include <set>

namespace ospreyspur {

/// Reads the list on one io_context's thread.
class ListReader {
public:
  explicit ListReader(PlatformClient &platform) : Platform(platform) {}

  /// Waits up to \p wait for a change of the list after the last answer. The
  /// reply has the list as its value; NotFound: nothing changed.
  boost::asio::awaitable<KvReply> ask(Duration wait, Duration timeout);

private:
  boost::asio::awaitable<KvReply> readAll(Duration timeout);
  void take(const KvItem &item);
  KvReply makeReply() const;

  PlatformClient &Platform;
  std::map<std::string, EndpointRecord> Rows;
  /// Rows that could not be read and were logged.
  std::set<std::string> LoggedKeys;
  /// 0 before the first whole list and after its history was lost.
  Revision SeenAt;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_CONTROL_LISTREADER_H
