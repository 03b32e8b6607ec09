// Defines ArrivalHistory, which estimates from the past gaps between requests
// for a model how likely the next request arrives within a given time. The
// estimate decides which idle models stay loaded and which models are loaded
// ahead.
#ifndef DECISION_ARRIVAL_HISTORY_H_
#define DECISION_ARRIVAL_HISTORY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "config/model_key.h"

namespace tanagerloom {

/// Estimate of the next arrival in a time window.
struct ArrivalEstimate {
  double probability = 0;  ///< Probability of an arrival in the window.
  /// Mean idle time in seconds from the start of the window to the arrival or
  /// the end of the window.
  double mean_idle_s = 0;
};

/// The recent gaps between uses of one model.
class ArrivalHistory {
 public:
  /// Records that at `now_ms` a request for the model arrived, waited or ran.
  void RecordUse(std::uint64_t now_ms);

  /// Returns the time since the last use.
  double IdleSeconds(std::uint64_t now_ms) const;

  /// Whether any use was recorded.
  bool used() const { return last_use_ms_.has_value(); }

  /// Whether the last use in this history is later than in `other`.
  bool IsNewerThan(const ArrivalHistory& other) const {
    return last_use_ms_ > other.last_use_ms_;
  }

  /// Returns the history as JSON. `wall_offset_ms` is wall time minus monotonic
  /// time.
  nlohmann::json ToJson(std::int64_t wall_offset_ms) const;

  /// Reads a history from JSON. Throws nlohmann::json::exception if a field is
  /// missing or has the wrong type.
  static ArrivalHistory FromJson(const nlohmann::json& json,
                                 std::int64_t wall_offset_ms);

  /// Estimates the probability that the present gap ends within (`from_s`,
  /// `from_s` + `window_s`], given that it is longer than `from_s`.
  ArrivalEstimate EstimateArrival(double from_s, double window_s) const;

  /// Returns the window for EstimateArrival(). It is narrower the less the
  /// known gaps that are longer than `from_s` vary.
  double WindowSeconds(double from_s) const;

 private:
  /// Gaps of similar length. Recent gaps are kept for each length separately;
  /// otherwise the many short gaps of a burst would displace the few long gaps
  /// between bursts.
  struct Band {
    std::deque<double> gaps_s;
    double count = 0;  ///< Number of gaps, including dropped ones.

    /// Number of gaps that each kept gap represents.
    double Weight() const { return count / static_cast<double>(gaps_s.size()); }
  };

  void AddGap(double gap_s);

  /// Calls visit(gap_s, weight) for each kept gap.
  template <typename Visit>
  void VisitGaps(Visit visit) const {
    for (const auto& [length, band] : bands_) {
      for (const auto gap : band.gaps_s) {
        visit(gap, band.Weight());
      }
    }
  }

  /// Monotonic time of the last use; negative if it was before the VM started.
  std::optional<std::int64_t> last_use_ms_;
  std::map<int, Band> bands_;  ///< By binary logarithm of the gap in seconds.
};

/// Returns the histories of a cell as JSON text.
std::string SerializeHistories(
    const std::map<ModelKey, ArrivalHistory>& histories,
    std::int64_t wall_offset_ms);
/// Parses the text of SerializeHistories(). Fails with kInternal if it is
/// invalid.
Result<std::map<ModelKey, ArrivalHistory>> ParseHistories(
    std::string_view text,
    std::int64_t wall_offset_ms);

}  // namespace tanagerloom

#endif  // DECISION_ARRIVAL_HISTORY_H_
