//===- HeaderValues.h - all values of one header ----------------*- C++ -*-===//
//
// For headers that may occur only once in a message: callers can detect a
// second value.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_HTTP_HEADERVALUES_H
#define OSPREYSPUR_HTTP_HEADERVALUES_H

#include <boost/beast/http/fields.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace ospreyspur {

/// Returns the values of all headers called \p name in \p fields.
inline std::vector<std::string>
headerValues(const boost::beast::http::fields &fields, std::string_view name) {
  std::vector<std::string> out;
  auto [first, last] = fields.equal_range({name.data(), name.size()});
  for (auto it = first; it != last; ++it)
    out.emplace_back(it->value());
  return out;
}

} // namespace ospreyspur

#endif // OSPREYSPUR_HTTP_HEADERVALUES_H
