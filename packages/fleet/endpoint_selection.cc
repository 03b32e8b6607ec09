#include "fleet/endpoint_selection.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>
#include <vector>

#include "base/id.h"
#include "fleet/endpoint_record.h"

namespace tanagerloom {

namespace {

// Unit of all costs: one request in flight on an endpoint with kReferenceSlots
// slots.
constexpr double kReferenceSlots = 64;
// An endpoint that fails half of its requests is chosen only over endpoints
// with at least 20 more requests in flight, because each failure makes a client
// miss its response-time objective.
constexpr double kFailureCost = 40;
// Endpoints whose load-independent cost exceeds the lowest one by more than
// this are not considered.
constexpr double kMaxCostGap = kFailureCost / 4;
// An endpoint that started recently takes up to twice the time.
constexpr double kColdCost = 8;
// A round trip to another data centre takes about half a decoding step.
constexpr double kRemoteDataCentreCost = 0.5;
// Processing this many prompt tokens delays the other requests of an endpoint
// by about as much as one more request in flight.
constexpr double kTokensPerRequest = 500;
// Number of endpoints that keep a shared prompt. A prompt that is shared by
// many requests needs more than one.
constexpr std::size_t kSharedPromptEndpoints = 3;
// Cost of the next endpoint in the order of preference: a rarely used prompt
// stays at one endpoint, and the next one is used while the first reads two
// long prompts or more.
constexpr double kSharedPromptRankCost = 10;

// Work of the request itself, which a slow endpoint takes longer for even if it
// is idle.
constexpr double kOwnWorkCost = 8;

double LoadCost(const SelectionCandidate& candidate) {
  const double slots = std::max<std::uint32_t>(1, candidate.record->slots);
  const double work_ahead =
      (candidate.in_flight + candidate.uncounted_in_flight) * kReferenceSlots /
          slots +
      candidate.prompt_tokens / kTokensPerRequest;
  return work_ahead * candidate.slowness +
         kOwnWorkCost * (candidate.slowness - 1);
}

// Cost of failures, cold start and distance.
double LoadIndependentCost(const SelectionCandidate& candidate) {
  double cost = candidate.failure_rate * kFailureCost;
  if (candidate.record->cold_time_left.count() > 0) {
    cost += kColdCost;
  }
  if (!candidate.same_data_centre) {
    cost += kRemoteDataCentreCost;
  }
  return cost;
}

double Cost(const SelectionCandidate& candidate) {
  return LoadCost(candidate) + LoadIndependentCost(candidate);
}

// Returns the candidates whose load-independent cost is at most kMaxCostGap
// above the lowest one.
std::vector<const SelectionCandidate*> WithinCostGap(
    std::span<const SelectionCandidate> candidates) {
  double lowest = std::numeric_limits<double>::max();
  for (const auto& it : candidates) {
    lowest = std::min(lowest, LoadIndependentCost(it));
  }
  std::vector<const SelectionCandidate*> out;
  for (const auto& it : candidates) {
    if (LoadIndependentCost(it) <= lowest + kMaxCostGap) {
      out.push_back(&it);
    }
  }
  return out;
}

// Returns the candidate of lower cost among two random ones.
const SelectionCandidate* PowerOfTwoChoice(
    const std::vector<const SelectionCandidate*>& candidates,
    std::uint64_t seed) {
  const std::uint64_t n = candidates.size();
  if (n == 1) {
    return candidates[0];
  }
  const auto first = seed % n;
  const auto second = (first + 1 + (seed / n) % (n - 1)) % n;
  const auto* a = candidates[first];
  const auto* b = candidates[second];
  return Cost(*b) < Cost(*a) ? b : a;
}

// Returns the endpoint of lowest cost among those that have the shared prompt
// cached. The order of preference decides unless the loads differ.
const SelectionCandidate* SharedPromptChoice(
    std::span<const SelectionCandidate> candidates,
    std::string_view key) {
  const SelectionCandidate* best = nullptr;
  double best_cost = std::numeric_limits<double>::max();
  double rank_cost = 0;
  for (const auto* it : SharedPromptEndpoints(candidates, key)) {
    const double cost = Cost(*it) + rank_cost;
    if (cost < best_cost) {
      best = it;
      best_cost = cost;
    }
    rank_cost += kSharedPromptRankCost;
  }
  return best;
}

}  // namespace

std::vector<const SelectionCandidate*> SharedPromptEndpoints(
    std::span<const SelectionCandidate> candidates,
    std::string_view key) {
  std::vector<std::pair<std::uint64_t, const SelectionCandidate*>> by_hash;
  for (const auto& it : candidates) {
    StableHasher hasher;
    hasher.Add(it.record->id);
    hasher.Add("\n");
    hasher.Add(key);
    by_hash.emplace_back(hasher.Value(), &it);
  }
  const auto n = std::min(kSharedPromptEndpoints, by_hash.size());
  std::ranges::partial_sort(by_hash, by_hash.begin() + static_cast<int>(n),
                            std::greater<>());
  std::vector<const SelectionCandidate*> out;
  for (std::size_t i = 0; i < n; ++i) {
    out.push_back(by_hash[i].second);
  }
  return out;
}

const SelectionCandidate* SelectEndpoint(
    std::span<const SelectionCandidate> candidates,
    const SelectionRequest& request) {
  if (candidates.empty()) {
    return nullptr;
  }
  const auto* chosen =
      PowerOfTwoChoice(WithinCostGap(candidates), request.seed);
  if (request.shared_prompt_tokens == 0) {
    return chosen;
  }
  const auto* preferred =
      SharedPromptChoice(candidates, request.shared_prompt_key);
  const double saved = request.shared_prompt_tokens / kTokensPerRequest;
  return Cost(*preferred) - saved < Cost(*chosen) ? preferred : chosen;
}

}  // namespace tanagerloom
