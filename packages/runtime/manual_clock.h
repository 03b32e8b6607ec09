// Defines ManualClock, a Clock that stands still until a test advances it.
#ifndef RUNTIME_MANUAL_CLOCK_H_
#define RUNTIME_MANUAL_CLOCK_H_

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include "runtime/clock.h"

namespace tanagerloom {

/// A paused clock for tests.
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override { return now_; }
  std::chrono::milliseconds WallNow() const override;
  void SleepUntil(TimePoint time) override;

  /// Moves time forward and wakes the fibers whose time has come.
  void Advance(Duration duration);

 private:
  TimePoint now_{};
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
};

}  // namespace tanagerloom

#endif  // RUNTIME_MANUAL_CLOCK_H_
