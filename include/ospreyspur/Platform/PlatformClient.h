//===- PlatformClient.h - HTTP client of the key-value store ----*- C++ -*-===//
//
// Makes the KvCalls of the state machines; platform/StoreWire.h defines their
// wire format. The client does not retry; the state machines decide whether to.
// The client remembers the leases of the keys that it wrote.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PLATFORM_PLATFORMCLIENT_H
#define OSPREYSPUR_PLATFORM_PLATFORMCLIENT_H

#include "ospreyspur/Http/HttpClient.h"
#include "ospreyspur/Platform/KeyValue.h"
#include "platform/StoreWire.h"

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace ospreyspur {

class ListSnapshot;
class Metrics;

/// A client of the platform's key-value store, for one io_context's thread.
class PlatformClient {
public:
  using Handler = std::function<void(KvReply)>;

  /// A watch uses no connection that was idle for longer. The time until a
  /// change is in force rests on it: a watch on a silent connection is lost.
  static constexpr Duration MaxIdleBeforeWatch = std::chrono::seconds(1);

  /// Time after the wait of a watch within which a sound store has replied. A
  /// reply that was lost on a connection that is otherwise sound is noticed by
  /// nothing else, so the time until a change is in force rests on it, too. A
  /// store that is slow costs one call more for each watch.
  static constexpr Duration WatchReplyTimeout = std::chrono::milliseconds(300);

  PlatformClient(boost::asio::io_context &ioc, TcpAddress server,
                 Metrics &metrics);

  /// Makes \p call and passes the reply to \p handler on the context's thread.
  /// \p timeout does not include the wait of a watch; for a watch that waits,
  /// it is at most WatchReplyTimeout.
  void call(KvCall call, Duration timeout, Handler handler);

  /// Makes \p call from a coroutine on the context's thread.
  boost::asio::awaitable<KvReply> ask(KvCall call, Duration timeout);

private:
  /// The lease of a key that this client wrote.
  struct HeldLease {
    /// The key's revision after the client's write.
    Revision WrittenRevision;
    platform::StoreLease Lease;
  };

  /// What an exchange is for, in logs and metrics.
  struct Purpose {
    const char *Operation;
    std::string Key;
  };

  template <typename T> using Task = boost::asio::awaitable<T>;

  Task<Result<HttpResponse>> exchange(Purpose purpose, HttpRequest request,
                                      Duration timeout);
  void recordLoss(const Purpose &purpose, const Error &error, Duration waited);
  void recordResponse(TimePoint now);
  Task<KvReply> get(KvGet call, Duration timeout);
  Task<KvReply> put(KvPut call, Duration timeout);
  Task<KvReply> renew(KvRenew call, Duration timeout);
  Task<KvReply> watch(KvWatch call, Duration timeout);
  Task<KvReply> list(KvList call, Duration timeout);
  Task<ResultCode> catchUp(ListSnapshot &snapshot, std::string prefix,
                           Duration timeout);
  Task<KvReply> watchList(KvWatchList call, Duration timeout);

  boost::asio::io_context &Context;
  HttpClient Client;
  Metrics &Measures;
  std::unordered_map<std::string, HeldLease> Leases;
  /// When the first of the calls was made that were lost since the last
  /// response; empty if none was lost.
  std::optional<TimePoint> LostSince;
  unsigned LostCalls = 0;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PLATFORM_PLATFORMCLIENT_H
