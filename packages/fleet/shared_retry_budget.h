// Defines SharedRetryBudget, this node's share of the retries that all nodes
// together may send to a service.
#ifndef FLEET_SHARED_RETRY_BUDGET_H_
#define FLEET_SHARED_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>

#include "runtime/clock.h"

namespace tanagerloom {

/// Limit on the retries of all nodes together in one window: `ratio` times the
/// requests for the service, plus `slack` retries.
struct RetryLimits {
  double ratio = 0.2;
  Duration window = std::chrono::seconds(10);
  double slack = 50;
};

/// Retry budget of one node for one service. Each node calculates its share
/// from its own requests and the number of live nodes, without communication.
/// It keeps retries from multiplying the load of failing endpoints.
class SharedRetryBudget {
 public:
  /// Fraction of the limit that is used. The rest is a reserve for differences
  /// between nodes, such as a number of live nodes that just fell.
  static constexpr double kUsedFraction = 0.7;

  /// Counts a client request for the service.
  void OnRequest(TimePoint now) { request_times_.push_back(now); }

  /// Returns whether the budget allows one more retry.
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

  /// Takes one retry from the budget; returns false if none is left.
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

#endif  // FLEET_SHARED_RETRY_BUDGET_H_
