//===- Digest.h - digests of texts ------------------------------*- C++ -*-===//
//
// SHA-256 as text where secrets are stored hashed and where long texts are
// compared; short digests where something is known again by its content.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_SUPPORT_DIGEST_H
#define OSPREYSPUR_SUPPORT_DIGEST_H

#include "ospreyspur/Support/Ids.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace ospreyspur {

/// What makes a request the same to an endpoint: its caller, path and body.
using RequestDigest = StrongType<struct RequestDigestTag, std::uint64_t>;

/// The SHA-256 of \p text in lower-case hex.
std::string sha256Hex(std::string_view text);

/// The first 64 bits of the SHA-256 of \p text.
std::uint64_t digest64(std::string_view text);

/// The first 64 bits of an HMAC-SHA256 under \p key over the digests of \p
/// parts, so that no part can pass for the end of another.
RequestDigest digestRequest(std::string_view key,
                            std::initializer_list<std::string_view> parts);

/// \p it as 16 hex digits.
std::string toHex(RequestDigest it);

/// The digest that toHex() wrote; 0 if \p text is none.
RequestDigest requestDigestOf(std::string_view text);

} // namespace ospreyspur

#endif // OSPREYSPUR_SUPPORT_DIGEST_H
