// Defines EndpointHealth, the recent failure rate and the backoff of one
// endpoint, from the outcomes of the requests sent to it.
#ifndef FLEET_ENDPOINT_HEALTH_H_
#define FLEET_ENDPOINT_HEALTH_H_

#include <algorithm>
#include <chrono>

#include "runtime/clock.h"

namespace tanagerloom {

/// Failure rate and backoff of one endpoint. Detects endpoints that fail some
/// requests while reporting themselves healthy, and endpoints that are down.
class EndpointHealth {
 public:
  /// Weight of the newest outcome in the failure rate.
  static constexpr double kNewestOutcomeWeight = 0.2;
  /// Half-life of the failure rate while there are no outcomes, so that an
  /// avoided endpoint gets requests again.
  static constexpr Duration kFailureRateHalfLife = std::chrono::seconds(4);
  /// Backoff after an endpoint could not be reached; doubles up to kMaxBackoff.
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(300);
  static constexpr Duration kMaxBackoff = std::chrono::seconds(3);

  /// The endpoint served a request; ends a backoff.
  void OnSuccess(TimePoint now) {
    RecordOutcome(0, now);
    backoff_ = kInitialBackoff;
    backoff_until_ = {};
  }

  /// The endpoint was sent a request and failed to serve it.
  void OnFailure(TimePoint now) { RecordOutcome(1, now); }

  /// The endpoint could not be reached. Starts a backoff unless one is active.
  void OnUnreachable(TimePoint now) {
    RecordOutcome(1, now);
    if (now < backoff_until_) {
      return;
    }
    backoff_until_ = now + backoff_;
    backoff_ = std::min(backoff_ * 2, kMaxBackoff);
  }

  /// Returns whether the endpoint may get requests, that is, no backoff is
  /// active.
  bool AllowsRequests(TimePoint now) const { return now >= backoff_until_; }

  /// Returns the end of the last backoff.
  TimePoint backoff_until() const { return backoff_until_; }

  /// Returns the recent fraction of failed requests, from 0 to 1.
  double FailureRate(TimePoint now) const {
    const auto half_lives = std::chrono::duration<double>(now - observed_at_) /
                            std::chrono::duration<double>(kFailureRateHalfLife);
    return half_lives > kMaxHalfLives ? 0
                                      : failure_rate_ / PowerOfTwo(half_lives);
  }

 private:
  /// Number of half-lives after which the failure rate counts as 0.
  static constexpr double kMaxHalfLives = 30;

  /// Returns 2 to the power of `half_lives`, interpolated linearly between
  /// whole exponents.
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
