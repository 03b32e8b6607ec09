#include "decision/load_failures.h"

#include <algorithm>

namespace tanagerloom {

namespace {

constexpr std::uint64_t kInitialBackoffMs = 1000;
constexpr std::uint64_t kMaxBackoffMs = 60000;
// This many failures on as many different engines, or on all engines of a
// smaller cell, are attributed to the model instead of the engines.
constexpr std::uint32_t kModelFaultFailures = 3;

std::uint64_t BackoffMs(std::uint32_t failures) {
  const auto doublings = std::min(failures - 1, 6U);
  return std::min(kInitialBackoffMs << doublings, kMaxBackoffMs);
}

}  // namespace

void LoadFailures::Add(const std::string& engine,
                       std::string reason,
                       std::uint64_t wall_ms) {
  auto& it = engines[engine];
  ++it.count;
  it.last_ms = wall_ms;
  cause = std::move(reason);
}

std::uint64_t LoadFailures::EngineRetryAtMs(std::string_view engine) const {
  const auto it = engines.find(engine);
  return it == engines.end() ? 0
                             : it->second.last_ms + BackoffMs(it->second.count);
}

std::uint64_t LoadFailures::KeyRetryAtMs(std::size_t cell_engines) const {
  std::uint32_t failures = 0;
  for (const auto& [engine, it] : engines) {
    failures += it.count;
  }
  if (failures < kModelFaultFailures ||
      engines.size() <
          std::min<std::size_t>(cell_engines, kModelFaultFailures)) {
    return 0;
  }
  return LastFailureMs() + BackoffMs(failures - kModelFaultFailures + 1);
}

std::uint64_t LoadFailures::LastFailureMs() const {
  std::uint64_t last = 0;
  for (const auto& [engine, it] : engines) {
    last = std::max(last, it.last_ms);
  }
  return last;
}

}  // namespace tanagerloom
