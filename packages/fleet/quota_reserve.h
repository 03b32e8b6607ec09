// Defines QuotaReserve, the margin by which requests may exceed a quota.
#ifndef FLEET_QUOTA_RESERVE_H_
#define FLEET_QUOTA_RESERVE_H_

#include <chrono>

namespace tanagerloom {

/// How far the requests of a customer may exceed its quota, summed over all
/// nodes: in any `window` at most `excess` of what the quota allows, plus
/// `slack`.
struct QuotaReserve {
  std::chrono::milliseconds window{8000};
  double excess = 0;
  double slack = 0;  ///< In units of the quota.
};

}  // namespace tanagerloom

#endif  // FLEET_QUOTA_RESERVE_H_
