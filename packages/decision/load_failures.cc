#include "decision/load_failures.h"

#include <algorithm>

namespace tanagerloom {

namespace {

constexpr std::uint64_t kFirstBackoffMs = 1000;
constexpr std::uint64_t kLongestBackoffMs = 60000;
// This many failures on as many different servers, or on all servers of a
// smaller cell, are taken as a fault of the model.
constexpr std::uint32_t kFailuresOfABadModel = 3;

std::uint64_t BackoffMs(std::uint32_t failures) {
  const auto doublings = std::min(failures - 1, 6U);
  return std::min(kFirstBackoffMs << doublings, kLongestBackoffMs);
}

}  // namespace

void LoadFailures::Add(const std::string& server,
                       std::string why,
                       std::uint64_t wall_ms) {
  auto& it = servers[server];
  ++it.count;
  it.last_ms = wall_ms;
  cause = std::move(why);
}

std::uint64_t LoadFailures::ServerRetryMs(std::string_view server) const {
  const auto it = servers.find(server);
  return it == servers.end() ? 0
                             : it->second.last_ms + BackoffMs(it->second.count);
}

std::uint64_t LoadFailures::KeyRetryMs(std::size_t cell_servers) const {
  std::uint32_t failures = 0;
  for (const auto& [server, it] : servers) {
    failures += it.count;
  }
  if (failures < kFailuresOfABadModel ||
      servers.size() <
          std::min<std::size_t>(cell_servers, kFailuresOfABadModel)) {
    return 0;
  }
  return LastMs() + BackoffMs(failures - kFailuresOfABadModel + 1);
}

std::uint64_t LoadFailures::LastMs() const {
  std::uint64_t last = 0;
  for (const auto& [server, it] : servers) {
    last = std::max(last, it.last_ms);
  }
  return last;
}

}  // namespace tanagerloom
