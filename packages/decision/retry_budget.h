// Defines RetryBudget, which limits retries to a fraction of the requests, so
// that retries cannot multiply the load of failing endpoints.
#ifndef DECISION_RETRY_BUDGET_H_
#define DECISION_RETRY_BUDGET_H_

#include <algorithm>

namespace tanagerloom {

/// A token bucket that first attempts fill and retries empty. One token allows
/// one retry.
class RetryBudget {
 public:
  /// Tokens that each request adds.
  static constexpr double kRetriesPerRequest = 0.2;
  /// Capacity of the bucket. Saved tokens let a node with few requests retry
  /// immediately.
  static constexpr double kMaxTokens = 50;

  /// Adds the tokens of one request.
  void CountRequest() {
    tokens_ = std::min(kMaxTokens, tokens_ + kRetriesPerRequest);
  }

  /// Takes the token for one retry. Returns false if less than one is left.
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
