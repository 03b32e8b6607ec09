// Defines EndpointBreaker, a circuit breaker that stops requests to an endpoint
// that keeps failing and allows one probe at a time after a cooldown.
#ifndef DECISION_ENDPOINT_BREAKER_H_
#define DECISION_ENDPOINT_BREAKER_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace tanagerloom {

/// The circuit breaker of one endpoint. The caller passes the current time.
class EndpointBreaker {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  using Duration = std::chrono::steady_clock::duration;

  /// Number of consecutive failures that open the breaker. A single broken
  /// connection does not show that the endpoint is down.
  static constexpr std::uint32_t kFailureLimit = 3;
  static constexpr Duration kInitialCooldown = std::chrono::milliseconds(500);
  static constexpr Duration kMaxCooldown = std::chrono::seconds(15);
  /// Time after which a probe without an outcome no longer blocks the next one.
  static constexpr Duration kProbeTimeout = std::chrono::seconds(5);

  /// Whether a request may be sent now. While the breaker is open, only a probe
  /// may be sent, after the cooldown and if no other probe is in flight.
  bool AllowsRequest(TimePoint now) const {
    return !open_ || (now >= retry_at_ && now >= probe_until_);
  }

  /// Records that a request is sent. Returns whether it is a probe, which the
  /// caller should announce to peers.
  bool OnSend(TimePoint now) {
    if (!open_) {
      return false;
    }
    probe_until_ = now + kProbeTimeout;
    return true;
  }

  /// Records a success. Returns whether it closed the breaker.
  bool OnSuccess() {
    failures_ = 0;
    cooldown_ = kInitialCooldown;
    probe_until_ = {};
    const bool was_open = open_;
    open_ = false;
    return was_open;
  }

  /// Records a failure. Returns whether it opened the breaker or, as a failed
  /// probe, keeps it open.
  bool OnFailure(TimePoint now) {
    if (open_ && now < retry_at_) {
      // Requests that were sent before the breaker opened fail together. Only a
      // failed probe shows that the endpoint needs a longer cooldown.
      return false;
    }
    ++failures_;
    if (!open_ && failures_ < kFailureLimit) {
      return false;
    }
    Open(now, cooldown_);
    cooldown_ = std::min(cooldown_ * 2, kMaxCooldown);
    return true;
  }

  /// Opens the breaker for `cooldown`, also when the breaker of a peer opened.
  void Open(TimePoint now, Duration cooldown) {
    open_ = true;
    probe_until_ = {};
    retry_at_ = std::max(retry_at_, now + cooldown);
  }

  /// Records that a peer probes the endpoint. This node waits for the outcome
  /// for at most `valid`.
  void OnPeerProbe(TimePoint now, Duration valid) {
    if (open_) {
      probe_until_ =
          std::max(probe_until_, now + std::min(valid, kProbeTimeout));
    }
  }

  bool open() const { return open_; }
  /// Earliest time of the next probe.
  TimePoint retry_at() const { return std::max(retry_at_, probe_until_); }
  /// Cooldown after the next time the breaker opens.
  Duration cooldown() const { return cooldown_; }

 private:
  bool open_ = false;
  std::uint32_t failures_ = 0;  ///< Consecutive failures.
  Duration cooldown_ = kInitialCooldown;
  TimePoint retry_at_{};
  TimePoint probe_until_{};
};

}  // namespace tanagerloom

#endif  // DECISION_ENDPOINT_BREAKER_H_
