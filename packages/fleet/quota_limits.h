// Defines QuotaLimits, the amounts with which nodes keep one customer's quota
// together.
#ifndef FLEET_QUOTA_LIMITS_H_
#define FLEET_QUOTA_LIMITS_H_

#include <cstdint>
#include <map>
#include <string_view>

namespace tanagerloom {

struct CustomerQuota;
struct FleetConfig;
struct QuotaReserve;

/// Amounts in units of a quota, for all nodes together. In any window at most
/// `rate_per_s` times its length is granted, plus what was granted before and
/// is not sent, which is `max_unsent` at most.
struct QuotaLimits {
  double rate_per_s = 0;
  /// Max units that are not granted yet, or granted and not charged.
  double capacity = 0;
  /// Max units that are not sent: `capacity`, and requests that wait.
  double max_unsent = 0;
  /// Max units that one node holds for requests that are only expected.
  double max_held = 0;

  bool operator==(const QuotaLimits&) const = default;
};

/// Returns the limits of a quota. They add up to less than the reserve allows.
/// The rest covers nodes whose clock stops while they are frozen, clocks that
/// run at different rates, and nodes that some do not know of.
QuotaLimits LimitsOf(const CustomerQuota& quota, const QuotaReserve& reserve);

/// Limits by customer; see QuotaCustomerId(). Customers without a limit are not
/// listed.
using QuotaTable = std::map<std::uint64_t, QuotaLimits>;

/// Returns the id of a customer in messages between nodes.
std::uint64_t QuotaCustomerId(std::string_view name);

/// Returns the limits of all customers of a configuration.
QuotaTable QuotaTableOf(const FleetConfig& config, const QuotaReserve& reserve);

}  // namespace tanagerloom

#endif  // FLEET_QUOTA_LIMITS_H_
