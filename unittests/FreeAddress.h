//===- FreeAddress.h - addresses for tests that listen ----------*- C++ -*-===//
//
// Tests may run side by side, so none has a port of its own.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_UNITTESTS_FREEADDRESS_H
#define OSPREYSPUR_UNITTESTS_FREEADDRESS_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace ospreyspur::test {

/// An address on loopback that nobody listens on.
inline boost::asio::ip::tcp::endpoint findFreeAddress() {
  using boost::asio::ip::tcp;
  boost::asio::io_context ioc;
  tcp::acceptor probe(ioc, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return probe.local_endpoint();
}

} // namespace ospreyspur::test

#endif // OSPREYSPUR_UNITTESTS_FREEADDRESS_H
