//===- HttpServerState.h - what connections share ---------------*- C++ -*-===//
//
// The state of an HttpServer that its connections use. Connections may outlive
// the HttpServer object.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_LIB_HTTP_HTTPSERVERSTATE_H
#define OSPREYSPUR_LIB_HTTP_HTTPSERVERSTATE_H

#include "ospreyspur/Http/ConnectionTable.h"
#include "ospreyspur/Http/HttpServer.h"
#include "ospreyspur/Http/ListenerContext.h"

#include <string_view>
#include <unordered_map>

namespace ospreyspur {

class HttpConnection;

struct HttpServer::SharedState {
  SharedState(boost::asio::io_context &ioc, HttpLimits limits,
              HttpHandler handler, ListenerContext context);

  /// Closes the connection \p id to make room for another one.
  void evict(ConnectionId id, std::string_view reason);
  /// Counts a client that was refused or whose connection was closed, and logs
  /// it unless many others were logged just before.
  void recordRefusal(std::string_view reason, unsigned status,
                     const boost::asio::ip::tcp::endpoint &client,
                     std::string_view id) const;

  boost::asio::ip::tcp::acceptor Acceptor;
  HttpLimits Limits;
  HttpHandler Handler;
  ListenerContext Context;
  ConnectionTable Table;
  std::unordered_map<ConnectionId, HttpConnection *> Connections;
  std::size_t Busy = 0;
  bool ClosesAfterResponses = false;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_LIB_HTTP_HTTPSERVERSTATE_H
