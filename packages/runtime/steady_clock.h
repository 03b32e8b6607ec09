// Defines SteadyClock, the Clock that reads the clocks of the system.
#ifndef RUNTIME_STEADY_CLOCK_H_
#define RUNTIME_STEADY_CLOCK_H_

#include "runtime/clock.h"

namespace tanagerloom {

/// The monotonic clock of the system. Sleeping suspends only the calling fiber.
class SteadyClock final : public Clock {
 public:
  TimePoint Now() const override;
  TimePoint SuspendAwareNow() const override;
  std::chrono::milliseconds WallNow() const override;
  void SleepUntil(TimePoint time) override;
};

}  // namespace tanagerloom

#endif  // RUNTIME_STEADY_CLOCK_H_
