//===- Digest.h - SHA-256 as text -------------------------------*- C++ -*-===//
//
// Used where secrets are stored hashed and where long texts are compared.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_SUPPORT_DIGEST_H
#define OSPREYSPUR_SUPPORT_DIGEST_H

#include <string>
#include <string_view>

namespace ospreyspur {

/// The SHA-256 of \p text in lower-case hex.
std::string sha256Hex(std::string_view text);

} // namespace ospreyspur

#endif // OSPREYSPUR_SUPPORT_DIGEST_H
