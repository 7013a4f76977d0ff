//===- HttpTypes.h - types of the HTTP client and server --------*- C++ -*-===//
//
// Aliases for the Beast types in use, and limits.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_HTTP_HTTPTYPES_H
#define OSPREYSPUR_HTTP_HTTPTYPES_H

#include "ospreyspur/Support/Address.h"
#include "ospreyspur/Support/Time.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace ospreyspur {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

/// Limits on clients.
struct HttpLimits {
  std::size_t MaxHeaderBytes = 16U << 10U;
  std::size_t MaxBodyBytes = 1U << 20U;
  std::size_t MaxConnections = 4096;
  /// Size of the kernel's buffers of a connection, in bytes, each way; 0 for
  /// the system's default. Data that is not read fills them.
  int SocketBufferBytes = 0;
  /// Time limit for reading the headers of a request, from their first byte.
  Duration HeaderTimeout = std::chrono::seconds(15);
  /// Time limit for the wait for a request, and for reading its body.
  Duration ReadTimeout = std::chrono::seconds(15);
  /// Time limit for each write to a client.
  Duration WriteTimeout = std::chrono::seconds(10);
};

} // namespace ospreyspur

#endif // OSPREYSPUR_HTTP_HTTPTYPES_H
