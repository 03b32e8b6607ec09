// Defines EventFlag, with which a fiber waits until another one signals a
// change.
#ifndef RUNTIME_EVENT_FLAG_H_
#define RUNTIME_EVENT_FLAG_H_

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <cstdint>
#include <mutex>

#include "runtime/clock.h"

namespace tanagerloom {

/// Counts signals and lets fibers wait for the next one. Waits use real time
/// instead of a Clock, so use it only for bounded waits after which the caller
/// checks its own condition again.
class EventFlag {
 public:
  /// Returns the number of signals so far.
  std::uint64_t count() const { return count_; }

  /// Wakes every waiting fiber.
  void Signal() {
    ++count_;
    changed_.notify_all();
  }

  /// Waits until count() differs from `last_count`, at most until `time`.
  /// Returns false if it still does not differ.
  bool WaitUntil(std::uint64_t last_count, TimePoint time) {
    std::unique_lock lock(mutex_);
    return changed_.wait_until(lock, time,
                               [&] { return count_ != last_count; });
  }

 private:
  std::uint64_t count_ = 0;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
};

}  // namespace tanagerloom

#endif  // RUNTIME_EVENT_FLAG_H_
