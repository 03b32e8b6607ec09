// Defines UsualAnswerTime and AnswerSpeed, which judge an endpoint by the times
// to its first events.
#ifndef FLEET_ANSWER_SPEED_H_
#define FLEET_ANSWER_SPEED_H_

#include <algorithm>
#include <chrono>
#include <cmath>

#include "runtime/clock.h"

namespace tanagerloom {

/// Median time to the first event over the endpoints of a service, as a
/// multiple of the time that an idle endpoint is estimated to take.
class UsualAnswerTime {
 public:
  /// Records an answer and returns its ratio to the median before it.
  double Observe(Duration delay, Duration idle_delay) {
    using Milliseconds = std::chrono::duration<double, std::milli>;
    const double multiple = Milliseconds(delay) / Milliseconds(idle_delay);
    if (median_ == 0) {
      median_ = multiple;
    }
    const double ratio = multiple / median_;
    median_ *= multiple > median_ ? kStep : 1 / kStep;
    return ratio;
  }

 private:
  /// Factor by which one answer moves the median.
  static constexpr double kStep = 1.03;

  double median_ = 0;
};

/// How slow the recent answers of one endpoint were.
class AnswerSpeed {
 public:
  /// The endpoint answered in `ratio` times the usual time.
  void Observe(double ratio, TimePoint now) {
    ratio_ = Ratio(now) * (1 - kNewestWeight) +
             std::min(ratio, kMaxRatio) * kNewestWeight;
    observed_at_ = now;
  }

  /// Returns the recent ratio to the usual time; moves to 1 while there are no
  /// answers, so that an avoided endpoint gets requests again.
  double Ratio(TimePoint now) const {
    const auto age = std::chrono::duration<double>(now - observed_at_) /
                     std::chrono::duration<double>(kHalfLife);
    return 1 + (ratio_ - 1) * std::exp2(-age);
  }

 private:
  static constexpr double kNewestWeight = 0.2;
  /// One answer that waited very long says little about the next one.
  static constexpr double kMaxRatio = 10;
  static constexpr Duration kHalfLife = std::chrono::seconds(4);

  double ratio_ = 1;
  TimePoint observed_at_{};
};

}  // namespace tanagerloom

#endif  // FLEET_ANSWER_SPEED_H_
