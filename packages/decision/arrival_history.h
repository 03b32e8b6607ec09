// Defines ArrivalHistory, when requests for a model came. From it follows how
// likely the next request comes in a given time, by which idle models are kept
// or loaded ahead.
#ifndef DECISION_ARRIVAL_HISTORY_H_
#define DECISION_ARRIVAL_HISTORY_H_

#include <cstdint>
#include <deque>

namespace tanagerloom {

/// Chance of an arrival in a time window, and the idle time until then.
struct ArrivalChance {
  double probability = 0;
  double mean_idle_s = 0;  ///< Mean of the idle time, at most the window.
};

/// Recent gaps between requests for one model.
class ArrivalHistory {
 public:
  /// Notes that the model was in use at a time (arrival or running).
  void NoteUse(std::uint64_t now_ms);

  /// The time without use so far.
  double IdleSeconds(std::uint64_t now_ms) const;

  bool used() const { return last_use_ms_ != 0; }

  /// The chance that the gap ends within (`from_s`, `from_s` + `window_s`],
  /// given that it is longer than `from_s`.
  ArrivalChance Chance(double from_s, double window_s) const;

  /// A window over which the chance can be estimated from the known gaps longer
  /// than `from_s`: narrower the more they agree.
  double WindowSeconds(double from_s) const;

 private:
  std::uint64_t last_use_ms_ = 0;
  std::deque<double> gaps_s_;
};

}  // namespace tanagerloom

#endif  // DECISION_ARRIVAL_HISTORY_H_
