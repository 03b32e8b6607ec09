// Defines EventRateLimiter, which limits how often an event is recorded that a
// faulty or hostile peer can cause, so that it does not fill the log.
#ifndef MEMBERSHIP_EVENT_RATE_LIMITER_H_
#define MEMBERSHIP_EVENT_RATE_LIMITER_H_

#include <cstdint>
#include <optional>

#include "runtime/clock.h"

namespace tanagerloom {

/// Allows one event per second and counts the suppressed ones.
class EventRateLimiter {
 public:
  /// Returns an empty optional if the event at `now` is to be suppressed.
  /// Otherwise returns how many events were suppressed since the last one.
  std::optional<std::uint64_t> TryPass(TimePoint now) {
    if (last_passed_at_ && now - *last_passed_at_ < std::chrono::seconds(1)) {
      ++suppressed_;
      return std::nullopt;
    }
    last_passed_at_ = now;
    const auto n = suppressed_;
    suppressed_ = 0;
    return n;
  }

 private:
  std::optional<TimePoint> last_passed_at_;
  std::uint64_t suppressed_ = 0;
};

}  // namespace tanagerloom

#endif  // MEMBERSHIP_EVENT_RATE_LIMITER_H_
