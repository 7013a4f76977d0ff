//===- Address.h - TCP addresses by IP numbers ------------------*- C++ -*-===//
//
// Addresses are IP numbers; names are not resolved.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_SUPPORT_ADDRESS_H
#define OSPREYSPUR_SUPPORT_ADDRESS_H

#include "ospreyspur/Support/Result.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace ospreyspur {

using TcpAddress = boost::asio::ip::tcp::endpoint;

/// Reads "ip:port" or "[ipv6]:port". Errors: SettingInvalid.
Result<TcpAddress> parseAddress(const std::string &text);

} // namespace ospreyspur

#endif // OSPREYSPUR_SUPPORT_ADDRESS_H
