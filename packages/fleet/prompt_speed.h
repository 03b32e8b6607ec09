// Defines PromptSpeed, which learns how fast the engines of a service read
// prompts.
#ifndef FLEET_PROMPT_SPEED_H_
#define FLEET_PROMPT_SPEED_H_

#include <chrono>

#include "runtime/clock.h"

namespace tanagerloom {

/// Estimates the prompt tokens that an idle engine reads in a millisecond, from
/// the times until first events. Most requests wait behind others, so the
/// estimate follows the fastest ones.
class PromptSpeed {
 public:
  /// Estimate before the first observation.
  static constexpr double kInitialTokensPerMs = 25;
  /// Prompts with fewer unshared tokens say little: the network and one
  /// decoding step take as long as reading them.
  static constexpr double kMinObservedTokens = 400;

  /// A first event arrived `delay` after a request was sent. The engine read at
  /// least `unshared_tokens`, which no other request has in common.
  void Observe(double unshared_tokens, Duration delay) {
    const std::chrono::duration<double, std::milli> reading =
        delay - kFixedDelay;
    if (unshared_tokens < kMinObservedTokens || reading.count() <= 0) {
      return;
    }
    const double observed = unshared_tokens / reading.count();
    const double weight =
        observed > tokens_per_ms_ ? kFasterWeight : kSlowerWeight;
    tokens_per_ms_ += (observed - tokens_per_ms_) * weight;
  }

  double tokens_per_ms() const { return tokens_per_ms_; }

 private:
  /// Network latency and the decoding step that makes the first event.
  static constexpr Duration kFixedDelay = std::chrono::milliseconds(10);
  /// Weights of an observation above and below the estimate. Their ratio makes
  /// the estimate settle where one in ten observations is faster.
  static constexpr double kFasterWeight = 0.18;
  static constexpr double kSlowerWeight = 0.02;

  double tokens_per_ms_ = kInitialTokensPerMs;
};

}  // namespace tanagerloom

#endif  // FLEET_PROMPT_SPEED_H_
