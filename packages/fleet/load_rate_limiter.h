// Defines LoadCeiling, which bounds how many loads from the weight store begin.
#ifndef FLEET_LOAD_RATE_LIMITER_H_
#define FLEET_LOAD_RATE_LIMITER_H_

#include <algorithm>
#include <cstdint>
#include <deque>

#include "runtime/clock.h"

namespace tanagerloom {

/// Loads from the weight store in a sliding window, over all engines. The node
/// that takes over the orders begins with a window half full, for what its
/// predecessor began.
class LoadRateLimiter {
 public:
  /// Part of the stated rate that is used; the rest is for orders whose answer
  /// was lost and that begin later than they were counted.
  static constexpr double kUsedFraction = 0.8;

  explicit LoadRateLimiter(Duration window) : window_(window) {}

  /// Forgets the past: this node begins to order engines.
  void OnTakeover(TimePoint now) {
    start_times_.clear();
    taken_over_at_ = now;
  }

  /// Loads that may begin now, at `per_s` loads a second.
  std::uint32_t LoadsAllowed(double per_s, TimePoint now) {
    while (!start_times_.empty() && start_times_.front() <= now - window_) {
      start_times_.pop_front();
    }
    double limit =
        std::max(1.0, kUsedFraction * per_s *
                          std::chrono::duration<double>(window_).count());
    if (now - taken_over_at_ < window_) {
      limit /= 2;
    }
    const double left = limit - static_cast<double>(start_times_.size());
    return left <= 0 ? 0 : static_cast<std::uint32_t>(left);
  }

  void OnLoadStarted(TimePoint now) { start_times_.push_back(now); }

 private:
  Duration window_;
  std::deque<TimePoint> start_times_;
  TimePoint taken_over_at_{};
};

}  // namespace tanagerloom

#endif  // FLEET_LOAD_CEILING_H_
