// Defines ArrivalHistory, when requests for a model came. From it follows how
// likely the next request comes in a given time, by which idle models are kept
// or loaded ahead.
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

/// EstimateArrival of an arrival in a time window, and the idle time until
/// then.
struct ArrivalEstimate {
  double probability = 0;
  double mean_idle_s = 0;  ///< Mean of the idle time, at most the window.
};

/// Recent gaps between requests for one model.
class ArrivalHistory {
 public:
  /// Notes that the model was in use at a time (arrival or running).
  void RecordUse(std::uint64_t now_ms);

  /// The time without use so far.
  double IdleSeconds(std::uint64_t now_ms) const;

  bool used() const { return last_use_ms_.has_value(); }

  /// Whether this history ends later than another one.
  bool IsNewerThan(const ArrivalHistory& other) const {
    return last_use_ms_ > other.last_use_ms_;
  }

  /// The stored form. `wall_offset_ms` is wall time minus local time.
  nlohmann::json ToJson(std::int64_t wall_offset_ms) const;

  /// Reads the stored form; throws nlohmann::json::exception if it is none.
  static ArrivalHistory FromJson(const nlohmann::json& json,
                                 std::int64_t wall_offset_ms);

  /// The chance that the gap ends within (`from_s`, `from_s` + `window_s`],
  /// given that it is longer than `from_s`.
  ArrivalEstimate EstimateArrival(double from_s, double window_s) const;

  /// A window over which the chance can be estimated from the known gaps longer
  /// than `from_s`: narrower the more they agree.
  double WindowSeconds(double from_s) const;

 private:
  /// Gaps of similar length. Each length keeps its own recent gaps, or the many
  /// short gaps of a burst would displace the few long ones between bursts.
  struct Band {
    std::deque<double> gaps_s;
    double count = 0;  ///< All gaps of this length so far.

    /// How many gaps each kept one stands for.
    double Weight() const { return count / static_cast<double>(gaps_s.size()); }
  };

  void AddGap(double gap_s);

  /// Calls visit(gap, weight) for each kept gap.
  template <typename Visit>
  void VisitGaps(Visit visit) const {
    for (const auto& [length, band] : bands_) {
      for (const auto gap : band.gaps_s) {
        visit(gap, band.Weight());
      }
    }
  }

  /// Local time; negative if it was before this VM started.
  std::optional<std::int64_t> last_use_ms_;
  std::map<int, Band> bands_;
};

/// The stored form of the histories of a cell.
std::string SerializeHistories(
    const std::map<ModelKey, ArrivalHistory>& histories,
    std::int64_t wall_offset_ms);
Result<std::map<ModelKey, ArrivalHistory>> ParseHistories(
    std::string_view text,
    std::int64_t wall_offset_ms);

}  // namespace tanagerloom

#endif  // DECISION_ARRIVAL_HISTORY_H_
