//===- Digest.cpp - digests computed with OpenSSL -------------------------===//
//
// Wraps OpenSSL's one-shot SHA-256 call, and HMAC for texts in several parts.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Support/Digest.h"

#include <boost/algorithm/hex.hpp>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>

using namespace ospreyspur;

static constexpr int HexBase = 16;
static constexpr std::size_t HexDigits = 16;
static constexpr unsigned BitsOfByte = 8;

using Sha256 = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

static Sha256 sha256(std::string_view text) {
  Sha256 out;
  SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(),
         out.data());
  return out;
}

static std::uint64_t firstBits(const Sha256 &digest) {
  std::uint64_t out = 0;
  for (std::size_t i = 0; i < sizeof(out); ++i)
    out = out << BitsOfByte | digest.at(i);
  return out;
}

std::string ospreyspur::sha256Hex(std::string_view text) {
  Sha256 digest = sha256(text);
  std::string hex;
  boost::algorithm::hex_lower(digest.begin(), digest.end(),
                              std::back_inserter(hex));
  return hex;
}

std::uint64_t ospreyspur::digest64(std::string_view text) {
  return firstBits(sha256(text));
}

/// Returns the rendezvous hashing weight of \p member for \p item, by the
/// finalizer of SplitMix64.
static std::uint64_t rendezvousWeight(std::uint64_t member,
                                      std::uint64_t item) {
  std::uint64_t n = member ^ (item * 0x9e3779b97f4a7c15U);
  n = (n ^ (n >> 30U)) * 0xbf58476d1ce4e5b9U;
  n = (n ^ (n >> 27U)) * 0x94d049bb133111ebU;
  return n ^ (n >> 31U);
}

std::size_t ospreyspur::rendezvousRank(std::uint64_t self,
                                       const std::vector<std::uint64_t> &others,
                                       std::uint64_t item) {
  std::uint64_t own = rendezvousWeight(self, item);
  return std::count_if(others.begin(), others.end(), [&](std::uint64_t it) {
    return rendezvousWeight(it, item) > own;
  });
}

RequestDigest
ospreyspur::digestRequest(std::string_view key,
                          std::initializer_list<std::string_view> parts) {
  // Parts are hashed separately instead of concatenated, since a body may be
  // megabytes long.
  std::string digests;
  for (std::string_view it : parts) {
    Sha256 digest = sha256(it);
    digests.append(digest.begin(), digest.end());
  }
  Sha256 out;
  unsigned n = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char *>(digests.data()), digests.size(),
       out.data(), &n);
  return RequestDigest(firstBits(out));
}

RequestDigest ospreyspur::digestPromptPart(std::string_view key,
                                           std::string_view part) {
  return digestRequest(key, {"prompt part", part});
}

std::string ospreyspur::toHex(const std::vector<RequestDigest> &digests) {
  std::string out;
  for (RequestDigest it : digests)
    out += (out.empty() ? "" : ",") + toHex(it);
  return out;
}

std::string ospreyspur::toHex(RequestDigest it) {
  std::array<char, HexDigits> digits;
  auto *end =
      std::to_chars(digits.begin(), digits.end(), it.get(), HexBase).ptr;
  std::string text(digits.begin(), end);
  return std::string(HexDigits - text.size(), '0') + text;
}

RequestDigest ospreyspur::parseRequestDigest(std::string_view text) {
  std::uint64_t n = 0;
  auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), n, HexBase);
  bool isWhole = ec == std::errc() && end == text.data() + text.size();
  return RequestDigest(isWhole && text.size() == HexDigits ? n : 0);
}
