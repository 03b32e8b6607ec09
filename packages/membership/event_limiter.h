// Defines EventLimiter, which keeps an event that a faulty or hostile peer can
// provoke from filling the log.
#ifndef MEMBERSHIP_EVENT_LIMITER_H_
#define MEMBERSHIP_EVENT_LIMITER_H_

#include <cstdint>
#include <optional>

#include "runtime/clock.h"

namespace tanagerloom {

/// Lets one event a second pass and counts the others.
class EventLimiter {
 public:
  /// The number of events left out since the last one that passed, or empty if
  /// this one is to be left out.
  std::optional<std::uint64_t> Pass(TimePoint now) {
    if (last_ && now - *last_ < std::chrono::seconds(1)) {
      ++suppressed_;
      return std::nullopt;
    }
    last_ = now;
    const auto n = suppressed_;
    suppressed_ = 0;
    return n;
  }

 private:
  std::optional<TimePoint> last_;
  std::uint64_t suppressed_ = 0;
};

}  // namespace tanagerloom

#endif  // MEMBERSHIP_EVENT_LIMITER_H_
