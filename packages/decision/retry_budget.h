// Defines RetryBudget, which bounds retries to a fraction of the requests, so
// that retries cannot multiply the load of endpoints that are failing.
#ifndef DECISION_RETRY_BUDGET_H_
#define DECISION_RETRY_BUDGET_H_

#include <algorithm>

namespace tanagerloom {

/// A token bucket filled by first attempts and emptied by retries.
class RetryBudget {
 public:
  /// Every request adds this many retries.
  static constexpr double kRetriesPerRequest = 0.2;
  /// Retries that may be saved up; lets a quiet node retry at once.
  static constexpr double kMaxTokens = 50;

  void CountRequest() {
    tokens_ = std::min(kMaxTokens, tokens_ + kRetriesPerRequest);
  }

  /// Takes one retry; false if none is left.
  bool TakeRetry() {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  double tokens() const { return tokens_; }

 private:
  double tokens_ = kMaxTokens;
};

}  // namespace tanagerloom

#endif  // DECISION_RETRY_BUDGET_H_
