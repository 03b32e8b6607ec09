// Defines EventFlag, on which fibers wait until another fiber signals a change.
#ifndef RUNTIME_EVENT_FLAG_H_
#define RUNTIME_EVENT_FLAG_H_

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <cstdint>
#include <mutex>

#include "runtime/clock.h"

namespace tanagerloom {

/// A change counter with waiting. Uses real time: only for bounded waits whose
/// callers check their own condition again.
class EventFlag {
 public:
  /// The number of signals so far.
  std::uint64_t count() const { return count_; }

  /// Wakes every waiting fiber.
  void Signal() {
    ++count_;
    changed_.notify_all();
  }

  /// Waits until a signal after `seen`, or until `time`. Returns false on the
  /// timeout.
  bool WaitUntil(std::uint64_t seen, TimePoint time) {
    std::unique_lock lock(mutex_);
    return changed_.wait_until(lock, time, [&] { return count_ != seen; });
  }

 private:
  std::uint64_t count_ = 0;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
};

}  // namespace tanagerloom

#endif  // RUNTIME_EVENT_FLAG_H_
