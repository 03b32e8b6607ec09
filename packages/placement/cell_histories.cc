#include "placement/cell_histories.h"

namespace tanagerloom {

void CellHistories::RecordUse(const ModelKey& key, std::uint64_t now_ms) {
  changed_ = true;
  histories_[key].RecordUse(now_ms);
  if (!key.adapter.empty()) {
    histories_[key.Base()].RecordUse(now_ms);
  }
}

bool CellHistories::Sync() {
  if (!loaded_) {
    const auto loaded = store_.Load(histories_);
    // Histories that cannot be parsed (kInternal) are replaced by new ones.
    loaded_ = loaded || loaded.assume_error().kind == ErrorKind::kInternal;
    return loaded_;
  }
  if (!changed_) {
    return true;
  }
  const auto saved = store_.SaveIfDue(histories_);
  if (!saved) {
    return false;
  }
  changed_ = !saved.assume_value();
  return true;
}

}  // namespace tanagerloom
