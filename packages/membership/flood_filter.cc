#include "membership/flood_filter.h"

namespace tanagerloom {

bool FloodFilter::Accept(std::uint64_t number) {
  if (number == 0) {
    return false;
  }
  if (number > highest_) {
    const std::uint64_t shift = number - highest_;
    if (shift >= kWindowSize) {
      seen_.reset();
    } else {
      seen_ <<= shift;
    }
    highest_ = number;
    seen_.set(0);
    return true;
  }
  const std::uint64_t age = highest_ - number;
  if (age >= kWindowSize || seen_.test(age)) {
    return false;
  }
  seen_.set(age);
  return true;
}

}  // namespace tanagerloom
