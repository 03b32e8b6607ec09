// Defines CancelSource, which notifies the code that works on a request when
// its client disconnects.
#ifndef ROUTING_CANCEL_SOURCE_H_
#define ROUTING_CANCEL_SOURCE_H_

#include <functional>
#include <utility>

namespace tanagerloom {

/// Is cancelled at most once, when the client disconnects, and runs the action
/// that is set at that time.
class CancelSource {
 public:
  /// Marks the request as cancelled and runs the current action, if any.
  void Cancel() {
    cancelled_ = true;
    if (action_) {
      auto action = std::exchange(action_, nullptr);
      action();
    }
  }

  bool cancelled() const { return cancelled_; }

  /// Replaces the action that Cancel() runs; null for none. An action set after
  /// Cancel() does not run.
  void SetAction(std::function<void()> action) { action_ = std::move(action); }

 private:
  bool cancelled_ = false;
  std::function<void()> action_;
};

}  // namespace tanagerloom

#endif  // ROUTING_CANCEL_SOURCE_H_
