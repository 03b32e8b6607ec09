// Defines the SHA-256 digests that are used for client keys, operator tokens
// and the names of content objects.
#ifndef CONFIG_DIGEST_H_
#define CONFIG_DIGEST_H_

#include <string>
#include <string_view>

namespace tanagerloom {

/// SHA-256 of `text` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view text);

/// Whether two texts are equal. The time it takes depends only on their
/// lengths, so that it does not tell an attacker how much of a secret matches.
bool EqualInConstantTime(std::string_view a, std::string_view b);

/// Whether `text` is 64 lower-case hexadecimal digits.
bool IsSha256Hex(std::string_view text);

}  // namespace tanagerloom

#endif  // CONFIG_DIGEST_H_
