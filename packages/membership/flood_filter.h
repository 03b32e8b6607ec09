// Defines FloodFilter, which recognises duplicates of the flooded messages of
// one sender.
#ifndef MEMBERSHIP_FLOOD_FILTER_H_
#define MEMBERSHIP_FLOOD_FILTER_H_

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace tanagerloom {

/// Records which flood numbers arrived within a window below the highest one.
class FloodFilter {
 public:
  /// Size of the window. A message that is older counts as a duplicate: later
  /// state makes up for a lost message, but processing a duplicate could be
  /// harmful.
  static constexpr std::size_t kWindowSize = 1024;

  /// Records `number`, which is at least 1, and returns whether it is new.
  /// Returns false for a number that is a duplicate or below the window.
  bool Accept(std::uint64_t number);

 private:
  std::uint64_t highest_ = 0;
  std::bitset<kWindowSize> seen_;  ///< Bit i is set if highest_ - i arrived.
};

}  // namespace tanagerloom

#endif  // MEMBERSHIP_FLOOD_FILTER_H_
