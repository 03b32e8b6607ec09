#include "fleet/endpoint_selection.h"

#include <algorithm>

#include "base/id.h"
#include "fleet/endpoint_record.h"

namespace tanagerloom {

namespace {

// Costs are in requests in flight on one endpoint of kReferenceSlots slots.
constexpr double kReferenceSlots = 64;
// An endpoint that fails half of its requests stands behind any that has less
// than 20 more in flight: each failure costs a client an objective.
constexpr double kCostOfFailing = 40;
// A cold endpoint takes up to twice the time.
constexpr double kCostOfCold = 8;
// The way to another data centre and back is about half a decoding step.
constexpr double kCostOfDistance = 0.5;
// Reading this many tokens delays the other requests of an endpoint by about as
// much as one more request in flight.
constexpr double kTokensOfOneRequest = 500;

double LoadCost(const EndpointCandidate& candidate) {
  const double slots = std::max<std::uint32_t>(1, candidate.record->slots);
  return candidate.in_flight * kReferenceSlots / slots;
}

double Cost(const EndpointCandidate& candidate) {
  double cost = LoadCost(candidate) + candidate.failure_rate * kCostOfFailing;
  if (candidate.record->cold_left.count() > 0) {
    cost += kCostOfCold;
  }
  if (!candidate.same_data_centre) {
    cost += kCostOfDistance;
  }
  return cost;
}

// The endpoint at which requests with this shared prompt meet, equal on all
// nodes that see the same endpoints.
const EndpointCandidate* MeetingPoint(
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
  const EndpointCandidate* meeting =
      request.shared_tokens > 0 ? MeetingPoint(candidates, request.shared_key)
                                : nullptr;
  const double saved = request.shared_tokens / kTokensOfOneRequest;
  const EndpointCandidate* best = nullptr;
  double best_cost = 0;
  for (const auto& it : candidates) {
    const double cost = Cost(it) - (&it == meeting ? saved : 0);
    if (best == nullptr || cost < best_cost) {
      best = &it;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace tanagerloom
