#include "runtime/steady_clock.h"

#include <time.h>

#include <boost/fiber/operations.hpp>

namespace tanagerloom {

TimePoint SteadyClock::Now() const {
  return std::chrono::steady_clock::now();
}

TimePoint SteadyClock::SuspendAwareNow() const {
  timespec time{};
  if (clock_gettime(CLOCK_BOOTTIME, &time) != 0) {
    return Now();
  }
  return TimePoint(std::chrono::seconds(time.tv_sec) +
                   std::chrono::nanoseconds(time.tv_nsec));
}

std::chrono::milliseconds SteadyClock::WallNow() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

void SteadyClock::SleepUntil(TimePoint time) {
  boost::this_fiber::sleep_until(time);
}

}  // namespace tanagerloom
