#include "config/digest.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>

namespace tanagerloom {

std::string Sha256Hex(std::string_view text) {
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest);
  std::string out;
  out.reserve(2 * sizeof(digest));
  for (const unsigned char it : digest) {
    out += kHexDigits[it >> 4];
    out += kHexDigits[it & 15];
  }
  return out;
}

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

bool IsSha256Hex(std::string_view text) {
  constexpr std::size_t kHexLength = 2 * SHA256_DIGEST_LENGTH;
  return text.size() == kHexLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

}  // namespace tanagerloom
