// Defines LogRateLimiter, which limits how many lines a process logs per
// second.
#ifndef BASE_LOG_RATE_LIMITER_H_
#define BASE_LOG_RATE_LIMITER_H_

#include <chrono>
#include <cstdint>
#include <utility>

#include "base/event.h"

namespace tanagerloom {

/// Counts the lines of each one-second window. Debug and info lines have a
/// lower limit than warnings and errors, so that the lines that explain a
/// failure are still written.
class LogRateLimiter {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// Limit for lines of all severities together.
  static constexpr std::uint32_t kMaxLinesPerSecond = 400;
  /// Number of lines per second after which debug and info lines are omitted.
  static constexpr std::uint32_t kMaxRoutineLinesPerSecond = 300;

  /// Returns whether a line may be written at `now`; otherwise counts it as
  /// omitted.
  bool Allow(Severity severity, TimePoint now) {
    if (now - window_start_ >= std::chrono::seconds(1)) {
      window_start_ = now;
      lines_written_ = 0;
    }
    const bool routine =
        severity == Severity::kDebug || severity == Severity::kInfo;
    if (lines_written_ >=
        (routine ? kMaxRoutineLinesPerSecond : kMaxLinesPerSecond)) {
      ++lines_omitted_;
      return false;
    }
    ++lines_written_;
    return true;
  }

  /// Returns the number of omitted lines since the last call and resets it.
  /// Returns 0 without a reset while routine lines are over their limit.
  std::uint64_t TakeOmittedCount() {
    return lines_written_ < kMaxRoutineLinesPerSecond
               ? std::exchange(lines_omitted_, 0)
               : 0;
  }

 private:
  TimePoint window_start_{};
  std::uint32_t lines_written_ = 0;
  std::uint64_t lines_omitted_ = 0;
};

}  // namespace tanagerloom

#endif  // BASE_LOG_RATE_LIMITER_H_
