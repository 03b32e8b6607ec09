// Defines LeaseRank(), which decides in which order nodes take over a lease
// whose holder was lost.
#ifndef ORDERING_LEASE_RANK_H_
#define ORDERING_LEASE_RANK_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace tanagerloom {

/// A node that may take over.
struct LeaseCandidate {
  std::string node;
  double processors = 0;  ///< Of its VM; 0 if unknown.
};

/// Returns the rank of `node`, 0 for the first to try. VMs with more processors
/// come first, since the holder plans for the whole fleet and its VM also
/// serves clients; equal ones in the order of their names. Ranks end at a
/// maximum that many nodes share, and VMs with less than half of the largest
/// one's processors share the one after it.
std::size_t LeaseRank(std::string_view node,
                      std::span<const LeaseCandidate> candidates);

}  // namespace tanagerloom

#endif  // ORDERING_LEASE_RANK_H_
