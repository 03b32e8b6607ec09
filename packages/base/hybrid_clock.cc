#include "base/hybrid_clock.h"

#include <algorithm>
#include <chrono>

namespace tanagerloom {

namespace {

std::uint64_t SystemMicros() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

}  // namespace

HybridClock::HybridClock() : wall_(SystemMicros) {}

HybridTime HybridClock::Now() {
  const std::uint64_t wall = wall_();
  if (wall > last_.micros) {
    last_ = {wall, 0};
  } else {
    ++last_.counter;
  }
  return last_;
}

void HybridClock::Observe(HybridTime remote) {
  last_ = std::max(last_, remote);
}

}  // namespace tanagerloom
