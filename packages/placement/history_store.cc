#include "placement/history_store.h"

#include <chrono>

#include "placement/engine_monitor.h"
#include "ports/object_store.h"

namespace tanagerloom {

namespace {

constexpr std::chrono::seconds kSaveInterval{60};

}  // namespace

HistoryStore::HistoryStore(ObjectStore& store,
                           const Clock& clock,
                           std::string cell)
    : store_(store), clock_(clock), key_("history/" + std::move(cell)) {}

std::int64_t HistoryStore::WallOffsetMs() const {
  return clock_.WallNow().count() -
         static_cast<std::int64_t>(MonotonicMs(clock_));
}

Result<void> HistoryStore::Load(std::map<ModelKey, ArrivalHistory>& histories) {
  auto object = store_.Get(key_);
  if (!object) {
    auto error = std::move(object).assume_error();
    if (error.kind != ErrorKind::kNotFound) {
      return error;
    }
    version_ = 0;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  version_ = object.assume_value().version;
  BOOST_OUTCOME_TRY(
      stored, ParseHistories(object.assume_value().value, WallOffsetMs()));
  for (auto& [key, it] : stored) {
    auto& history = histories[key];
    if (it.IsNewerThan(history)) {
      history = std::move(it);
    }
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<bool> HistoryStore::SaveIfDue(
    const std::map<ModelKey, ArrivalHistory>& histories) {
  const auto now = clock_.Now();
  if (!next_save_) {
    next_save_ = now + kSaveInterval;
  }
  if (now < *next_save_) {
    return false;
  }
  next_save_ = now + kSaveInterval;
  auto version =
      store_.Put(key_, SerializeHistories(histories, WallOffsetMs()), version_);
  if (version) {
    version_ = version.assume_value();
    return true;
  }
  // After a conflict or a lost response the stored version is unknown.
  auto current = store_.Get(key_);
  if (!current) {
    return std::move(current).assume_error();
  }
  version_ = current.assume_value().version;
  return false;
}

}  // namespace tanagerloom
