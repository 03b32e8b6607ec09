// Defines the digests used for caller keys, operator tokens and content names.
#ifndef CONFIG_DIGEST_H_
#define CONFIG_DIGEST_H_

#include <string>
#include <string_view>

namespace tanagerloom {

/// SHA-256 of `text` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view text);

/// Whether two texts are equal, in a time that depends only on their lengths.
bool EqualInConstantTime(std::string_view a, std::string_view b);

/// Whether `text` is 64 lower-case hexadecimal digits.
bool IsSha256Hex(std::string_view text);

}  // namespace tanagerloom

#endif  // CONFIG_DIGEST_H_
