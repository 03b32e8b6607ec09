#include "ordering/lease_rank.h"

#include <algorithm>

namespace tanagerloom {

namespace {

// Last rank of VMs that are not small. The takeover must not be delayed much if
// the first ones do not reach the store.
constexpr std::size_t kMaxRank = 5;
// A VM with less than this part of the largest one's processors is small.
constexpr double kSmallVmFraction = 0.5;

// Returns whether `a` takes over before `b`.
bool Precedes(const LeaseCandidate& a, const LeaseCandidate& b) {
  return a.processors != b.processors ? a.processors > b.processors
                                      : a.node < b.node;
}

}  // namespace

std::size_t LeaseRank(std::string_view node,
                      std::span<const LeaseCandidate> candidates) {
  const auto self = std::ranges::find(candidates, node, &LeaseCandidate::node);
  if (self == candidates.end()) {
    return kMaxRank;
  }
  double most = 0;
  std::size_t rank = 0;
  for (const auto& it : candidates) {
    most = std::max(most, it.processors);
    rank += Precedes(it, *self) ? 1 : 0;
  }
  const bool is_small = self->processors < most * kSmallVmFraction;
  return is_small ? kMaxRank + 1 : std::min(rank, kMaxRank);
}

}  // namespace tanagerloom
