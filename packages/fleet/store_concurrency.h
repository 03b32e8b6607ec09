// Defines StoreConcurrency, which learns how many loads from the weight store
// run at full speed at once.
#ifndef FLEET_STORE_CONCURRENCY_H_
#define FLEET_STORE_CONCURRENCY_H_

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "runtime/clock.h"

namespace tanagerloom {

/// The number of loads from the store to run at once. More than the store
/// serves at full speed bring nothing: each takes longer in proportion, and
/// keeps its engine busy meanwhile. The limit starts low, because loads that
/// share the store are all late, and doubles until the first one is slowed.
/// Answers many models that no engine has a copy of.
class StoreConcurrency {
 public:
  /// Assumed until a load was seen.
  static constexpr double kInitialLimit = 2;
  static constexpr double kMaxLimit = 64;
  /// A load that takes at most this many times its stated time ran at full
  /// speed.
  static constexpr double kFullSpeedRatio = 1.15;
  /// Weight of the newest load in the estimate.
  static constexpr double kNewestLoadWeight = 0.5;

  /// Loads that may run at once.
  std::uint32_t limit() const {
    return static_cast<std::uint32_t>(std::lround(std::max(1.0, limit_)));
  }

  /// A load from the store took `took` instead of `stated`, among `at_once`.
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
  bool saw_slow_load_ = false;  ///< A load took longer than stated.
};

}  // namespace tanagerloom

#endif  // FLEET_STORE_CONCURRENCY_H_
