//===- TcpKeepAlive.cpp - detects silent connections ----------------------===//
//
// See TcpKeepAlive.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Http/TcpKeepAlive.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace ospreyspur;

static void setOption(boost::asio::ip::tcp::socket &socket, int level, int name,
                      int value) {
  ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

void ospreyspur::enableKeepAlive(boost::asio::ip::tcp::socket &socket) {
  setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE,
            static_cast<int>(TcpKeepAlive::IdleTime.count()));
  setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL,
            static_cast<int>(TcpKeepAlive::ProbeTimeout.count()));
  setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, 1);
  setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(TcpKeepAlive::UnackedTimeout.count()));
  setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
}
