// Defines CellHistories, the arrival histories of the models of one cell.
#ifndef PLACEMENT_CELL_HISTORIES_H_
#define PLACEMENT_CELL_HISTORIES_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "decision/arrival_history.h"
#include "placement/history_store.h"

namespace tanagerloom {

/// Arrival histories, which the coordinator of the cell loads when it takes
/// over and saves from time to time.
class CellHistories {
 public:
  CellHistories(ObjectStore& store, const Clock& clock, std::string cell)
      : store_(store, clock, std::move(cell)) {}

  /// Records that a model is in use, and with an adapter its base model too.
  void RecordUse(const ModelKey& key, std::uint64_t now_ms);

  /// Loads the stored histories at the first call, and saves them periodically
  /// afterwards. False if the object store failed.
  bool Sync();

  /// Makes the next Sync() load the stored histories again.
  void ReloadLater() { loaded_ = false; }

  const std::map<ModelKey, ArrivalHistory>& all() const { return histories_; }

 private:
  std::map<ModelKey, ArrivalHistory> histories_;
  HistoryStore store_;
  bool loaded_ = false;
  bool changed_ = false;
};

}  // namespace tanagerloom

#endif  // PLACEMENT_CELL_HISTORIES_H_
