//===- TcpKeepAlive.h - detects silent connections --------------*- C++ -*-===//
//
// A peer that loses power, or a path that drops all packets of a connection,
// closes nothing. The kernel then closes the connection itself if it may probe
// the peer and if data must be acknowledged in time.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_HTTP_TCPKEEPALIVE_H
#define OSPREYSPUR_HTTP_TCPKEEPALIVE_H

#include "ospreyspur/Support/Time.h"

#include <boost/asio/ip/tcp.hpp>

namespace ospreyspur {

/// Limits on the silence of a connection.
struct TcpKeepAlive {
  /// Time without arrivals after which the peer is probed, and within which the
  /// probe must be acknowledged. The kernel takes whole seconds.
  static constexpr std::chrono::seconds IdleTime{1};
  static constexpr std::chrono::seconds ProbeTimeout{1};
  /// Time within which data must be acknowledged.
  static constexpr std::chrono::milliseconds UnackedTimeout{1000};
  /// Longest time until a connection on which this side waits is closed after
  /// it has fallen silent.
  static constexpr Duration DetectionTime = IdleTime + ProbeTimeout;
};

/// Sets these limits for \p socket. A failure is ignored: the connection then
/// ends at the timeout of its call.
void enableKeepAlive(boost::asio::ip::tcp::socket &socket);

} // namespace ospreyspur

#endif // OSPREYSPUR_HTTP_TCPKEEPALIVE_H
