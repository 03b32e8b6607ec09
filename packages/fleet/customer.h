// Defines Customer, whose API keys admit requests, and the quota that holds for
// its requests over all nodes.
#ifndef FLEET_CUSTOMER_H_
#define FLEET_CUSTOMER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tanagerloom {

struct RequestProfile;

/// What a quota counts.
enum class QuotaUnit { kRequests, kTokens };

/// Limit on what one customer may send through all nodes together: in any
/// window at most `rate_per_s` times its length, plus `burst`.
struct CustomerQuota {
  double rate_per_s = 0;  ///< In units; 0 sets no limit.
  double burst = 0;       ///< In units.
  QuotaUnit unit = QuotaUnit::kRequests;
  /// Tokens that a request counts as which states no token counts.
  double default_tokens = 0;

  bool limited() const { return rate_per_s > 0; }

  bool operator==(const CustomerQuota&) const = default;
};

/// Returns the units of `quota` that a request uses. Its prompt and the tokens
/// that it may generate count alike.
double QuotaCost(const CustomerQuota& quota, const RequestProfile& profile);

/// One customer. Its API keys are known only by their digests.
struct Customer {
  std::string name;
  std::vector<std::string> key_digests;  ///< SHA-256, in hexadecimal.
  /// Takes precedence over the priority of a request's route; 0 is the highest.
  std::optional<std::uint32_t> priority;
  CustomerQuota quota;
};

}  // namespace tanagerloom

#endif  // FLEET_CUSTOMER_H_
