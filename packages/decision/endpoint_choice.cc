#include "decision/endpoint_choice.h"

#include <algorithm>
#include <vector>

namespace tanagerloom {

namespace {

// An endpoint with the prefix in its cache may have this many requests more
// than the least loaded one. Beyond that, queueing costs more than the cache
// saves.
constexpr std::uint32_t kMaxAffinityExcess = 2;

// An endpoint in the data centre of this node may have this many requests more
// than the least loaded one. Beyond that, queueing costs more than the latency
// between data centres, which is below 2 ms.
constexpr std::uint32_t kMaxDataCentreExcess = 4;

std::size_t LessLoaded(std::span<const EndpointCandidate> candidates,
                       std::size_t a,
                       std::size_t b) {
  return EndpointLoad(candidates[b]) < EndpointLoad(candidates[a]) ? b : a;
}

std::optional<std::size_t> ChooseOfTwo(
    std::span<const EndpointCandidate> candidates,
    const std::vector<std::size_t>& among,
    const std::function<std::size_t(std::size_t)>& random) {
  if (among.empty()) {
    return std::nullopt;
  }
  const std::size_t first = random(among.size());
  if (among.size() == 1) {
    return among[0];
  }
  std::size_t second = random(among.size() - 1);
  second += second >= first ? 1 : 0;
  return LessLoaded(candidates, among[first], among[second]);
}

}  // namespace

std::uint32_t EndpointLoad(const EndpointCandidate& candidate) {
  return std::max(candidate.own_in_flight + candidate.peers_in_flight,
                  candidate.reported_in_flight);
}

bool HasRoom(const EndpointCandidate& candidate) {
  return candidate.usable &&
         candidate.own_in_flight < candidate.max_own_in_flight;
}

std::optional<std::size_t> ChooseEndpoint(
    std::span<const EndpointCandidate> candidates,
    const std::function<std::size_t(std::size_t)>& random) {
  std::vector<std::size_t> near;
  std::vector<std::size_t> far;
  std::optional<std::size_t> cached;
  std::uint32_t min_load = UINT32_MAX;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const auto& it = candidates[i];
    if (!HasRoom(it)) {
      continue;
    }
    (it.same_data_centre ? near : far).push_back(i);
    min_load = std::min(min_load, EndpointLoad(it));
    if (it.prefix_blocks > 0 &&
        (!cached || it.prefix_blocks > candidates[*cached].prefix_blocks)) {
      cached = i;
    }
  }
  if (cached &&
      EndpointLoad(candidates[*cached]) <= min_load + kMaxAffinityExcess) {
    return cached;
  }
  const auto local = ChooseOfTwo(candidates, near, random);
  if (local &&
      EndpointLoad(candidates[*local]) <= min_load + kMaxDataCentreExcess) {
    return local;
  }
  const auto remote = ChooseOfTwo(candidates, far, random);
  if (!local || !remote) {
    return local ? local : remote;
  }
  return LessLoaded(candidates, *local, *remote);
}

}  // namespace tanagerloom
