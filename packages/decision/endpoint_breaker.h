// Defines EndpointBreaker, which stops requests to an endpoint that keeps
// failing and lets one probe through after a while.
#ifndef DECISION_ENDPOINT_BREAKER_H_
#define DECISION_ENDPOINT_BREAKER_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace tanagerloom {

/// Circuit breaker of one endpoint. Times come from the caller.
class EndpointBreaker {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  using Duration = std::chrono::steady_clock::duration;

  /// Failures in a row that open the breaker. A single cut connection is no
  /// sign of a dead endpoint.
  static constexpr std::uint32_t kFailureLimit = 3;
  static constexpr Duration kInitialCooldown = std::chrono::milliseconds(500);
  static constexpr Duration kMaxCooldown = std::chrono::seconds(15);
  /// A probe without an outcome frees its place after this time.
  static constexpr Duration kProbeTimeout = std::chrono::seconds(5);

  /// Whether a request may be sent now; while open, only a probe may.
  bool AllowsRequest(TimePoint now) const {
    return !open_ || (now >= retry_at_ && now >= probe_until_);
  }

  /// A request is sent. True if it is the probe, which peers should know.
  bool OnSend(TimePoint now) {
    if (!open_) {
      return false;
    }
    probe_until_ = now + kProbeTimeout;
    return true;
  }

  /// True if the breaker closes by this success.
  bool OnSuccess() {
    failures_ = 0;
    cooldown_ = kInitialCooldown;
    probe_until_ = {};
    const bool was_open = open_;
    open_ = false;
    return was_open;
  }

  /// True if the breaker opens, or stays open after a probe, by this failure.
  bool OnFailure(TimePoint now) {
    if (open_ && now < retry_at_) {
      // Requests sent before it opened fail together; only a failed probe shows
      // that the endpoint needs a longer pause.
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

  /// A peer's breaker opened for `pause`.
  void Open(TimePoint now, Duration cooldown) {
    open_ = true;
    probe_until_ = {};
    retry_at_ = std::max(retry_at_, now + cooldown);
  }

  /// A peer probes; this node waits for its outcome.
  void OnPeerProbe(TimePoint now, Duration valid) {
    if (open_) {
      probe_until_ =
          std::max(probe_until_, now + std::min(valid, kProbeTimeout));
    }
  }

  bool open() const { return open_; }
  TimePoint retry_at() const { return std::max(retry_at_, probe_until_); }
  Duration cooldown() const { return cooldown_; }

 private:
  bool open_ = false;
  std::uint32_t failures_ = 0;
  Duration cooldown_ = kInitialCooldown;
  TimePoint retry_at_{};
  TimePoint probe_until_{};
};

}  // namespace tanagerloom

#endif  // DECISION_ENDPOINT_BREAKER_H_
