// Defines SlotStore, which takes and frees the load slots of the weight store
// by conditional updates of one object that all cells share.
#ifndef PLACEMENT_SLOT_STORE_H_
#define PLACEMENT_SLOT_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/error.h"
#include "config/estate.h"
#include "decision/load_slots.h"

namespace tanagerloom {

class Clock;
class EventLog;
class ObjectStore;

/// A completed load, for the estimate of the store's speed.
struct LoadDuration {
  std::uint64_t actual_ms = 0;
  std::uint64_t expected_ms = 0;
};

/// What one cell wants to change.
struct SlotExchange {
  std::string cell;
  std::function<bool(const LoadSlot&)> is_needed;  ///< Of the cell's slots.
  std::vector<std::string> orders;  ///< Existing orders that need slots.
  std::uint32_t wanted = 0;         ///< Slots for new orders.
  std::vector<LoadDuration> durations;
};

/// The shared load slots.
class SlotStore {
 public:
  SlotStore(ObjectStore& store, const Clock& clock, EventLog& log);

  /// Reads the slots again.
  Result<void> Refresh();

  /// Frees the cell's slots that are not needed and takes up to `wanted` ones,
  /// in one write. Returns the ids of the orders that they were taken for.
  Result<std::vector<std::string>> Exchange(const SlotExchange& exchange,
                                            const WeightStoreLimits& limits);

  /// The slots as last read or written.
  const LoadSlots& slots() const { return slots_; }

 private:
  std::uint64_t WallMs() const;

  ObjectStore& store_;
  const Clock& clock_;
  EventLog& log_;
  LoadSlots slots_;
  std::uint64_t version_ = 0;
  bool slots_loaded_ = false;
};

}  // namespace tanagerloom

#endif  // PLACEMENT_SLOT_STORE_H_
