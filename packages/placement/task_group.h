// Defines TaskGroup, which owns the fibers of one component, so that none of
// them outlives the component.
#ifndef PLACEMENT_TASK_GROUP_H_
#define PLACEMENT_TASK_GROUP_H_

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <cstddef>
#include <mutex>
#include <utility>

namespace tanagerloom {

/// Starts fibers and waits for them; the destructor waits too.
class TaskGroup {
 public:
  TaskGroup() = default;
  ~TaskGroup() { Wait(); }
  TaskGroup(const TaskGroup&) = delete;
  TaskGroup& operator=(const TaskGroup&) = delete;

  /// Runs `task` in a new fiber.
  template <typename Task>
  void Spawn(Task task) {
    ++running_;
    boost::fibers::fiber([this, task = std::move(task)]() mutable {
      task();
      const std::unique_lock lock(mutex_);
      --running_;
      ended_.notify_all();
    }).detach();
  }

  /// Blocks the calling fiber until every spawned fiber has ended.
  void Wait() {
    std::unique_lock lock(mutex_);
    ended_.wait(lock, [this] { return running_ == 0; });
  }

  /// Number of fibers that have not ended.
  std::size_t running() const { return running_; }

 private:
  std::size_t running_ = 0;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable ended_;
};

}  // namespace tanagerloom

#endif  // PLACEMENT_TASK_GROUP_H_
