// Defines LoadCeiling, which bounds how many loads from the weight store begin.
#ifndef FLEET_LOAD_CEILING_H_
#define FLEET_LOAD_CEILING_H_

#include <algorithm>
#include <cstdint>
#include <deque>

#include "runtime/clock.h"

namespace tanagerloom {

/// Loads from the weight store in a sliding window, over all engines. The node
/// that takes over the orders begins with a window half full, for what its
/// predecessor began.
class LoadCeiling {
 public:
  /// Part of the stated rate that is used; the rest is for orders whose answer
  /// was lost and that begin later than they were counted.
  static constexpr double kUsedPart = 0.8;

  explicit LoadCeiling(Duration window) : window_(window) {}

  /// Forgets the past: this node begins to order engines.
  void OnTakeover(TimePoint now) {
    starts_.clear();
    taken_over_ = now;
  }

  /// Loads that may begin now, at `per_s` loads a second.
  std::uint32_t Allowed(double per_s, TimePoint now) {
    while (!starts_.empty() && starts_.front() <= now - window_) {
      starts_.pop_front();
    }
    double limit =
        std::max(1.0, kUsedPart * per_s *
                          std::chrono::duration<double>(window_).count());
    if (now - taken_over_ < window_) {
      limit /= 2;
    }
    const double left = limit - static_cast<double>(starts_.size());
    return left <= 0 ? 0 : static_cast<std::uint32_t>(left);
  }

  void OnStart(TimePoint now) { starts_.push_back(now); }

 private:
  Duration window_;
  std::deque<TimePoint> starts_;
  TimePoint taken_over_{};
};

}  // namespace tanagerloom

#endif  // FLEET_LOAD_CEILING_H_
