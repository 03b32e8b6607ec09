#include "decision/load_slots.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace tanagerloom {

namespace {

constexpr std::uint64_t kRateWindowMs = 1000;
// From this ratio of actual to expected load time on, the weight store is
// considered slow.
constexpr double kSlowStoreRatio = 2.0;
constexpr double kSmoothingFactor = 0.3;
// Limits the effect of a single stuck load on the estimate.
constexpr double kMaxDurationRatio = 10.0;

std::uint32_t StartsPerWindow(const WeightStoreLimits& limits) {
  return std::max(1U, static_cast<std::uint32_t>(limits.loads_per_s));
}

std::uint32_t ConcurrentLoads(const WeightStoreLimits& limits,
                              double slowdown) {
  if (slowdown < kSlowStoreRatio) {
    return limits.concurrent_loads;
  }
  const auto reduced = static_cast<std::uint32_t>(
      std::lround(limits.concurrent_loads * kSlowStoreRatio / 2 / slowdown));
  return std::max(1U, reduced);
}

std::uint32_t RecentStarts(const std::vector<std::uint64_t>& starts_ms,
                           std::uint64_t now_ms) {
  return static_cast<std::uint32_t>(std::ranges::count_if(
      starts_ms, [&](auto it) { return it + kRateWindowMs > now_ms; }));
}

}  // namespace

std::uint32_t LoadSlots::Available(const WeightStoreLimits& limits,
                                   std::uint64_t now_ms) const {
  const auto concurrent = ConcurrentLoads(limits, slowdown);
  const auto used = static_cast<std::uint32_t>(slots.size());
  const auto recent = RecentStarts(starts_ms, now_ms);
  const auto starts = StartsPerWindow(limits);
  return std::min(concurrent > used ? concurrent - used : 0,
                  starts > recent ? starts - recent : 0);
}

std::uint64_t LoadSlots::NextStartMs(const WeightStoreLimits& limits,
                                     std::uint64_t now_ms) const {
  const auto starts = StartsPerWindow(limits);
  if (RecentStarts(starts_ms, now_ms) < starts) {
    return now_ms;
  }
  return starts_ms[starts_ms.size() - starts] + kRateWindowMs;
}

bool LoadSlots::Take(const std::string& order,
                     const std::string& cell,
                     const WeightStoreLimits& limits,
                     std::uint64_t now_ms) {
  if (Available(limits, now_ms) == 0) {
    return false;
  }
  slots.push_back({order, cell, now_ms});
  std::erase_if(starts_ms,
                [&](auto it) { return it + kRateWindowMs <= now_ms; });
  starts_ms.push_back(now_ms);
  std::ranges::sort(starts_ms);
  return true;
}

void LoadSlots::ReleaseUnneeded(
    std::string_view cell,
    const std::function<bool(const LoadSlot&)>& is_needed) {
  std::erase_if(
      slots, [&](const auto& it) { return it.cell == cell && !is_needed(it); });
}

void LoadSlots::RecordDuration(std::uint64_t actual_ms,
                               std::uint64_t expected_ms) {
  const auto ratio = std::clamp(
      static_cast<double>(actual_ms) /
          static_cast<double>(std::max<std::uint64_t>(1, expected_ms)),
      1.0, kMaxDurationRatio);
  slowdown += kSmoothingFactor * (ratio - slowdown);
}

std::string SerializeLoadSlots(const LoadSlots& slots) {
  auto list = nlohmann::json::array();
  for (const auto& it : slots.slots) {
    list.push_back(
        {{"order", it.order}, {"cell", it.cell}, {"taken_ms", it.taken_ms}});
  }
  return nlohmann::json{{"slots", std::move(list)},
                        {"starts_ms", slots.starts_ms},
                        {"slowdown", slots.slowdown}}
      .dump();
}

Result<LoadSlots> ParseLoadSlots(std::string_view text) {
  try {
    const auto json = nlohmann::json::parse(text);
    LoadSlots slots;
    for (const auto& it : json.at("slots")) {
      slots.slots.push_back({it.at("order").get<std::string>(),
                             it.at("cell").get<std::string>(),
                             it.at("taken_ms").get<std::uint64_t>()});
    }
    slots.starts_ms = json.at("starts_ms").get<std::vector<std::uint64_t>>();
    slots.slowdown = json.at("slowdown").get<double>();
    return slots;
  } catch (const nlohmann::json::exception& error) {
    return MakeError(ErrorKind::kInternal,
                     std::string("load slots: ") + error.what());
  }
}

}  // namespace tanagerloom
