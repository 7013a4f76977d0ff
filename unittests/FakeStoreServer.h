//===- FakeStoreServer.h - the key-value store on a socket ------*- C++ -*-===//
//
// The reads and watches of the platform's key-value store over HTTP. Writes are
// made by the test. Other calls are refused.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_UNITTESTS_FAKESTORESERVER_H
#define OSPREYSPUR_UNITTESTS_FAKESTORESERVER_H

#include "ospreyspur/Http/HttpServer.h"
#include "ospreyspur/Support/Ids.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace ospreyspur::test {

/// A store on one io_context's thread.
class FakeStoreServer {
public:
  explicit FakeStoreServer(boost::asio::io_context &ioc);

  const TcpAddress &address() const { return Address; }
  void write(const std::string &key, const std::string &value);
  /// Number of watches received.
  unsigned watchCount() const { return Watches; }

private:
  struct Item {
    std::string Value;
    std::uint64_t At = 0;
  };

  boost::asio::awaitable<void> handle(HttpExchange &exchange);
  boost::asio::awaitable<void> awaitChange(std::string prefix,
                                           std::uint64_t after, Duration wait);
  boost::json::object format(const char *name, const std::string &prefix,
                             std::uint64_t after) const;

  std::map<std::string, Item> Items;
  std::uint64_t Last = 1;
  unsigned Watches = 0;
  /// Never expires; a write cancels all waits for it.
  boost::asio::steady_timer Changed;
  HttpServer Server;
  TcpAddress Address;
};

} // namespace ospreyspur::test

#endif // OSPREYSPUR_UNITTESTS_FAKESTORESERVER_H
