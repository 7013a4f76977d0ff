//===- FreeAddress.h - addresses for tests that listen ----------*- C++ -*-===//
//
// Tests may run in parallel, so none uses a fixed port.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_UNITTESTS_FREEADDRESS_H
#define OSPREYSPUR_UNITTESTS_FREEADDRESS_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace ospreyspur::test {

/// A loopback address on which no process listens.
inline boost::asio::ip::tcp::endpoint findFreeAddress() {
  using boost::asio::ip::tcp;
  boost::asio::io_context ioc;
  tcp::acceptor probe(ioc, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return probe.local_endpoint();
}

} // namespace ospreyspur::test

#endif // OSPREYSPUR_UNITTESTS_FREEADDRESS_H
