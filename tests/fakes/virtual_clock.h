// Defines VirtualClock, which jumps to the next wake-up time when the fibers
// have nothing else to do, so that tests of long delays finish at once.
#ifndef TESTS_FAKES_VIRTUAL_CLOCK_H_
#define TESTS_FAKES_VIRTUAL_CLOCK_H_

#include <boost/fiber/operations.hpp>
#include <set>

#include "runtime/clock.h"

namespace tanagerloom {

class VirtualClock final : public Clock {
 public:
  TimePoint Now() const override { return now_; }

  std::chrono::milliseconds WallNow() const override {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        now_.time_since_epoch());
  }

  void SleepUntil(TimePoint time) override {
    const auto it = wakes_.insert(time);
    int idle_rounds = 0;
    while (now_ < time) {
      boost::this_fiber::yield();
      idle_rounds = *wakes_.begin() == time ? idle_rounds + 1 : 0;
      if (idle_rounds > kIdleRounds) {
        now_ = std::max(now_, time);
      }
    }
    wakes_.erase(it);
  }

 private:
  // A fiber that works yields fewer times than this between two sleeps.
  static constexpr int kIdleRounds = 60;

  TimePoint now_{std::chrono::hours(1)};
  std::multiset<TimePoint> wakes_;
};

}  // namespace tanagerloom

#endif  // TESTS_FAKES_VIRTUAL_CLOCK_H_
