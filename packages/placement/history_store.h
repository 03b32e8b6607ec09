// Defines HistoryStore, which keeps the arrival histories of a cell in the
// object API, so that a new coordinator knows when models are needed.
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

/// The arrival histories of one cell, under "history/NAME".
class HistoryStore {
 public:
  HistoryStore(ObjectStore& store, const Clock& clock, std::string cell);

  /// Adds the stored histories that are newer than those in `histories`.
  Result<void> Load(std::map<ModelKey, ArrivalHistory>& histories);

  /// Stores the histories if the last time was over a minute ago; returns
  /// whether it did. A lost race with another node is not retried: the next
  /// time is soon enough.
  Result<bool> SaveIfDue(const std::map<ModelKey, ArrivalHistory>& histories);

 private:
  std::int64_t WallOffsetMs() const;

  ObjectStore& store_;
  const Clock& clock_;
  std::string key_;
  std::uint64_t version_ = 0;
  std::optional<TimePoint> next_save_;
};

}  // namespace tanagerloom

#endif  // PLACEMENT_HISTORY_STORE_H_
