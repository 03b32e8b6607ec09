// Defines CancelSource, which tells the parts that work on a request that its
// caller has left.
#ifndef ROUTING_CANCEL_SOURCE_H_
#define ROUTING_CANCEL_SOURCE_H_

#include <functional>
#include <utility>

namespace tanagerloom {

/// Set once when the caller leaves; runs the current action then.
class CancelSource {
 public:
  void Cancel() {
    cancelled_ = true;
    if (action_) {
      auto action = std::exchange(action_, nullptr);
      action();
    }
  }

  bool cancelled() const { return cancelled_; }

  /// Replaces what is done when the caller leaves; null does nothing.
  void SetAction(std::function<void()> action) { action_ = std::move(action); }

 private:
  bool cancelled_ = false;
  std::function<void()> action_;
};

}  // namespace tanagerloom

#endif  // ROUTING_CANCEL_SOURCE_H_
