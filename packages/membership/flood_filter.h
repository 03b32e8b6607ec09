// Defines FloodFilter, which recognises the repeats of one sender's flooded
// messages.
#ifndef MEMBERSHIP_FLOOD_FILTER_H_
#define MEMBERSHIP_FLOOD_FILTER_H_

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace tanagerloom {

/// Remembers which numbers were seen within a window below the highest one.
class FloodFilter {
 public:
  /// Messages that differ by more in their order of arrival count as repeats:
  /// a lost message is repaired by later state, a repeat could be harmful.
  static constexpr std::size_t kWindow = 1024;

  /// Whether `number` (from 1) is new; it is not new a second time.
  bool Accept(std::uint64_t number);

 private:
  std::uint64_t highest_ = 0;
  std::bitset<kWindow> seen_;  ///< Bit i stands for highest_ - i.
};

}  // namespace tanagerloom

#endif  // MEMBERSHIP_FLOOD_FILTER_H_
