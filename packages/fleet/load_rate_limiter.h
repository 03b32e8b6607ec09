// Defines LoadRateLimiter, which limits how many loads from the weight store
// start within a time window.
#ifndef FLEET_LOAD_RATE_LIMITER_H_
#define FLEET_LOAD_RATE_LIMITER_H_

#include <algorithm>
#include <cstdint>
#include <deque>

#include "runtime/clock.h"

namespace tanagerloom {

/// Sliding-window rate limiter for loads from the weight store, over all
/// engines of a service. After a takeover of the order lease only a third of
/// the limit is available for one window, because the previous lease holder may
/// have started as many loads as the limit allows right before.
class LoadRateLimiter {
 public:
  /// Fraction of the configured rate that is used. The rest is a reserve for
  /// orders whose response was lost and that start later than counted.
  static constexpr double kUsedFraction = 0.8;

  /// Divides the limit in the first window after a takeover.
  static constexpr double kTakeoverDivisor = 3;

  explicit LoadRateLimiter(Duration window) : window_(window) {}

  /// This node takes over sending orders: discards the recorded loads.
  void OnTakeover(TimePoint now) {
    start_times_.clear();
    taken_over_at_ = now;
  }

  /// Returns how many loads may start now, at a limit of `per_s` loads per
  /// second. Each window allows at least one load.
  std::uint32_t LoadsAllowed(double per_s, TimePoint now) {
    while (!start_times_.empty() && start_times_.front() <= now - window_) {
      start_times_.pop_front();
    }
    double limit =
        std::max(1.0, kUsedFraction * per_s *
                          std::chrono::duration<double>(window_).count());
    if (now - taken_over_at_ < window_) {
      limit = std::max(1.0, limit / kTakeoverDivisor);
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

#endif  // FLEET_LOAD_RATE_LIMITER_H_
