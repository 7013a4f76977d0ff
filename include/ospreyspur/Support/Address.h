//===- Address.h - parsing of TCP addresses ---------------------*- C++ -*-===//
//
// Addresses are numeric IP addresses; host names are not resolved.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_SUPPORT_ADDRESS_H
#define OSPREYSPUR_SUPPORT_ADDRESS_H

#include "ospreyspur/Support/Result.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace ospreyspur {

using TcpAddress = boost::asio::ip::tcp::endpoint;

/// Parses "ip:port" or "[ipv6]:port". Errors: SettingInvalid.
Result<TcpAddress> parseAddress(const std::string &text);

} // namespace ospreyspur

#endif // OSPREYSPUR_SUPPORT_ADDRESS_H
