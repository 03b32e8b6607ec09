// Defines TaskGroup, the fibers of one component, which must have ended before
// the component does.
#ifndef PLACEMENT_TASK_GROUP_H_
#define PLACEMENT_TASK_GROUP_H_

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <cstddef>
#include <mutex>
#include <utility>

namespace tanagerloom {

/// Starts fibers and waits for them.
class TaskGroup {
 public:
  TaskGroup() = default;
  ~TaskGroup() { Wait(); }
  TaskGroup(const TaskGroup&) = delete;
  TaskGroup& operator=(const TaskGroup&) = delete;

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

  /// Waits until every fiber has ended.
  void Wait() {
    std::unique_lock lock(mutex_);
    ended_.wait(lock, [this] { return running_ == 0; });
  }

  std::size_t running() const { return running_; }

 private:
  std::size_t running_ = 0;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable ended_;
};

}  // namespace tanagerloom

#endif  // PLACEMENT_TASK_GROUP_H_
