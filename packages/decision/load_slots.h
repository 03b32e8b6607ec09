// Defines LoadSlots, which counts the loads from the weight store that are in
// flight in all cells. The slots are stored in the object store under
// "weight-store/slots" and changed by conditional updates, so that all cells
// together keep the limits of the weight store.
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

/// The right of one order to load from the weight store.
struct LoadSlot {
  std::string order;
  std::string cell;
  std::uint64_t taken_ms = 0;  ///< Wall time at which the slot was taken.

  bool operator==(const LoadSlot&) const = default;
};

/// The loads in flight and the recent starts of loads. Times are wall time in
/// milliseconds.
struct LoadSlots {
  std::vector<LoadSlot> slots;
  /// Times at which loads started in the last second, ascending.
  std::vector<std::uint64_t> starts_ms;
  /// Smoothed ratio of actual to expected load times; 1 at full speed.
  double slowdown = 1.0;

  bool operator==(const LoadSlots&) const = default;

  /// Returns the number of loads that may start now. When the weight store is
  /// slow, fewer loads may run at once, so that the most urgent ones complete
  /// first.
  std::uint32_t Available(const WeightStoreLimits& limits,
                          std::uint64_t now_ms) const;

  /// Returns the time at which the rate limit allows the next load to start,
  /// which is `now_ms` if it allows one now.
  std::uint64_t NextStartMs(const WeightStoreLimits& limits,
                            std::uint64_t now_ms) const;

  /// Takes a slot for an order. Returns false if none is available.
  bool Take(const std::string& order,
            const std::string& cell,
            const WeightStoreLimits& limits,
            std::uint64_t now_ms);

  /// Releases the slots of a cell for which `is_needed` returns false.
  void ReleaseUnneeded(std::string_view cell,
                       const std::function<bool(const LoadSlot&)>& is_needed);

  /// Updates the slowdown with the duration of a completed load.
  void RecordDuration(std::uint64_t actual_ms, std::uint64_t expected_ms);
};

/// Returns the slots as JSON text.
std::string SerializeLoadSlots(const LoadSlots& slots);
/// Parses the text of SerializeLoadSlots(). Fails with kInternal if it is
/// invalid.
Result<LoadSlots> ParseLoadSlots(std::string_view text);

}  // namespace tanagerloom

#endif  // DECISION_LOAD_SLOTS_H_
