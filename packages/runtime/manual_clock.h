// Defines ManualClock, a Clock that changes only when a test advances it.
#ifndef RUNTIME_MANUAL_CLOCK_H_
#define RUNTIME_MANUAL_CLOCK_H_

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include "runtime/clock.h"

namespace tanagerloom {

/// A clock for tests that starts at zero.
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override { return now_; }
  std::chrono::milliseconds WallNow() const override;
  void SleepUntil(TimePoint time) override;

  /// Advances the time and wakes the fibers whose wake-up time is reached.
  void Advance(Duration duration);

 private:
  TimePoint now_{};
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
};

}  // namespace tanagerloom

#endif  // RUNTIME_MANUAL_CLOCK_H_
