// Defines HistoryStore, which stores the arrival histories of a cell in the
// object store, so that a new coordinator can predict when models are needed.
#ifndef PLACEMENT_HISTORY_STORE_H_
#define PLACEMENT_HISTORY_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/error.h"
#include "decision/arrival_history.h"
#include "runtime/clock.h"

namespace tanagerloom {

class ObjectStore;

/// Loads and saves the arrival histories of one cell under "history/NAME".
class HistoryStore {
 public:
  HistoryStore(ObjectStore& store, const Clock& clock, std::string cell);

  /// Merges the stored histories into `histories`; for each key the newer one
  /// is kept. Succeeds if nothing is stored. Fails with kInternal if the stored
  /// histories cannot be parsed, else with the error of the object store.
  Result<void> Load(std::map<ModelKey, ArrivalHistory>& histories);

  /// Saves the histories if at least a minute has passed since the last save.
  /// Returns whether they were saved. A conflict with the write of another node
  /// is not retried; the next periodic save is soon enough.
  Result<bool> SaveIfDue(const std::map<ModelKey, ArrivalHistory>& histories);

 private:
  /// Wall time minus monotonic time, in milliseconds.
  std::int64_t WallOffsetMs() const;

  ObjectStore& store_;
  const Clock& clock_;
  std::string key_;
  std::uint64_t version_ = 0;  ///< Version of the stored object; 0 if none.
  std::optional<TimePoint> next_save_;
};

}  // namespace tanagerloom

#endif  // PLACEMENT_HISTORY_STORE_H_
