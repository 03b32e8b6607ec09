// Defines EndpointHealth, how reliable an endpoint was lately, judged by what
// became of the requests that were sent to it.
#ifndef FLEET_ENDPOINT_HEALTH_H_
#define FLEET_ENDPOINT_HEALTH_H_

#include <algorithm>
#include <chrono>

#include "runtime/clock.h"

namespace tanagerloom {

/// Failure rate and pauses of one endpoint. Answers the load of endpoints that
/// fail a part of their requests while they call themselves healthy, and of
/// endpoints that are down.
class EndpointHealth {
 public:
  /// Weight of the newest outcome in the failure rate.
  static constexpr double kNewestOutcomeWeight = 0.2;
  /// Time in which the failure rate halves without outcomes, so that an
  /// endpoint that is avoided is tried again.
  static constexpr Duration kFailureRateHalfLife = std::chrono::seconds(4);
  /// Pause after an endpoint could not be reached; doubles up to the longest.
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(300);
  static constexpr Duration kMaxBackoff = std::chrono::seconds(3);

  void OnSuccess(TimePoint now) {
    RecordOutcome(0, now);
    backoff_ = kInitialBackoff;
    backoff_until_ = {};
  }

  /// The endpoint took a request and gave no answer of its own.
  void OnFailure(TimePoint now) { RecordOutcome(1, now); }

  /// The endpoint could not be reached: nothing is sent for a while.
  void OnUnreachable(TimePoint now) {
    RecordOutcome(1, now);
    if (now < backoff_until_) {
      return;
    }
    backoff_until_ = now + backoff_;
    backoff_ = std::min(backoff_ * 2, kMaxBackoff);
  }

  bool AllowsRequests(TimePoint now) const { return now >= backoff_until_; }

  /// Failed part of the recent requests, from 0 to 1.
  double FailureRate(TimePoint now) const {
    const auto half_lives = std::chrono::duration<double>(now - observed_at_) /
                            std::chrono::duration<double>(kFailureRateHalfLife);
    return half_lives > kMaxHalfLives ? 0
                                      : failure_rate_ / PowerOfTwo(half_lives);
  }

 private:
  static constexpr double kMaxHalfLives = 30;

  static double PowerOfTwo(double half_lives) {
    double out = 1;
    for (; half_lives >= 1; half_lives -= 1) {
      out *= 2;
    }
    return out * (1 + half_lives);
  }

  void RecordOutcome(double failure, TimePoint now) {
    failure_rate_ = FailureRate(now) * (1 - kNewestOutcomeWeight) +
                    failure * kNewestOutcomeWeight;
    observed_at_ = now;
  }

  double failure_rate_ = 0;
  TimePoint observed_at_{};
  Duration backoff_ = kInitialBackoff;
  TimePoint backoff_until_{};
};

}  // namespace tanagerloom

#endif  // FLEET_ENDPOINT_HEALTH_H_
