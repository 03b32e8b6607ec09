// Defines the random identifiers of processes, orders, writes and requests.
#ifndef BASE_ID_H_
#define BASE_ID_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace tanagerloom {

/// A new random identifier: `prefix` and 16 hexadecimal digits. The generator
/// is seeded from the system's random source.
std::string NewId(std::string_view prefix);

/// A uniformly distributed random number.
std::uint64_t RandomU64();

/// A uniformly distributed random number in [0, 1).
double RandomUnit();

/// A stable 64-bit hash, equal in every process and version; used to name
/// coordinators and key ranges.
std::uint64_t StableHash(std::string_view text);

/// StableHash of text that comes in pieces.
class StableHasher {
 public:
  void Add(std::string_view text);

  /// The StableHash of everything added so far.
  std::uint64_t Value() const;

 private:
  std::uint64_t hash_ = 14695981039346656037ULL;
};

}  // namespace tanagerloom

#endif  // BASE_ID_H_
