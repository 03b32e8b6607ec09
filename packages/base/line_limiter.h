// Defines LineLimiter, which bounds how many lines a process logs in a second.
#ifndef BASE_LINE_LIMITER_H_
#define BASE_LINE_LIMITER_H_

#include <chrono>
#include <cstdint>
#include <utility>

#include "base/event.h"

namespace tanagerloom {

/// Counts the lines of each second. Routine lines end earlier than warnings and
/// errors, which explain a failure.
class LineLimiter {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  static constexpr std::uint32_t kLinesPerSecond = 400;
  static constexpr std::uint32_t kRoutineLinesPerSecond = 300;

  /// Whether a line may be written now.
  bool Pass(Severity severity, TimePoint now) {
    if (now - second_ >= std::chrono::seconds(1)) {
      second_ = now;
      written_ = 0;
    }
    const bool routine =
        severity == Severity::kDebug || severity == Severity::kInfo;
    if (written_ >= (routine ? kRoutineLinesPerSecond : kLinesPerSecond)) {
      ++omitted_;
      return false;
    }
    ++written_;
    return true;
  }

  /// Lines left out since the last call, once lines are written again.
  std::uint64_t TakeOmitted() {
    return written_ < kRoutineLinesPerSecond ? std::exchange(omitted_, 0) : 0;
  }

 private:
  TimePoint second_{};
  std::uint32_t written_ = 0;
  std::uint64_t omitted_ = 0;
};

}  // namespace tanagerloom

#endif  // BASE_LINE_LIMITER_H_
