#include "runtime/manual_clock.h"

#include <mutex>

namespace tanagerloom {

std::chrono::milliseconds ManualClock::WallNow() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      now_.time_since_epoch());
}

void ManualClock::SleepUntil(TimePoint time) {
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [&] { return now_ >= time; });
}

void ManualClock::Advance(Duration duration) {
  {
    const std::unique_lock lock(mutex_);
    now_ += duration;
  }
  changed_.notify_all();
}

}  // namespace tanagerloom
