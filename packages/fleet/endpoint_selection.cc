#include "fleet/endpoint_selection.h"

#include <algorithm>
#include <limits>
#include <vector>

#include "base/id.h"
#include "fleet/endpoint_record.h"

namespace tanagerloom {

namespace {

// Costs are in requests in flight on one endpoint of kReferenceSlots slots.
constexpr double kReferenceSlots = 64;
// An endpoint that fails half of its requests stands behind any that has less
// than 20 more in flight: each failure costs a client an objective.
constexpr double kFailureCost = 40;
// An endpoint this much behind the best one, by what does not depend on its
// load, is left out while others are there.
constexpr double kMaxCostGap = kFailureCost / 4;
// A cold endpoint takes up to twice the time.
constexpr double kColdCost = 8;
// The way to another data centre and back is about half a decoding step.
constexpr double kRemoteDataCentreCost = 0.5;
// Reading this many tokens delays the other requests of an endpoint by about as
// much as one more request in flight.
constexpr double kTokensPerRequest = 500;

double LoadCost(const EndpointCandidate& candidate) {
  const double slots = std::max<std::uint32_t>(1, candidate.record->slots);
  return candidate.in_flight * kReferenceSlots / slots;
}

// What speaks against an endpoint apart from its load.
double LoadIndependentCost(const EndpointCandidate& candidate) {
  double cost = candidate.failure_rate * kFailureCost;
  if (candidate.record->cold_time_left.count() > 0) {
    cost += kColdCost;
  }
  if (!candidate.same_data_centre) {
    cost += kRemoteDataCentreCost;
  }
  return cost;
}

double Cost(const EndpointCandidate& candidate) {
  return LoadCost(candidate) + LoadIndependentCost(candidate);
}

// The candidates that none surpasses by far, whatever their load.
std::vector<const EndpointCandidate*> WithinCostGap(
    std::span<const EndpointCandidate> candidates) {
  double lowest = std::numeric_limits<double>::max();
  for (const auto& it : candidates) {
    lowest = std::min(lowest, LoadIndependentCost(it));
  }
  std::vector<const EndpointCandidate*> out;
  for (const auto& it : candidates) {
    if (LoadIndependentCost(it) <= lowest + kMaxCostGap) {
      out.push_back(&it);
    }
  }
  return out;
}

// The less loaded of two candidates taken at random.
const EndpointCandidate* PowerOfTwoChoice(
    const std::vector<const EndpointCandidate*>& candidates,
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

// The endpoint at which requests with this shared prompt meet, equal on all
// nodes that see the same endpoints.
const EndpointCandidate* RendezvousChoice(
    std::span<const EndpointCandidate> candidates,
    std::string_view key) {
  const EndpointCandidate* best = nullptr;
  std::uint64_t best_hash = 0;
  for (const auto& it : candidates) {
    StableHasher hasher;
    hasher.Add(it.record->id);
    hasher.Add("\n");
    hasher.Add(key);
    const auto hash = hasher.Value();
    if (best == nullptr || hash > best_hash) {
      best = &it;
      best_hash = hash;
    }
  }
  return best;
}

}  // namespace

const EndpointCandidate* SelectEndpoint(
    std::span<const EndpointCandidate> candidates,
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
      RendezvousChoice(candidates, request.shared_prompt_key);
  const double saved = request.shared_prompt_tokens / kTokensPerRequest;
  return Cost(*preferred) - saved < Cost(*chosen) ? preferred : chosen;
}

}  // namespace tanagerloom
