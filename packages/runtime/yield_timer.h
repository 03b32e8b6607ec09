// Defines YieldTimer, which limits how long one fiber keeps the event loop from
// other work.
#ifndef RUNTIME_YIELD_TIMER_H_
#define RUNTIME_YIELD_TIMER_H_

#include <chrono>

#include "runtime/checkpoint.h"

namespace boost::asio {
class io_context;
}

namespace tanagerloom {

/// Divides a computation into slices: after each, pending I/O and other fibers
/// run. Real time is used, because a slice is processor time of this thread.
class YieldTimer {
 public:
  /// Max duration of a slice if the computation has a checkpoint often enough.
  static constexpr std::chrono::milliseconds kMaxSlice{1};

  explicit YieldTimer(boost::asio::io_context& io);

  /// Suspends the calling fiber if its slice is over, until the handlers that
  /// are ready have run.
  void Check();

  /// Returns a checkpoint that calls Check(). The timer must outlive it.
  Checkpoint MakeCheckpoint() {
    return [this] { Check(); };
  }

 private:
  boost::asio::io_context& io_;
  std::chrono::steady_clock::time_point slice_started_at_;
};

}  // namespace tanagerloom

#endif  // RUNTIME_YIELD_TIMER_H_
