#include "fleet/quota_limits.h"

#include <algorithm>

#include "base/id.h"
#include "fleet/customer.h"
#include "fleet/fleet_config.h"
#include "fleet/quota_reserve.h"

namespace tanagerloom {

namespace {

// Parts of the reserve. The last quarter is left for what cannot be known.
constexpr double kReserveForCapacity = 0.25;
constexpr double kReserveForWaiting = 0.5;
// Part of the reserve that one node may hold ahead of its requests. A frozen
// node may use it after others have got the same units.
constexpr double kReserveForOneNode = 0.125;
// With a small reserve, a node may hold the units of this time. It is longer
// than a busy node's report interval, so that one node can use the whole rate.
constexpr double kHeldTimeS = 0.15;
constexpr double kCapacityForOneNode = 0.25;
// Part of a window's units that is the least capacity. Units accrue between the
// reports of nodes also with a quota that allows no burst.
constexpr double kMinCapacity = 1.0 / 25;

}  // namespace

QuotaLimits LimitsOf(const CustomerQuota& quota, const QuotaReserve& reserve) {
  const double window_s = std::chrono::duration<double>(reserve.window).count();
  const double steady = quota.rate_per_s * window_s;
  const double allowed = steady + quota.burst;
  const double margin = reserve.excess * allowed + reserve.slack;
  QuotaLimits out;
  out.capacity = std::max(quota.burst + kReserveForCapacity * margin,
                          kMinCapacity * steady);
  out.max_unsent = out.capacity + kReserveForWaiting * margin;
  out.max_held = std::max(kReserveForOneNode * margin,
                          std::min(kCapacityForOneNode * out.capacity,
                                   kHeldTimeS * quota.rate_per_s));
  out.rate_per_s = std::min(quota.rate_per_s,
                            (allowed + margin - out.max_unsent) / window_s);
  return out;
}

std::uint64_t QuotaCustomerId(std::string_view name) {
  return StableHash(name);
}

QuotaTable QuotaTableOf(const FleetConfig& config,
                        const QuotaReserve& reserve) {
  QuotaTable out;
  for (const auto& it : config.customers) {
    if (it.value->quota.limited()) {
      out.emplace(QuotaCustomerId(it.value->name),
                  LimitsOf(it.value->quota, reserve));
    }
  }
  return out;
}

}  // namespace tanagerloom
