// Defines RepeatBudget, this node's part of the repeats that all nodes together
// may send to a service.
#ifndef FLEET_SHARED_RETRY_BUDGET_H_
#define FLEET_SHARED_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>

#include "runtime/clock.h"

namespace tanagerloom {

/// What all nodes together may repeat in one window: `ratio` of the requests
/// for the service, and `slack` more.
struct RetryLimits {
  double ratio = 0.2;
  Duration window = std::chrono::seconds(10);
  double slack = 50;
};

/// Repeats of one node to one service. Each node follows the limit from its own
/// requests and the number of live nodes, without a call. Answers the load of
/// failing endpoints, whose requests would multiply.
class SharedRetryBudget {
 public:
  /// Part of the limit that is used; the rest is for what nodes count
  /// differently, such as a number of live nodes that just fell.
  static constexpr double kUsedFraction = 0.7;

  /// A request of a client for the service arrived.
  void OnRequest(TimePoint now) { request_times_.push_back(now); }

  /// Whether one more repeat is left.
  bool AllowsRetry(const RetryLimits& limits,
                   std::size_t live_nodes,
                   TimePoint now) {
    RemoveBefore(request_times_, now - limits.window);
    RemoveBefore(retry_times_, now - limits.window);
    const double share =
        limits.slack / static_cast<double>(live_nodes == 0 ? 1 : live_nodes);
    const double allowed =
        kUsedFraction *
        (limits.ratio * static_cast<double>(request_times_.size()) + share);
    return static_cast<double>(retry_times_.size()) + 1 <= allowed;
  }

  /// Takes one repeat; false if none is left.
  bool TryAcquire(const RetryLimits& limits,
                  std::size_t live_nodes,
                  TimePoint now) {
    if (!AllowsRetry(limits, live_nodes, now)) {
      return false;
    }
    retry_times_.push_back(now);
    return true;
  }

 private:
  static void RemoveBefore(std::deque<TimePoint>& times, TimePoint before) {
    while (!times.empty() && times.front() < before) {
      times.pop_front();
    }
  }

  std::deque<TimePoint> request_times_;
  std::deque<TimePoint> retry_times_;
};

}  // namespace tanagerloom

#endif  // FLEET_REPEAT_BUDGET_H_
