// Defines SlotStore, which takes and releases the load slots of the weight
// store by conditional updates of one object that all cells share.
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

/// Duration of a completed load, from which the speed of the weight store is
/// estimated.
struct LoadDuration {
  std::uint64_t actual_ms = 0;
  std::uint64_t expected_ms = 0;
};

/// The changes that one cell requests in a single write.
struct SlotExchange {
  std::string cell;
  /// Whether the cell still needs one of its slots; the others are released.
  std::function<bool(const LoadSlot&)> is_needed;
  /// Ids of existing orders that need a slot.
  std::vector<std::string> orders;
  std::uint32_t wanted = 0;  ///< Number of slots requested for new orders.
  /// Completed loads since the last exchange.
  std::vector<LoadDuration> durations;
};

/// The load slots that all cells share.
class SlotStore {
 public:
  SlotStore(ObjectStore& store, const Clock& clock, EventLog& log);

  /// Reads the slots from the object store; no slots are taken if the object
  /// does not exist.
  Result<void> Refresh();

  /// Releases the slots that the cell does not need, takes slots for its
  /// existing orders and up to `wanted` slots for new orders, all in one write.
  /// Returns the ids of the new orders; empty after repeated conflicts with
  /// other cells. Fails if the object store does.
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
  bool slots_loaded_ = false;  ///< Whether slots_ has the stored state.
};

}  // namespace tanagerloom

#endif  // PLACEMENT_SLOT_STORE_H_
