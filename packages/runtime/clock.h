// Defines Clock, the interface to the current time. All code that waits or
// measures time uses it, so that tests can control time.
#ifndef RUNTIME_CLOCK_H_
#define RUNTIME_CLOCK_H_

#include <chrono>

namespace tanagerloom {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::steady_clock::time_point;

/// A monotonic clock on which fibers can sleep.
class Clock {
 public:
  virtual ~Clock() = default;

  /// Returns the current time.
  virtual TimePoint Now() const = 0;

  /// Returns the time of a clock that also advances while the VM is suspended.
  /// Leases use it, because another node may take over a lease during that
  /// time.
  virtual TimePoint SuspendAwareNow() const { return Now(); }

  /// Returns the milliseconds since the Unix epoch, for stored records and
  /// identifiers.
  virtual std::chrono::milliseconds WallNow() const = 0;

  /// Suspends the calling fiber until `time`.
  virtual void SleepUntil(TimePoint time) = 0;

  /// Suspends the calling fiber for `duration`.
  void SleepFor(Duration duration) { SleepUntil(Now() + duration); }
};

}  // namespace tanagerloom

#endif  // RUNTIME_CLOCK_H_
