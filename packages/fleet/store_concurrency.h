// Defines StoreConcurrency, which estimates how many concurrent loads the
// weight store serves at full speed.
#ifndef FLEET_STORE_CONCURRENCY_H_
#define FLEET_STORE_CONCURRENCY_H_

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "runtime/clock.h"

namespace tanagerloom {

/// Adaptive limit on concurrent loads from the weight store. Loads beyond what
/// the store serves at full speed gain nothing: each takes proportionally
/// longer and keeps its engine busy. The limit starts low, because loads that
/// share the store all finish late, and doubles until the first load is slowed
/// down. It matters when many models have no cached copy.
class StoreConcurrency {
 public:
  /// Limit until the first load has finished.
  static constexpr double kInitialLimit = 2;
  static constexpr double kMaxLimit = 64;
  /// Maximum ratio of actual to expected time of a load that ran at full speed.
  static constexpr double kFullSpeedRatio = 1.15;
  /// Weight of the newest slow load in the estimate.
  static constexpr double kNewestLoadWeight = 0.5;

  /// Maximum number of concurrent loads; at least 1.
  std::uint32_t limit() const {
    return static_cast<std::uint32_t>(std::lround(std::max(1.0, limit_)));
  }

  /// Updates the limit after a load that took `actual` instead of `expected`
  /// while `concurrent_loads` were in flight.
  void OnLoaded(std::uint32_t concurrent_loads,
                Duration actual,
                Duration expected) {
    const double ratio = std::chrono::duration<double>(actual) /
                         std::chrono::duration<double>(expected);
    if (ratio <= kFullSpeedRatio) {
      const double next =
          saw_slow_load_ ? concurrent_loads + 0.5 : 2.0 * concurrent_loads;
      limit_ = std::clamp(std::max(limit_, next), 1.0, kMaxLimit);
      return;
    }
    saw_slow_load_ = true;
    const double measured = concurrent_loads / ratio;
    limit_ = std::clamp(
        limit_ * (1 - kNewestLoadWeight) + measured * kNewestLoadWeight, 1.0,
        kMaxLimit);
  }

 private:
  double limit_ = kInitialLimit;
  bool saw_slow_load_ = false;  ///< A load did not run at full speed.
};

}  // namespace tanagerloom

#endif  // FLEET_STORE_CONCURRENCY_H_
