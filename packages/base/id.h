// Defines random identifiers, random numbers and a hash that is the same in all
// processes.
#ifndef BASE_ID_H_
#define BASE_ID_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace tanagerloom {

/// Returns a random identifier: `prefix` followed by 16 hexadecimal digits. The
/// generator is seeded from the random source of the system.
std::string NewId(std::string_view prefix);

/// Returns a uniformly distributed random number.
std::uint64_t RandomU64();

/// Returns a uniformly distributed random number in [0, 1).
double RandomUnit();

/// Returns a 64-bit hash that is equal in every process and in every version of
/// the program, so that nodes can choose coordinators and key ranges by it.
std::uint64_t StableHash(std::string_view text);

/// Computes the StableHash of text that is passed in pieces.
class StableHasher {
 public:
  /// Appends `text` to the hashed text.
  void Add(std::string_view text);

  /// Returns the StableHash of all text added so far.
  std::uint64_t Value() const;

 private:
  std::uint64_t hash_ = 14695981039346656037ULL;
};

}  // namespace tanagerloom

#endif  // BASE_ID_H_
