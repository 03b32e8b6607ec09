#include "placement/slot_store.h"

#include "base/event_log.h"
#include "base/events.h"
#include "base/id.h"
#include "ports/object_store.h"
#include "runtime/clock.h"

namespace tanagerloom {

namespace {

constexpr const char* kSlotsKey = "weight-store/slots";
constexpr int kMaxAttempts = 4;  // Writes until conflicts end an exchange.

}  // namespace

SlotStore::SlotStore(ObjectStore& store, const Clock& clock, EventLog& log)
    : store_(store), clock_(clock), log_(log) {}

std::uint64_t SlotStore::WallMs() const {
  return static_cast<std::uint64_t>(clock_.WallNow().count());
}

Result<void> SlotStore::Refresh() {
  auto object = store_.Get(kSlotsKey);
  if (!object) {
    auto error = std::move(object).assume_error();
    if (error.kind != ErrorKind::kNotFound) {
      log_.Record(events::kPlatformUnavailable,
                  {{"call", "get"}, {"cause", error.message}});
      return error;
    }
    slots_ = {};
    version_ = 0;
  } else {
    BOOST_OUTCOME_TRY(slots, ParseLoadSlots(object.assume_value().value));
    slots_ = std::move(slots);
    version_ = object.assume_value().version;
  }
  slots_loaded_ = true;
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<std::vector<std::string>> SlotStore::Exchange(
    const SlotExchange& exchange,
    const WeightStoreLimits& limits) {
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    if (!slots_loaded_) {
      BOOST_OUTCOME_TRYV(Refresh());
    }
    auto next = slots_;
    const auto base_version = version_;
    next.ReleaseUnneeded(exchange.cell, exchange.is_needed);
    for (const auto& it : exchange.durations) {
      next.RecordDuration(it.actual_ms, it.expected_ms);
    }
    std::vector<std::string> granted;
    for (const auto& it : exchange.orders) {
      (void)next.Take(it, exchange.cell, limits, WallMs());
    }
    while (granted.size() < exchange.wanted) {
      auto order = NewId("ord-");
      if (!next.Take(order, exchange.cell, limits, WallMs())) {
        break;
      }
      granted.push_back(std::move(order));
    }
    if (next == slots_) {
      return granted;
    }
    auto version =
        store_.Put(kSlotsKey, SerializeLoadSlots(next), base_version);
    if (version) {
      // Another cell of this node may have written in the meantime.
      if (version.assume_value() > version_) {
        slots_ = std::move(next);
        version_ = version.assume_value();
      }
      return granted;
    }
    slots_loaded_ = false;
    if (version.assume_error().kind != ErrorKind::kConflict) {
      // If the write took effect although its response was lost, the slots are
      // released later, because no order has their ids.
      return std::move(version).assume_error();
    }
  }
  return std::vector<std::string>();
}

}  // namespace tanagerloom
