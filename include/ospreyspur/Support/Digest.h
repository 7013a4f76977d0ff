//===- Digest.h - digests of texts ------------------------------*- C++ -*-===//
//
// SHA-256 in hex for stored hashes of secrets and for comparing long texts, and
// 64-bit digests for recognising something by its content.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_SUPPORT_DIGEST_H
#define OSPREYSPUR_SUPPORT_DIGEST_H

#include "ospreyspur/Support/Ids.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace ospreyspur {

/// Identifies a set of requests: those that are the same to an endpoint, by
/// method, service or host, target, workspace and body, or those whose prompts
/// have one part in common.
using RequestDigest = StrongType<struct RequestDigestTag, std::uint64_t>;

/// The SHA-256 of \p text in lower-case hex.
std::string sha256Hex(std::string_view text);

/// The first 64 bits of the SHA-256 of \p text.
std::uint64_t digest64(std::string_view text);

/// Returns the position of the member \p self among itself and \p others for
/// \p item by rendezvous hashing; 0 is the first. All arguments are digests.
/// The order is the same in every process and build.
std::size_t rendezvousRank(std::uint64_t self,
                           const std::vector<std::uint64_t> &others,
                           std::uint64_t item);

/// The first 64 bits of an HMAC-SHA256 with \p key over the digests of
/// \p parts. Hashing the digests keeps apart lists of parts that differ only in
/// where one part ends and the next begins.
RequestDigest digestRequest(std::string_view key,
                            std::initializer_list<std::string_view> parts);

/// Returns the digest under \p key that identifies the requests whose prompts
/// have the part \p part. It differs from the digest of any request.
RequestDigest digestPromptPart(std::string_view key, std::string_view part);

/// Formats \p it as 16 hex digits.
std::string toHex(RequestDigest it);

/// Formats all of \p digests, separated by commas.
std::string toHex(const std::vector<RequestDigest> &digests);

/// Parses a digest that toHex() wrote; 0 if \p text is not one.
RequestDigest parseRequestDigest(std::string_view text);

} // namespace ospreyspur

#endif // OSPREYSPUR_SUPPORT_DIGEST_H
