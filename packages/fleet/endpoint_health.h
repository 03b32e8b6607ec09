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
  static constexpr double kNewestWeight = 0.2;
  /// Time in which the failure rate halves without outcomes, so that an
  /// endpoint that is avoided is tried again.
  static constexpr Duration kForgetHalf = std::chrono::seconds(4);
  /// Pause after an endpoint could not be reached; doubles up to the longest.
  static constexpr Duration kFirstPause = std::chrono::milliseconds(300);
  static constexpr Duration kLongestPause = std::chrono::seconds(3);

  void OnSuccess(TimePoint now) {
    Observe(0, now);
    pause_ = kFirstPause;
    paused_until_ = {};
  }

  /// The endpoint took a request and gave no answer of its own.
  void OnFailure(TimePoint now) { Observe(1, now); }

  /// The endpoint could not be reached: nothing is sent for a while.
  void OnUnreachable(TimePoint now) {
    Observe(1, now);
    if (now < paused_until_) {
      return;
    }
    paused_until_ = now + pause_;
    pause_ = std::min(pause_ * 2, kLongestPause);
  }

  bool Allows(TimePoint now) const { return now >= paused_until_; }

  /// Failed part of the recent requests, from 0 to 1.
  double FailureRate(TimePoint now) const {
    const auto halves = std::chrono::duration<double>(now - observed_) /
                        std::chrono::duration<double>(kForgetHalf);
    return halves > kMostHalves ? 0 : rate_ / Power2(halves);
  }

 private:
  static constexpr double kMostHalves = 30;

  static double Power2(double halves) {
    double out = 1;
    for (; halves >= 1; halves -= 1) {
      out *= 2;
    }
    return out * (1 + halves);
  }

  void Observe(double failed, TimePoint now) {
    rate_ = FailureRate(now) * (1 - kNewestWeight) + failed * kNewestWeight;
    observed_ = now;
  }

  double rate_ = 0;
  TimePoint observed_{};
  Duration pause_ = kFirstPause;
  TimePoint paused_until_{};
};

}  // namespace tanagerloom

#endif  // FLEET_ENDPOINT_HEALTH_H_
