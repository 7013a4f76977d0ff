//===- HttpSyntax.h - parts of HTTP's grammar -------------------*- C++ -*-===//
//
// What may be a status and the value of a field, for all that passes values on
// to HTTP, also from other protocols.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_SUPPORT_HTTPSYNTAX_H
#define OSPREYSPUR_SUPPORT_HTTPSYNTAX_H

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace ospreyspur {

/// Whether \p status is that of a response.
constexpr bool isStatus(std::uint64_t status) {
  return status >= 100 && status <= 599;
}

/// Whether \p status is that of a response after which no other one follows.
constexpr bool isFinalStatus(std::uint64_t status) {
  return isStatus(status) && status >= 200;
}

/// Whether \p text can be the value of a field or a reason phrase: it has no
/// control bytes but tabs.
inline bool isFieldText(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    auto byte = static_cast<unsigned char>(c);
    return c == '\t' || (byte >= ' ' && byte != 0x7f);
  });
}

} // namespace ospreyspur

#endif // OSPREYSPUR_SUPPORT_HTTPSYNTAX_H
