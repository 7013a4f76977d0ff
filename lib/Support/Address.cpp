//===- Address.cpp - parsing of TCP addresses -----------------------------===//
//
// Splits at the last colon, so that an IPv6 address may be given in brackets.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Support/Address.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

using namespace ospreyspur;

Result<TcpAddress> ospreyspur::parseAddress(const std::string &text) {
  Error bad{ResultCode::SettingInvalid,
            "expected an address such as 127.0.0.1:8080, got '" + text + "'"};
  std::size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    return bad;
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    host = host.substr(1, host.size() - 2);
  std::uint16_t port = 0;
  const char *first = text.data() + colon + 1;
  const char *last = text.data() + text.size();
  auto [end, numberError] = std::from_chars(first, last, port);
  if (numberError != std::errc() || end != last)
    return bad;
  boost::system::error_code ec;
  auto address = boost::asio::ip::make_address(host, ec);
  if (ec)
    return bad;
  return TcpAddress(address, port);
}
