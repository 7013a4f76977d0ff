//===- PlatformClient.h - the platform's service over HTTP ------*- C++ -*-===//
//
// Turns KvCalls into HTTP requests with JSON bodies and answers into KvReplies.
// It neither retries nor decides; that is for the nodes.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PLATFORM_PLATFORMCLIENT_H
#define OSPREYSPUR_PLATFORM_PLATFORMCLIENT_H

#include "ospreyspur/Http/HttpClient.h"
#include "ospreyspur/Platform/KeyValue.h"

#include <functional>

namespace ospreyspur {

/// A client of the platform's key-value service, for one io_context's thread.
class PlatformClient {
public:
  using Handler = std::function<void(KvReply)>;

  PlatformClient(boost::asio::io_context &ioc, TcpAddress server);

  /// Makes \p call and hands the answer to \p handler on the context's thread.
  /// \p timeout does not include the wait of a watch.
  void call(KvCall call, Duration timeout, Handler handler);

  /// Makes \p call from a coroutine on the context's thread.
  boost::asio::awaitable<KvReply> ask(KvCall call, Duration timeout);

private:
  boost::asio::io_context &Context;
  HttpClient Client;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PLATFORM_PLATFORMCLIENT_H
