// Defines LoadSlots, the loads from the weight store that are in progress over
// all cells. It is stored in the object API as "weight-store/slots" and changed
// by conditional updates, so that all cells together keep the store's limits.
#ifndef DECISION_LOAD_SLOTS_H_
#define DECISION_LOAD_SLOTS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "config/estate.h"

namespace tanagerloom {

/// One load in progress. Times are wall milliseconds.
struct LoadSlot {
  std::string order;
  std::string cell;
  std::uint64_t taken_ms = 0;

  bool operator==(const LoadSlot&) const = default;
};

/// Loads in progress and recent starts.
struct LoadSlots {
  std::vector<LoadSlot> slots;
  std::vector<std::uint64_t> starts_ms;  ///< Of the last second, ascending.
  /// How much longer than expected loads take, smoothed; 1 at full speed.
  double slowdown = 1.0;

  bool operator==(const LoadSlots&) const = default;

  /// How many loads may start now. Fewer run at once when the store is slow, so
  /// that the most urgent ones complete first.
  std::uint32_t Available(const WeightStoreLimits& limits,
                          std::uint64_t now_ms) const;

  /// When a load may start if none may now because of the rate; `now_ms` if the
  /// rate does not forbid one.
  std::uint64_t NextStartMs(const WeightStoreLimits& limits,
                            std::uint64_t now_ms) const;

  /// Takes a slot; false if none is available.
  bool Take(const std::string& order,
            const std::string& cell,
            const WeightStoreLimits& limits,
            std::uint64_t now_ms);

  /// Frees the slots of a cell that `is_needed` does not name.
  void ReleaseUnneeded(std::string_view cell,
                       const std::function<bool(const LoadSlot&)>& is_needed);

  /// Takes the duration of a completed load into account.
  void RecordDuration(std::uint64_t actual_ms, std::uint64_t expected_ms);
};

std::string SerializeLoadSlots(const LoadSlots& slots);
Result<LoadSlots> ParseLoadSlots(std::string_view text);

}  // namespace tanagerloom

#endif  // DECISION_LOAD_SLOTS_H_
