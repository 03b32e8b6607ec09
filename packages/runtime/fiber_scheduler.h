// Defines FiberScheduler, a Boost.Fiber scheduling algorithm that also runs an
// Asio io_context. All fibers and all I/O of a process run on one thread, so
// that no data is shared between threads.
#ifndef RUNTIME_FIBER_SCHEDULER_H_
#define RUNTIME_FIBER_SCHEDULER_H_

#include <boost/fiber/algo/algorithm.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace tanagerloom {

/// Schedules fibers round-robin and runs the handlers of an io_context.
///
/// Handlers run only in suspend_until and in a polling fiber, never in
/// pick_next: there the fiber that suspends still holds a spinlock, and a
/// handler that wakes a fiber would deadlock.
class FiberScheduler final : public boost::fibers::algo::algorithm {
 public:
  explicit FiberScheduler(boost::asio::io_context& io);
  ~FiberScheduler() override;

  void awakened(boost::fibers::context* context) noexcept override;
  boost::fibers::context* pick_next() noexcept override;
  bool has_ready_fibers() const noexcept override;
  void suspend_until(
      const std::chrono::steady_clock::time_point& time) noexcept override;
  void notify() noexcept override;

 private:
  struct Timer;

  /// Body of the polling fiber, which runs I/O handlers while other fibers are
  /// ready.
  void PollLoop();

  boost::asio::io_context& io_;
  std::unique_ptr<Timer> timer_;
  std::deque<boost::fibers::context*> ready_;
  boost::fibers::context* poller_ = nullptr;
  int picks_since_poll_ = 0;

  friend class Runtime;
};

}  // namespace tanagerloom

#endif  // RUNTIME_FIBER_SCHEDULER_H_
