// Defines VirtualClock, which jumps to the next wake-up time when all fibers
// are idle, so that tests with long delays finish at once.
#ifndef TESTS_FAKES_VIRTUAL_CLOCK_H_
#define TESTS_FAKES_VIRTUAL_CLOCK_H_

#include <boost/fiber/operations.hpp>
#include <set>

#include "runtime/clock.h"

namespace tanagerloom {

/// Starts at one hour and advances only while a fiber sleeps.
class VirtualClock final : public Clock {
 public:
  TimePoint Now() const override { return now_; }

  std::chrono::milliseconds WallNow() const override {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        now_.time_since_epoch());
  }

  void SleepUntil(TimePoint time) override {
    const auto it = wake_times_.insert(time);
    int idle_rounds = 0;
    while (now_ < time) {
      boost::this_fiber::yield();
      idle_rounds = *wake_times_.begin() == time ? idle_rounds + 1 : 0;
      if (idle_rounds > kMaxIdleRounds) {
        now_ = std::max(now_, time);
      }
    }
    wake_times_.erase(it);
  }

 private:
  // Number of yields after which the earliest sleeper takes all other fibers as
  // idle. A working fiber yields fewer times between two sleeps.
  static constexpr int kMaxIdleRounds = 60;

  TimePoint now_{std::chrono::hours(1)};
  std::multiset<TimePoint> wake_times_;
};

}  // namespace tanagerloom

#endif  // TESTS_FAKES_VIRTUAL_CLOCK_H_
