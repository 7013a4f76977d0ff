//===- Digest.cpp - SHA-256 by OpenSSL ------------------------------------===//
//
// Wraps the one-shot digest call.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Support/Digest.h"

#include <boost/algorithm/hex.hpp>
#include <openssl/sha.h>

#include <iterator>

std::string ospreyspur::sha256Hex(std::string_view text) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(),
         digest);
  std::string hex;
  boost::algorithm::hex_lower(std::begin(digest), std::end(digest),
                              std::back_inserter(hex));
  return hex;
}
