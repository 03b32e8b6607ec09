// Defines Clock, the source of time of the product. Everything that waits or
// measures takes it, so that tests can pause and advance time.
#ifndef RUNTIME_CLOCK_H_
#define RUNTIME_CLOCK_H_

#include <chrono>

namespace tanagerloom {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::steady_clock::time_point;

/// A monotonic clock that fibers can sleep on.
class Clock {
 public:
  virtual ~Clock() = default;

  virtual TimePoint Now() const = 0;

  /// A clock that also counts the time for which the VM was suspended. Leases
  /// are judged by it, since others may have taken them over meanwhile.
  virtual TimePoint SuspendAwareNow() const { return Now(); }

  /// Milliseconds since the Unix epoch; used only in stored records.
  virtual std::chrono::milliseconds WallNow() const = 0;

  /// Suspends the calling fiber until `time`.
  virtual void SleepUntil(TimePoint time) = 0;

  /// Suspends the calling fiber for `duration`.
  void SleepFor(Duration duration) { SleepUntil(Now() + duration); }
};

}  // namespace tanagerloom

#endif  // RUNTIME_CLOCK_H_
